// Package admit decides whether a request may wait in the queue of a cell, or
// is refused immediately because it would start too late or the queue is full.
//
// The predicted start counts only the requests that the scheduler runs first:
// those of higher tiers and the fair share of the request's own tier. Lower
// tiers never cause a refusal: their waiting requests are removed from the
// queue first.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	decision := admit.Decide(limits, admit.Input{...}, rng)
//	switch decision.Verdict {
//	case admit.Wait: // enqueue the request
//	case admit.EvictLowerTier: // evict a request of a lower tier, then enqueue
//	case admit.EvictOverShare: // evict a request of a team over its share, then enqueue
//	case admit.Refuse: // respond with decision.Code and decision.RetryAfter
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
	// Wait adds the request to the queue.
	Wait Verdict = iota
	// EvictLowerTier adds the request to the queue after a waiting request of
	// a lower tier was evicted.
	EvictLowerTier
	// EvictOverShare adds the request to the queue after the newest waiting
	// request of the team of the same tier that exceeds its share most was
	// refused.
	EvictOverShare
	// Refuse rejects the request.
	Refuse
)

// Defaults of Limits.
const (
	// DefaultWaitingPerSlot limits the number of waiting requests per slot.
	DefaultWaitingPerSlot = 50
	// DefaultMinWaitingLimit is the limit for a cell with few slots.
	DefaultMinWaitingLimit = 100
	// DefaultMinRetryAfter and DefaultMaxRetryAfter limit Retry-After.
	DefaultMinRetryAfter = 1 * clock.Second
	DefaultMaxRetryAfter = 60 * clock.Second
)

// Limits holds the limits of the queue and of Retry-After. Zero fields take the
// defaults.
type Limits struct {
	// WaitingPerSlot is the maximum number of waiting requests per slot.
	WaitingPerSlot int
	// MinWaitingLimit is the lower bound of MaxWaiting.
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

// MaxWaiting returns the maximum number of waiting requests for a number of
// slots.
func (l Limits) MaxWaiting(slots int) int {
	return max(l.MinWaitingLimit, l.WaitingPerSlot*slots)
}

// Input holds the state of the cell and of the request that a decision depends
// on.
type Input struct {
	// Slots is the number of slots of usable endpoints, of which FreeSlots are
	// free.
	Slots     int
	FreeSlots int
	// Waiting is the number of waiting requests in the cell.
	Waiting int
	// RequestsAhead estimates the number of waiting requests that run before
	// this one.
	RequestsAhead float64
	// MeanSlotTime is the mean time that a request occupies a slot.
	MeanSlotTime clock.Millis
	// ExpectedFirstToken is the expected time from dispatch to the first token.
	ExpectedFirstToken clock.Millis
	// Waited is how long the request has waited so far.
	Waited clock.Millis
	// FirstTokenTarget is the class's target for the time to first token.
	FirstTokenTarget clock.Millis
	// MaxWait is the maximum time that the request may wait.
	MaxWait clock.Millis
	// RefuseEarly is set if the class wants a request refused as soon as it is
	// expected to miss its target.
	RefuseEarly bool
	// Resumed requests have run before and are never refused.
	Resumed bool
	// LowerTierWaiting is set if a waiting request of a lower tier can be
	// evicted.
	LowerTierWaiting bool
	// OtherTeamOverShare is set if another team of the same tier exceeds its
	// share by more than the request's team.
	OtherTeamOverShare bool
	// HigherTierRefused is set while requests of a higher tier are refused.
	// Admitting this one would take the place of a more important one.
	HigherTierRefused bool
}

// Decision is the decision about one request.
type Decision struct {
	Verdict    Verdict
	Code       request.Code
	RetryAfter clock.Millis
	// DispatchDelay is the predicted time until dispatch.
	DispatchDelay clock.Millis
}

// Decide decides whether a request may wait. rng randomizes RetryAfter.
func Decide(limits Limits, s Input, rng *rand.Rand) (decision Decision) {
	limits = limits.WithDefaults()
	decision.DispatchDelay = s.dispatchDelay()
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

// dispatchDelay predicts the time until dispatch.
func (s Input) dispatchDelay() clock.Millis {
	if s.Slots == 0 {
		return 0
	}
	needed := s.RequestsAhead + 1 - float64(s.FreeSlots)
	if needed <= 0 {
		return 0
	}
	return clock.Millis(needed * float64(s.MeanSlotTime) / float64(s.Slots))
}

// late reports whether the request is expected to miss its target and the class
// wants it refused early.
func (s Input) late() bool {
	if !s.RefuseEarly {
		return false
	}
	return s.Waited+s.dispatchDelay()+s.ExpectedFirstToken > s.FirstTokenTarget
}

func refuse(decision Decision, limits Limits, code request.Code, rng *rand.Rand) Decision {
	decision.Verdict = Refuse
	decision.Code = code
	decision.RetryAfter = RetryAfter(limits, decision.DispatchDelay, rng)
	return decision
}

// RetryAfter returns a random time between one and two times the drain time of
// the backlog, within the limits, so that refused callers don't all retry at
// the same time.
func RetryAfter(limits Limits, drain clock.Millis, rng *rand.Rand) clock.Millis {
	limits = limits.WithDefaults()
	base := min(max(drain, limits.MinRetryAfter), limits.MaxRetryAfter/2)
	return base + clock.Millis(rng.Int64N(int64(base)+1))
}
