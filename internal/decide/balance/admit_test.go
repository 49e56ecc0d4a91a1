package balance_test

import (
	"fmt"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
)

// class is a kind of request in a played load.
type class struct {
	name     string
	every    clock.Millis
	prompt   int
	topics   int
	shared   int
	output   int
	priority int
	limit    clock.Millis
}

var (
	questions = class{name: "questions", every: 110, prompt: 1100, topics: 100, shared: 350, output: 170, priority: 0, limit: 12 * clock.Second}
	books     = class{name: "books", every: 120, prompt: 3700, topics: 39, shared: 13300, output: 120, priority: 2, limit: 12 * clock.Second}
)

// request returns a request of the class, which is the nth of a load. A topic is
// drawn by number, and no other request has the rest of its prompt.
func (c class) request(n int, id, draw uint64) balance.Request {
	topic := uint64(n+1)*1000 + draw%uint64(c.topics)
	return balance.Request{
		Backend: "b", Parts: []balance.PromptPart{{Hash: topic, Tokens: c.shared}, {Hash: 1<<40 + id, Tokens: c.prompt}},
		Output: c.output, Priority: c.priority,
	}
}

// jobOf is the job of a request that was placed.
func jobOf(id uint64, request balance.Request, choice balance.Choice) balance.Job {
	return balance.Job{
		ID: id, Endpoint: choice.Endpoint, Parts: request.Parts, Uncached: choice.Uncached,
		Output: request.Output, Priority: request.Priority, Expected: choice.ExpectedFirstToken,
	}
}

// tally is what the callers of a class got.
type tally struct {
	asked, refused, inTime int
	slowest                clock.Millis
}

// engine computes prompts in the order in which they come, at tokensPerMilli.
type engine struct {
	free   clock.Millis
	cached map[uint64]bool
}

const tokensPerMilli = 36.7

// compute returns when the first token of a job comes.
func (e *engine) compute(now clock.Millis, parts []balance.PromptPart) clock.Millis {
	tokens := 0
	known := true
	for _, part := range parts {
		known = known && e.cached[part.Hash]
		if !known {
			tokens += part.Tokens
		}
		e.cached[part.Hash] = true
	}
	e.free = max(e.free, now) + clock.Millis(float64(tokens)/tokensPerMilli)
	return e.free + 25
}

type pending struct {
	job   uint64
	first clock.Millis
	end   clock.Millis
	told  bool
}

// play sends the classes to so many engines for a while and returns what their
// callers got. A request is in time if its first token comes within target.
func play(engines int, span, target clock.Millis, classes ...class) map[string]*tally {
	b := balance.New()
	var endpoints []balance.Endpoint
	machines := map[string]*engine{}
	for i := range engines {
		id := fmt.Sprint("e", i)
		endpoints = append(endpoints, balance.Endpoint{ID: id, Backend: "b", Slots: 64, CacheTokens: 460000})
		machines[id] = &engine{cached: map[uint64]bool{}}
	}
	b.SetEndpoints(0, endpoints)
	results := map[string]*tally{}
	var running []*pending
	next := uint64(0)
	for now := clock.Millis(0); now < span; now++ {
		for _, p := range running {
			if !p.told && now >= p.first {
				p.told = true
				b.RecordFirstToken(now, p.job)
			}
			if now == p.end {
				b.RecordEnd(now, p.job, balance.Succeeded)
			}
		}
		for n, c := range classes {
			if now%c.every != 0 {
				continue
			}
			next++
			result := results[c.name]
			if result == nil {
				result = &tally{}
				results[c.name] = result
			}
			result.asked++
			request := c.request(n, next, next*7)
			choice, found := b.Choose(now, request)
			if !found {
				result.refused++
				continue
			}
			if _, admitted := b.Admit(now, request, choice, c.limit); !admitted {
				result.refused++
				continue
			}
			b.RecordLocalJob(now, jobOf(next, request, choice))
			first := machines[choice.Endpoint].compute(now, request.Parts)
			running = append(running, &pending{job: next, first: first, end: first + clock.Millis(c.output)*6})
			result.slowest = max(result.slowest, first-now)
			if first-now <= target {
				result.inTime++
			}
		}
	}
	return results
}

// TestCalmLoadIsServedInTime: what the endpoints can bear is refused to nobody.
func TestCalmLoadIsServedInTime(t *testing.T) {
	results := play(9, 40*clock.Second, 600, questions, books)
	for name, r := range results {
		if r.refused > 0 || float64(r.inTime) < 0.95*float64(r.asked) {
			t.Errorf("%s: %+v", name, *r)
		}
	}
}

// TestFloodOfLongPromptsDoesNotStarveQuestions: where the prompts are four times
// what the endpoints compute, the less urgent ones are refused.
func TestFloodOfLongPromptsDoesNotStarveQuestions(t *testing.T) {
	flood := books
	flood.every, flood.topics = 25, 4000
	const span = 30 * clock.Second
	results := play(3, span, 2*clock.Second, questions, flood)
	q, f := results["questions"], results["books"]
	// What the endpoints compute in the share of their time that prompts of
	// the least urgent ranks get when the back end is strained, less a tenth
	// for the questions.
	const share = 0.4
	capacity := int(share * 0.9 * 3 * tokensPerMilli * float64(span) / float64(flood.prompt+flood.shared))
	if q.refused > 0 || float64(q.inTime) < 0.9*float64(q.asked) {
		t.Errorf("questions: %+v", *q)
	}
	if f.refused == 0 || f.asked-f.refused < capacity*9/10 {
		t.Errorf("books: %+v; want as many as the endpoints compute, and the others refused", *f)
	}
	if f.slowest > 4*clock.Second {
		t.Errorf("a book that was let in waited %v", f.slowest)
	}
}

// TestShortPromptsOfLowRankAreNotRefusedForLongOnes: a low rank refuses what
// delays others, not everything.
func TestShortPromptsOfLowRankAreNotRefusedForLongOnes(t *testing.T) {
	flood, low := books, questions
	flood.every, flood.topics = 25, 4000
	low.name, low.priority, low.every = "low questions", 2, 200
	results := play(3, 30*clock.Second, 3*clock.Second, questions, low, flood)
	if r := results["low questions"]; r.refused > r.asked/20 {
		t.Errorf("low questions: %+v", *r)
	}
}

// TestCheapPromptsOfLowRankDoNotCrowdOutUrgentOnes: prompts that are mostly
// cached cost little each and come in numbers; what they leave must be enough
// for longer prompts that are more urgent.
func TestCheapPromptsOfLowRankDoNotCrowdOutUrgentOnes(t *testing.T) {
	histories := class{name: "histories", every: 200, prompt: 9000, topics: 1, shared: 1, output: 60, priority: 1, limit: 4 * clock.Second}
	reviews := class{name: "reviews", every: 30, prompt: 1500, topics: 10, shared: 13300, output: 120, priority: 2, limit: 8 * clock.Second}
	results := play(2, 30*clock.Second, 3*clock.Second, questions, histories, reviews)
	if r := results["histories"]; r.refused > r.asked/10 {
		t.Errorf("histories: %+v; want few refused while reviews are let in", *r)
	}
	histories.every = 1600
	results = play(2, 30*clock.Second, 3*clock.Second, questions, histories, reviews)
	if r := results["reviews"]; r.asked-r.refused < r.asked/5 {
		t.Errorf("reviews beside few others: %+v; want what these leave to be used", *r)
	}
}

// TestSharedPartsAreComputedSeldom: prompts go where their parts are cached.
func TestSharedPartsAreComputedSeldom(t *testing.T) {
	b := balance.New()
	b.SetEndpoints(0, []balance.Endpoint{
		{ID: "a", Backend: "b", Slots: 64, CacheTokens: 100000}, {ID: "c", Backend: "b", Slots: 64, CacheTokens: 100000},
	})
	first := balance.Request{Backend: "b", Parts: []balance.PromptPart{{Hash: 1, Tokens: 13000}, {Hash: 2, Tokens: 3000}}}
	choice, _ := b.Choose(0, first)
	b.RecordLocalJob(0, balance.Job{ID: 1, Endpoint: choice.Endpoint, Parts: first.Parts, Uncached: choice.Uncached, Expected: choice.ExpectedFirstToken})
	b.RecordFirstToken(500, 1)
	second := balance.Request{Backend: "b", Parts: []balance.PromptPart{{Hash: 1, Tokens: 13000}, {Hash: 3, Tokens: 3000}}}
	again, _ := b.Choose(600, second)
	if again.Endpoint != choice.Endpoint || again.Uncached != 3000 {
		t.Errorf("chose %+v, the shared part lies at %s", again, choice.Endpoint)
	}
}

func TestEndpointThatRestartsHasNothingCached(t *testing.T) {
	b := balance.New()
	endpoint := balance.Endpoint{ID: "a", Backend: "b", Slots: 64, CacheTokens: 100000, Incarnation: 1}
	b.SetEndpoints(0, []balance.Endpoint{endpoint})
	request := balance.Request{Backend: "b", Parts: []balance.PromptPart{{Hash: 1, Tokens: 13000}}}
	b.RecordLocalJob(0, balance.Job{ID: 1, Endpoint: "a", Parts: request.Parts, Uncached: 13000})
	endpoint.Incarnation = 2
	b.SetEndpoints(100, []balance.Endpoint{endpoint})
	if choice, _ := b.Choose(200, request); choice.Uncached != 13000 {
		t.Errorf("expects %d uncached tokens at an endpoint that has just started", choice.Uncached)
	}
}

func TestSilentEndpointIsAvoided(t *testing.T) {
	b := balance.New()
	b.SetEndpoints(0, []balance.Endpoint{
		{ID: "a", Backend: "b", Slots: 64, CacheTokens: 100000}, {ID: "c", Backend: "b", Slots: 64, CacheTokens: 100000},
	})
	request := balance.Request{Backend: "b", Parts: []balance.PromptPart{{Hash: 1, Tokens: 1000}}}
	choice, _ := b.Choose(0, request)
	b.RecordLocalJob(0, balance.Job{ID: 1, Endpoint: choice.Endpoint, Parts: request.Parts, Uncached: 1000, Expected: choice.ExpectedFirstToken})
	later := balance.Request{Backend: "b", Parts: []balance.PromptPart{{Hash: 9, Tokens: 1000}}}
	if again, _ := b.Choose(3*clock.Second, later); again.Endpoint == choice.Endpoint {
		t.Error("chose an endpoint that has not answered for 3 s")
	}
}

func TestLeavingAndUnreachableEndpointsAreNotChosen(t *testing.T) {
	b := balance.New()
	b.SetEndpoints(0, []balance.Endpoint{{ID: "a", Backend: "b"}, {ID: "c", Backend: "b"}})
	b.MarkLeaving("a")
	if choice, _ := b.Choose(0, balance.Request{Backend: "b"}); choice.Endpoint != "c" {
		t.Errorf("chose %+v", choice)
	}
	b.RecordLocalJob(0, balance.Job{ID: 1, Endpoint: "c"})
	b.RecordEnd(0, 1, balance.Unreachable)
	if choice, found := b.Choose(0, balance.Request{Backend: "b"}); !found || choice.Endpoint != "c" {
		t.Errorf("an ejected endpoint is better than none; got %+v, %t", choice, found)
	}
	if _, found := b.Choose(0, balance.Request{Backend: "b", Exclude: []string{"c"}}); found {
		t.Error("chose an endpoint that was excluded or is leaving")
	}
}
