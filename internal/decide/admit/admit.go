// Package admit decides whether a request may wait for its turn, or is refused
// at once because it would start too late or because too much waits already.
//
// A prediction counts only what runs before the request by right: the work of
// higher tiers and the fair part of its own tier. Lower tiers never cause a
// refusal: their waiting work is withdrawn first.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	decision := admit.Decide(limits, admit.Input{...}, rng)
//	switch decision.Verdict {
//	case admit.Wait:
//	case admit.EvictLowerTier: // withdraw lower work, then let the request wait
//	case admit.Refuse: // answer with decision.Code and decision.RetryAfter
//	}
package admit

import (
	"math/rand/v2"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
)

// Verdict is the kind of a Decision.
type Verdict int

// The verdicts.
const (
	// Wait lets the request wait for its turn.
	Wait Verdict = iota
	// EvictLowerTier lets the request wait after waiting work of a lower tier has
	// been withdrawn.
	EvictLowerTier
	// EvictOverShare lets the request wait after the newest waiting work of the
	// team of the same tier that is furthest beyond its share was refused.
	EvictOverShare
	// Refuse turns the request away.
	Refuse
)

// Defaults of Limits.
const (
	// DefaultWaitingPerSlot bounds the waiting requests for each slot.
	DefaultWaitingPerSlot = 50
	// DefaultMinWaitingLimit is the bound of a cell with few slots.
	DefaultMinWaitingLimit = 100
	// DefaultMinRetryAfter and DefaultMaxRetry bound Retry-After.
	DefaultMinRetryAfter = 1 * clock.Second
	DefaultMaxRetryAfter = 60 * clock.Second
)

// Limits bounds the queue. Zero fields take the defaults.
type Limits struct {
	WaitingPerSlot  int
	MinWaitingLimit int
	MinRetryAfter   clock.Millis
	MaxRetryAfter   clock.Millis
}

// WithDefaults returns l with the defaults in place of zero fields.
func (l Limits) WithDefaults() Limits {
	if l.WaitingPerSlot == 0 {
		l.WaitingPerSlot = DefaultWaitingPerSlot
	}
	if l.MinWaitingLimit == 0 {
		l.MinWaitingLimit = DefaultMinWaitingLimit
	}
	if l.MinRetryAfter == 0 {
		l.MinRetryAfter = DefaultMinRetryAfter
	}
	if l.MaxRetryAfter == 0 {
		l.MaxRetryAfter = DefaultMaxRetryAfter
	}
	return l
}

// MaxWaiting is how many requests may wait for that many slots.
func (l Limits) MaxWaiting(slots int) int {
	return max(l.MinWaitingLimit, l.WaitingPerSlot*slots)
}

// Input is what a decision depends on.
type Input struct {
	// Slots that usable endpoints have, and how many of them are free.
	Slots     int
	FreeSlots int
	// Waiting is the number of all waiting requests of the cell.
	Waiting int
	// RequestsAhead estimates the waiting requests that run before this one.
	RequestsAhead float64
	// MeanSlotTime is the mean time that a request holds a slot.
	MeanSlotTime clock.Millis
	// ExpectedFirstToken is the expected time from dispatch to the first token.
	ExpectedFirstToken clock.Millis
	// Waited is how long the request has waited already.
	Waited clock.Millis
	// FirstTokenTarget is the time in which the class wants the first token.
	FirstTokenTarget clock.Millis
	// MaxWait is how long the request may wait.
	MaxWait     clock.Millis
	RefuseEarly bool
	// Resumed requests have run and are never refused for their target.
	Resumed bool
	// LowerTierWaiting says that waiting work of a lower tier could be withdrawn.
	LowerTierWaiting bool
	// OtherTeamOverShare says that a team of the same tier is further beyond its share
	// than the request's team.
	OtherTeamOverShare bool
	// HigherTierRefused says that requests of a higher tier are being refused, so
	// that the request could only take the place of a more important one.
	HigherTierRefused bool
}

// Decision is the answer for one request.
type Decision struct {
	Verdict    Verdict
	Code       request.Code
	RetryAfter clock.Millis
	// DispatchDelay is the predicted time until dispatch.
	DispatchDelay clock.Millis
}

// Decide says whether a request may wait.
func Decide(limits Limits, s Input, rng *rand.Rand) (decision Decision) {
	limits = limits.WithDefaults()
	decision.DispatchDelay = s.start()
	switch {
	case s.Resumed || (s.FreeSlots > 0 && s.RequestsAhead < 1):
		return decision
	case s.Slots == 0 && s.RefuseEarly:
		return refuse(decision, limits, request.CodeNoEndpoint, rng)
	case s.HigherTierRefused && s.LowerTierWaiting:
		decision.Verdict = EvictLowerTier
		return decision
	case s.HigherTierRefused:
		return refuse(decision, limits, request.CodeOverloaded, rng)
	case s.late() && s.LowerTierWaiting:
		decision.Verdict = EvictLowerTier
		return decision
	case s.late():
		return refuse(decision, limits, request.CodeTargetWouldBeMissed, rng)
	case s.Waiting < limits.MaxWaiting(s.Slots):
		return decision
	case s.LowerTierWaiting:
		decision.Verdict = EvictLowerTier
		return decision
	case s.OtherTeamOverShare:
		decision.Verdict = EvictOverShare
		return decision
	}
	return refuse(decision, limits, request.CodeOverloaded, rng)
}

// start predicts the time until dispatch.
func (s Input) start() clock.Millis {
	if s.Slots == 0 {
		return 0
	}
	needed := s.RequestsAhead + 1 - float64(s.FreeSlots)
	if needed <= 0 {
		return 0
	}
	return clock.Millis(needed * float64(s.MeanSlotTime) / float64(s.Slots))
}

// late reports whether the class wants to know that the target is missed.
func (s Input) late() bool {
	if !s.RefuseEarly {
		return false
	}
	return s.Waited+s.start()+s.ExpectedFirstToken > s.FirstTokenTarget
}

func refuse(decision Decision, limits Limits, code request.Code, rng *rand.Rand) Decision {
	decision.Verdict = Refuse
	decision.Code = code
	decision.RetryAfter = RetryAfter(limits, decision.DispatchDelay, rng)
	return decision
}

// RetryAfter spreads the callers that were refused over the time that the
// backlog takes to drain: drawn evenly from one to two times the drain time,
// within the limits.
func RetryAfter(limits Limits, drain clock.Millis, rng *rand.Rand) clock.Millis {
	limits = limits.WithDefaults()
	base := min(max(drain, limits.MinRetryAfter), limits.MaxRetryAfter/2)
	return base + clock.Millis(rng.Int64N(int64(base)+1))
}
