package admit

import (
	"math/rand/v2"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
)

func TestDecide(t *testing.T) {
	busy := Input{Slots: 10, MeanSlotTime: 1000, FirstTokenTarget: 800, ExpectedFirstToken: 100, RefuseEarly: true}
	with := func(change func(*Input)) Input {
		s := busy
		change(&s)
		return s
	}
	for name, c := range map[string]struct {
		situation Input
		verdict   Verdict
		code      request.Code
	}{
		"free slot":          {with(func(s *Input) { s.FreeSlots = 1 }), Wait, ""},
		"starts in time":     {with(func(s *Input) { s.RequestsAhead = 5 }), Wait, ""},
		"late":               {with(func(s *Input) { s.RequestsAhead = 8 }), Refuse, request.CodeTargetWouldBeMissed},
		"late, may wait":     {with(func(s *Input) { s.RequestsAhead, s.RefuseEarly = 8, false }), Wait, ""},
		"late, has run":      {with(func(s *Input) { s.RequestsAhead, s.Resumed = 8, true }), Wait, ""},
		"late, lower waits":  {with(func(s *Input) { s.RequestsAhead, s.LowerTierWaiting = 8, true }), EvictLowerTier, ""},
		"waited already":     {with(func(s *Input) { s.Waited = 700 }), Refuse, request.CodeTargetWouldBeMissed},
		"full":               {with(func(s *Input) { s.Waiting = 500 }), Refuse, request.CodeOverloaded},
		"full, lower waits":  {with(func(s *Input) { s.Waiting, s.LowerTierWaiting = 500, true }), EvictLowerTier, ""},
		"full, other excess": {with(func(s *Input) { s.Waiting, s.OtherTeamOverShare = 500, true }), EvictOverShare, ""},
		"higher refused":     {with(func(s *Input) { s.HigherTierRefused = true }), Refuse, request.CodeOverloaded},
		"no endpoint":        {with(func(s *Input) { s.Slots = 0 }), Refuse, request.CodeNoEndpoint},
		"no endpoint, waits": {with(func(s *Input) { s.Slots, s.RefuseEarly = 0, false }), Wait, ""},
	} {
		got := Decide(Limits{}, c.situation, rand.New(rand.NewPCG(1, 2)))
		if got.Verdict != c.verdict || got.Code != c.code {
			t.Errorf("%s: got verdict %d and code %q, want %d and %q", name, got.Verdict, got.Code, c.verdict, c.code)
		}
		if got.Verdict == Refuse && got.RetryAfter <= 0 {
			t.Errorf("%s: got no RetryAfter, want a positive time", name)
		}
	}
}

func TestRetryAfterSpreads(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	buckets := map[clock.Millis]int{}
	for range 1000 {
		after := RetryAfter(Limits{}, 10*clock.Second, rng)
		if after < 10*clock.Second || after > 20*clock.Second {
			t.Fatalf("got RetryAfter %v, want 10 to 20 s", after)
		}
		buckets[after/clock.Second]++
	}
	for second, n := range buckets {
		if n > 160 {
			t.Errorf("got %d of 1000 retries in second %d, want at most 160", n, second)
		}
	}
}
