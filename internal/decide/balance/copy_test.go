package balance_test

import (
	"fmt"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
)

const (
	// copyRate is the rate at which the engines of these tests copy, in tokens a ms.
	copyRate = 210
	// sharedTokens is the length of the part that prompts share.
	sharedTokens = 6300
)

var sharedPart = balance.PromptPart{Hash: 1, Tokens: sharedTokens}

// newPair returns a balancer with the endpoint a, which has the shared part cached and a queue
// of prompts, and b, after change was applied to both.
func newPair(queue int, change func(a, b *balance.Endpoint)) *balance.Balancer {
	first := balance.Endpoint{ID: "a", Backend: "b", FailureDomain: "north", Slots: 64, CacheTokens: 460000, CopyRate: copyRate}
	second := first
	second.ID = "b"
	if change != nil {
		change(&first, &second)
	}
	balancer := balance.New()
	balancer.SetEndpoints(0, []balance.Endpoint{first, second})
	balancer.RecordLocalJob(0, balance.Job{ID: 1, Endpoint: "a", Parts: []balance.PromptPart{sharedPart}, Uncached: queue, Expected: clock.Minute})
	return balancer
}

// TestPromptIsCopiedFromTheEndpointThatHasIt guards against a shared part that is computed
// again although another endpoint can send it sooner, and against copies from endpoints that
// cannot or are about to be gone.
func TestPromptIsCopiedFromTheEndpointThatHasIt(t *testing.T) {
	const long = 100_000
	for _, test := range []struct {
		name   string
		queue  int
		change func(a, b *balance.Endpoint)
		limit  balance.SoftwareLimit
		// wantEndpoint is the chosen one, wantCopied what it copies.
		wantEndpoint string
		wantCopied   int
	}{
		{name: "cached endpoint is free", wantEndpoint: "a"},
		{name: "cached endpoint is busy", queue: long, wantEndpoint: "b", wantCopied: sharedTokens},
		{name: "other failure domain", queue: long, change: func(_, b *balance.Endpoint) { b.FailureDomain = "south" }, wantEndpoint: "b", wantCopied: sharedTokens},
		{name: "no copies", queue: long, change: func(a, _ *balance.Endpoint) { a.CopyRate = 0 }, wantEndpoint: "b"},
		{name: "slow copies", queue: long, change: func(a, _ *balance.Endpoint) { a.CopyRate = 20 }, wantEndpoint: "b"},
		{name: "another software version", queue: long, change: func(a, _ *balance.Endpoint) { a.SoftwareVersion = "1" }, wantEndpoint: "b"},
		{name: "leaves now", change: func(a, _ *balance.Endpoint) { a.Leaving, a.LeavesAt = true, 100 }, wantEndpoint: "b"},
		{name: "leaves later", change: func(a, _ *balance.Endpoint) { a.Leaving, a.LeavesAt = true, 2*clock.Second }, wantEndpoint: "b", wantCopied: sharedTokens},
	} {
		t.Run(test.name, func(t *testing.T) {
			balancer := newPair(test.queue, test.change)
			request := balance.Request{Backend: "b", Output: 50, Parts: []balance.PromptPart{sharedPart, {Hash: 2, Tokens: 1000}}, FailureDomain: "north"}
			choice, found := balancer.Choose(0, request)
			if !found || choice.Endpoint != test.wantEndpoint || choice.CopyTokens != test.wantCopied {
				t.Fatalf("got endpoint %q and %d tokens copied, want %q and %d", choice.Endpoint, choice.CopyTokens, test.wantEndpoint, test.wantCopied)
			}
			if copied := choice.CopyFrom == "a" && choice.CopyTime > 0; copied != (test.wantCopied > 0) {
				t.Errorf("got a copy from %q in %s", choice.CopyFrom, choice.CopyTime)
			}
			if want := 1000 + sharedTokens - test.wantCopied; test.wantEndpoint == "b" && choice.Uncached != want {
				t.Errorf("got %d tokens to compute, want %d", choice.Uncached, want)
			}
		})
	}
}

// TestDrainedEndpointIsNotCopiedFrom guards against work for endpoints of a failure domain that
// the operator has drained.
func TestDrainedEndpointIsNotCopiedFrom(t *testing.T) {
	balancer := newPair(0, func(_, b *balance.Endpoint) { b.FailureDomain = "south" })
	balancer.SetDrained([]string{"north"})
	request := balance.Request{Backend: "b", Output: 50, Parts: []balance.PromptPart{sharedPart}}
	if choice, _ := balancer.Choose(0, request); choice.Endpoint != "b" || choice.CopyFrom != "" {
		t.Errorf("got endpoint %q and a copy from %q, want b and none", choice.Endpoint, choice.CopyFrom)
	}
}

// TestCopiesWaitForEachOther checks that a part is computed where copies of it would have to
// wait for longer than that takes.
func TestCopiesWaitForEachOther(t *testing.T) {
	balancer := newPair(100_000, nil)
	request := balance.Request{Backend: "b", Output: 50, Parts: []balance.PromptPart{sharedPart, {Hash: 2, Tokens: 1000}}}
	for n := range 20 {
		balancer.RecordLocalJob(0, balance.Job{ID: uint64(10 + n), Endpoint: "a", CopyFrom: "b", CopyTime: 50 * clock.Millis(n)})
	}
	if choice, _ := balancer.Choose(0, request); choice.CopyFrom != "" {
		t.Errorf("got a copy in %s, want none while others take 950 ms", choice.CopyTime)
	}
}

// reclaimedEngine is an engine that computes prompts in the order of their arrival, and copies
// parts that another one has.
type reclaimedEngine struct {
	freeAt   clock.Millis
	copiesAt clock.Millis
	cached   map[uint64]bool
}

// playReclaim sends prompts of topics to engines of three failure domains, of which two are
// reclaimed 2.5 s after their notice. It returns the mean time to first token in ms, and the
// tokens computed for a prompt, from the notice until 2 s after the end.
func playReclaim(rate float64) (firstToken, computed float64) {
	const (
		engineCount = 9
		topics      = 30
		notice      = 20 * clock.Second
		end         = notice + 2500*clock.Millisecond
		interval    = 15 * clock.Millisecond
	)
	b := balance.New()
	engines := map[string]*reclaimedEngine{}
	var list []balance.Endpoint
	for n := range engineCount {
		list = append(list, balance.Endpoint{ID: fmt.Sprint("e", n), Backend: "b", FailureDomain: fmt.Sprint("d", n%3), Slots: 64, CacheTokens: 460000, CopyRate: rate})
		engines[list[n].ID] = &reclaimedEngine{cached: map[uint64]bool{}}
	}
	b.SetEndpoints(0, list)
	id, measured := uint64(0), 0.0
	pending := map[uint64]clock.Millis{}
	for now := clock.Millis(0); now < end+2*clock.Second; now++ {
		for job, at := range pending {
			if now >= at {
				b.RecordFirstToken(now, job)
				b.RecordEnd(now, job, balance.Succeeded)
				delete(pending, job)
			}
		}
		switch now {
		case notice:
			for n := range list {
				list[n].Leaving = n%3 > 0
				list[n].LeavesAt = end
			}
			b.SetEndpoints(now, list)
		case end:
			b.SetEndpoints(now, []balance.Endpoint{list[0], list[3], list[6]})
		}
		if now%interval != 0 {
			continue
		}
		id++
		topic := balance.PromptPart{Hash: 1 + id*7919%topics, Tokens: sharedTokens}
		request := balance.Request{Backend: "b", FailureDomain: "d0", Output: 50, Parts: []balance.PromptPart{topic, {Hash: 1000 + id, Tokens: 1000}}, TieBreakSeed: id}
		choice, _ := b.Choose(now, request)
		job := balance.Job{ID: id, Endpoint: choice.Endpoint, Parts: request.Parts, Uncached: choice.Uncached, Output: 50, Expected: choice.ExpectedFirstToken, CopyFrom: choice.CopyFrom, CopyTime: choice.CopyTime}
		b.RecordLocalJob(now, job)
		at, tokens := engines[choice.Endpoint].begin(now, engines[choice.CopyFrom], topic, rate)
		pending[id] = at
		if now >= notice {
			firstToken += float64(at - now)
			computed += float64(tokens)
			measured++
		}
	}
	return firstToken / measured, computed / measured
}

// begin returns when the first token of a prompt comes that has a topic and 1,000 tokens of its
// own, and how many tokens are computed for it.
func (e *reclaimedEngine) begin(now clock.Millis, source *reclaimedEngine, topic balance.PromptPart, rate float64) (at clock.Millis, tokens int) {
	ready, tokens := now, 1000
	switch {
	case e.cached[topic.Hash]:
	case source != nil && source.cached[topic.Hash]:
		ready = max(now, e.copiesAt, source.copiesAt) + 2*clock.Millis(float64(topic.Tokens)/rate)
		e.copiesAt, source.copiesAt = ready, ready
	default:
		tokens += topic.Tokens
	}
	e.cached[topic.Hash] = true
	e.freeAt = max(e.freeAt, ready) + clock.Millis(float64(tokens)/tokensPerMilli)
	return e.freeAt + 25, tokens
}

// TestSharedPartsOutliveAReclaim plays the load of prompts while two of three failure domains
// are reclaimed. What they have cached is to be copied: at most half of the tokens computed, and
// the first token sooner than without copies.
func TestSharedPartsOutliveAReclaim(t *testing.T) {
	without, computedWithout := playReclaim(0)
	with, computedWith := playReclaim(copyRate)
	t.Logf("first token after %.0f ms without copies, %.0f ms with; %.0f and %.0f tokens computed for a prompt", without, with, computedWithout, computedWith)
	if with > without {
		t.Errorf("first token after %.0f ms, want at most %.0f, as without copies", with, without)
	}
	if own := 1000.0; computedWith-own > (computedWithout-own)/2 {
		t.Errorf("%.0f tokens of shared parts computed for a prompt, want at most half of %.0f", computedWith-own, computedWithout-own)
	}
}
