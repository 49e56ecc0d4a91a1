package balance_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
)

// A busyEngine computes prompts in chunks, one chunk in each step, and generates
// a token of every stream in each step. While prompts wait, its steps are long.
type busyEngine struct {
	cached  map[uint64]bool
	waiting []*stream
	running []*stream
	stepEnd float64
}

const (
	stepMillis  = 2.6
	chunkTokens = 2048
	readRate    = 48.2
)

// stream is a request in the played overload, from its placement to its end.
type stream struct {
	job      uint64
	daemon   int
	class    *class
	prompt   int
	left     int
	deadline clock.Millis
	engine   *busyEngine
	gone     bool
}

// step ends the engine's step, if it does so by now.
func (e *busyEngine) step(now clock.Millis, firstToken, ended func(*stream)) {
	if float64(now) < e.stepEnd {
		return
	}
	for _, s := range e.running {
		s.left--
		if s.left == 0 {
			ended(s)
		}
	}
	if len(e.waiting) > 0 && e.waiting[0].prompt <= 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
		firstToken(s)
	}
	e.drop()
	chunk := 0
	if len(e.waiting) > 0 {
		chunk = min(e.waiting[0].prompt, chunkTokens)
		e.waiting[0].prompt -= chunk
	}
	e.stepEnd = float64(now) + stepMillis + float64(chunk)/readRate
}

// drop forgets streams that have ended or that their callers left.
func (e *busyEngine) drop() {
	for _, list := range []*[]*stream{&e.waiting, &e.running} {
		kept := (*list)[:0]
		for _, s := range *list {
			if !s.gone && s.left > 0 {
				kept = append(kept, s)
			}
		}
		*list = kept
	}
}

// fleetLoad plays classes at several daemons that hear of each other late.
type fleetLoad struct {
	daemons []*balance.Balancer
	engines map[string]*busyEngine
	streams map[uint64]*stream
	results map[string]*tally
	later   map[clock.Millis][]func(*balance.Balancer)
	from    map[clock.Millis][]int
	next    uint64
}

const hearingLag = 300 * clock.Millisecond

func newFleetLoad(daemons, engines int) *fleetLoad {
	f := &fleetLoad{
		engines: map[string]*busyEngine{}, streams: map[uint64]*stream{}, results: map[string]*tally{},
		later: map[clock.Millis][]func(*balance.Balancer){}, from: map[clock.Millis][]int{},
	}
	var endpoints []balance.Endpoint
	for i := range engines {
		id := fmt.Sprint("e", i)
		endpoints = append(endpoints, balance.Endpoint{ID: id, Backend: "b", Slots: 64, CacheTokens: 354911})
		f.engines[id] = &busyEngine{cached: map[uint64]bool{}}
	}
	for range daemons {
		b := balance.New()
		b.SetEndpoints(0, endpoints)
		b.SetRemoteTraffic(balance.RemoteTraffic{Share: float64(daemons-1) / float64(daemons), UpdateLag: hearingLag})
		f.daemons = append(f.daemons, b)
	}
	return f
}

// tell lets the other daemons hear of something later.
func (f *fleetLoad) tell(now clock.Millis, daemon int, hear func(*balance.Balancer)) {
	f.later[now+hearingLag] = append(f.later[now+hearingLag], hear)
	f.from[now+hearingLag] = append(f.from[now+hearingLag], daemon)
}

func (f *fleetLoad) hear(now clock.Millis) {
	for i, hear := range f.later[now] {
		for d, b := range f.daemons {
			if d != f.from[now][i] {
				hear(b)
			}
		}
	}
	delete(f.later, now)
	delete(f.from, now)
}

// end ends a stream at its daemon, and later at the others.
func (f *fleetLoad) end(now clock.Millis, s *stream, outcome balance.Outcome) {
	s.gone = true
	delete(f.streams, s.job)
	f.daemons[s.daemon].RecordEnd(now, s.job, outcome)
	f.tell(now, s.daemon, func(b *balance.Balancer) { b.RecordEnd(now+hearingLag, s.job, outcome) })
	if outcome == balance.Succeeded {
		f.results[s.class.name].inTime++
	}
}

// ask places a request of the class at a daemon.
func (f *fleetLoad) ask(now clock.Millis, n int, c *class) {
	f.next++
	result := f.results[c.name]
	if result == nil {
		result = &tally{}
		f.results[c.name] = result
	}
	result.asked++
	daemon := int(f.next*5) % len(f.daemons)
	b := f.daemons[daemon]
	request := c.request(n, f.next, f.next*7919)
	request.TieBreakSeed = f.next * 0x9E3779B97F4A7C15
	choice, found := b.Choose(now, request)
	if !found {
		result.refused++
		return
	}
	if _, admitted := b.Admit(now, request, choice, c.limit); !admitted {
		result.refused++
		return
	}
	job := jobOf(f.next, request, choice)
	b.RecordLocalJob(now, job)
	f.tell(now, daemon, func(b *balance.Balancer) { b.RecordRemoteJob(now+hearingLag, job, hearingLag) })
	engine := f.engines[choice.Endpoint]
	s := &stream{job: job.ID, daemon: daemon, class: c, prompt: c.prompt, left: c.output, deadline: now + c.limit, engine: engine}
	if topic := request.Parts[0].Hash; !engine.cached[topic] {
		s.prompt += c.shared
		engine.cached[topic] = true
	}
	engine.waiting = append(engine.waiting, s)
	f.streams[job.ID] = s
}

// withdraw ends the streams whose callers wait no longer, in the order in which
// they came.
func (f *fleetLoad) withdraw(now clock.Millis) {
	var overdue []uint64
	for id, s := range f.streams {
		if now >= s.deadline {
			overdue = append(overdue, id)
		}
	}
	slices.Sort(overdue)
	for _, id := range overdue {
		f.end(now, f.streams[id], balance.Canceled)
	}
}

// play plays the classes for a while.
func (f *fleetLoad) play(span clock.Millis, classes ...class) map[string]*tally {
	for now := clock.Millis(0); now < span; now++ {
		f.hear(now)
		for n := range classes {
			if now%classes[n].every == 0 {
				f.ask(now, n, &classes[n])
			}
		}
		for _, id := range slices.Sorted(maps.Keys(f.engines)) {
			f.engines[id].step(now, func(s *stream) {
				f.daemons[s.daemon].RecordFirstToken(now, s.job)
				f.tell(now, s.daemon, func(b *balance.Balancer) { b.RecordFirstToken(now+hearingLag, s.job) })
			}, func(s *stream) { f.end(now, s, balance.Succeeded) })
		}
		f.withdraw(now)
	}
	return f.results
}

// TestOverloadedFleetFinishesWhatItLetsIn: most endpoints have gone, their caches
// with them, while long prompts come in a burst, at a fleet whose daemons hear of
// each other 300 ms late. What is let in must end within its time limit, the most
// urgent work is served, and no kind of request gets nothing.
func TestOverloadedFleetFinishesWhatItLetsIn(t *testing.T) {
	asks := class{name: "asks", every: 25, prompt: 1110, topics: 100, shared: 350, output: 176, priority: 0, limit: 8 * clock.Second}
	histories := class{name: "histories", every: 50, prompt: 2890, topics: 60, shared: 6300, output: 56, priority: 1, limit: 4 * clock.Second}
	dossiers := class{name: "dossiers", every: 12, prompt: 3720, topics: 200, shared: 13300, output: 120, priority: 2, limit: 8 * clock.Second}
	results := newFleetLoad(20, 8).play(25*clock.Second, asks, histories, dossiers)
	const atEnd = 100 // may still run when the play ends
	for name, r := range results {
		t.Logf("%s: %+v", name, *r)
		if letIn := r.asked - r.refused; r.inTime+atEnd < letIn*9/10 {
			t.Errorf("%s: of %d that were let in %d ended in time", name, letIn, r.inTime)
		}
	}
	if r := results["asks"]; r.inTime < r.asked*8/10 {
		t.Errorf("asks: %+v; want the most urgent work served", *r)
	}
	if r := results["dossiers"]; r.inTime < r.asked/10 {
		t.Errorf("dossiers: %+v; want some of the least urgent work served", *r)
	}
}
