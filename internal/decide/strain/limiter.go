package strain

import (
	"maps"
	"math"

	"github.com/banyanshift/banyanshift/coord/clock"
)

const (
	// rateShare is the share of a stated rate that is used. The rest allows for requests
	// that are delayed on their way, and so come closer together.
	rateShare = 0.95
	// burst is how many requests may come at once after a pause.
	burst = 2
	// windowDecrease is the factor by which a refusal shrinks the window.
	windowDecrease = 0.7
	// minWindow is the smallest window.
	minWindow = 1
	// refusalShare is the share of the stated number of refusals that may be drawn.
	refusalShare = 0.25
	// retryInterval is the shortest time after which to ask again.
	retryInterval = 40 * clock.Millisecond
	// maxInterval limits the time between two requests that an endpoint's terms lead to. Without a
	// request, no answer could state others.
	maxInterval = 30 * clock.Second
	// defaultSlots is the window of an endpoint whose slots are not known.
	defaultSlots = 4
	// forgetAfter is how long the state of an endpoint without requests is kept.
	forgetAfter = 30 * clock.Second
)

// Outcome is how a request with a permit ended.
type Outcome int

// Outcomes.
const (
	// Answered: the endpoint ran the request.
	Answered Outcome = iota
	// Refused: the endpoint did not run the request for want of room.
	Refused
	// Failed: the endpoint did not answer.
	Failed
	// NotSent: the request was not sent to the endpoint.
	NotSent
)

// Ask asks for a permit.
type Ask struct {
	Endpoint string
	// Permit identifies the permit.
	Permit uint64
	Terms  Terms
	// Slots is the number of requests that the endpoint runs at once, 0 if not known.
	Slots int
	// Jobs is the number of requests at the endpoint as far as the owner knows. It counts
	// when the endpoint is found to be brittle, since these requests have no permits.
	Jobs int
	// MaxWait is how long the request may wait before it is sent.
	MaxWait clock.Millis
	// Lifetime is the longest time until the end of the request, in case that it is not
	// reported.
	Lifetime clock.Millis
}

// Decision answers an Ask.
type Decision struct {
	Granted bool
	// Wait is the time until the request may be sent if it is granted, and otherwise the
	// time after which to ask again.
	Wait clock.Millis
}

// Limiter gives the permits for the endpoints that a daemon owns.
type Limiter struct {
	endpoints map[string]*limiterState
	lastSweep clock.Millis
}

// limiterState is the state of one endpoint.
type limiterState struct {
	usedAt clock.Millis
	// nextSend is the theoretical time of the next request at the stated rate, in ms.
	nextSend float64
	// window is the number of requests that may be at a brittle endpoint.
	window float64
	// pausedUntil is the end of the pause after a refusal.
	pausedUntil clock.Millis
	// brittle is set while the endpoint states how many refusals it survives.
	brittle bool
	// permits holds the latest end of each request at a brittle endpoint.
	permits map[uint64]clock.Millis
}

// NewLimiter returns a Limiter that has given no permits.
func NewLimiter() *Limiter {
	return &Limiter{endpoints: make(map[string]*limiterState)}
}

// Decide decides on a permit.
func (l *Limiter) Decide(now clock.Millis, ask Ask) Decision {
	l.sweep(now)
	s := l.state(now, ask)
	s.usedAt = now
	s.setBrittle(now, ask)
	if s.brittle {
		if wait := s.waitForRoom(now, ask); wait > 0 {
			return Decision{Wait: wait}
		}
	}
	wait := clock.Millis(0)
	if ask.Terms.RequestsPerSecond > 0 {
		wait = s.waitForRate(now, ask.Terms)
		if wait > ask.MaxWait {
			return Decision{Wait: max(wait-ask.MaxWait, retryInterval)}
		}
		s.takeRate(now, ask.Terms)
	}
	if s.brittle {
		s.permits[ask.Permit] = now + wait + ask.Lifetime
	}
	return Decision{Granted: true, Wait: wait}
}

func (l *Limiter) state(now clock.Millis, ask Ask) *limiterState {
	s := l.endpoints[ask.Endpoint]
	if s == nil {
		s = &limiterState{nextSend: float64(now), window: float64(slots(ask)), permits: make(map[uint64]clock.Millis)}
		l.endpoints[ask.Endpoint] = s
	}
	return s
}

// setBrittle begins or ends to count the requests at the endpoint. Those that it has when
// it becomes brittle count until they have had time to end.
func (s *limiterState) setBrittle(now clock.Millis, ask Ask) {
	brittle := ask.Terms.RefusalsPerSecond > 0
	if brittle == s.brittle {
		return
	}
	s.brittle = brittle
	clear(s.permits)
	if !brittle {
		return
	}
	s.window = float64(slots(ask))
	for n := range ask.Jobs {
		s.permits[unknownPermits+uint64(n)] = now + min(ask.Lifetime, unknownLifetime)
	}
}

const (
	// unknownPermits is the first of the permits of requests that were sent without one.
	unknownPermits = math.MaxUint64 - 1<<20
	// unknownLifetime is how long such requests count.
	unknownLifetime = 3 * clock.Second
)

func slots(ask Ask) int {
	if ask.Slots > 0 {
		return ask.Slots
	}
	return defaultSlots
}

// waitForRoom returns when to ask again for a place in the window, 0 if there is one.
func (s *limiterState) waitForRoom(now clock.Millis, ask Ask) clock.Millis {
	if now < s.pausedUntil {
		return s.pausedUntil - now
	}
	maps.DeleteFunc(s.permits, func(_ uint64, until clock.Millis) bool { return until < now })
	s.window = min(s.window, float64(slots(ask)))
	if len(s.permits) >= int(s.window) {
		return retryInterval
	}
	return 0
}

// interval returns the time between two requests at the stated rate, in ms.
func interval(terms Terms) float64 {
	return min(float64(clock.Second)/(terms.RequestsPerSecond*rateShare), float64(maxInterval))
}

// waitForRate returns the time until a request may be sent at the stated rate.
func (s *limiterState) waitForRate(now clock.Millis, terms Terms) clock.Millis {
	earliest := s.nextSend - (burst-1)*interval(terms)
	return max(clock.Millis(earliest)-now, 0)
}

func (s *limiterState) takeRate(now clock.Millis, terms Terms) {
	s.nextSend = max(s.nextSend, float64(now)) + interval(terms)
}

// Finish records how a request with a permit ended. Unknown permits, of an earlier owner,
// count as well.
func (l *Limiter) Finish(now clock.Millis, endpoint string, permit uint64, terms Terms, outcome Outcome) {
	s := l.endpoints[endpoint]
	if s == nil {
		return
	}
	inUse := float64(len(s.permits))
	delete(s.permits, permit)
	switch outcome {
	case Answered:
		s.window += 1 / max(s.window, minWindow)
	case Refused:
		s.window = max(min(s.window, inUse)*windowDecrease, minWindow)
		s.pause(now, terms)
	case Failed:
		s.window = minWindow
	case NotSent:
	}
}

// pause spaces the refusals that are drawn from a brittle endpoint.
func (s *limiterState) pause(now clock.Millis, terms Terms) {
	if terms.RefusalsPerSecond > 0 {
		s.pausedUntil = now + clock.Millis(min(float64(clock.Second)/(terms.RefusalsPerSecond*refusalShare), float64(maxInterval)))
	}
}

// sweep forgets endpoints without requests.
func (l *Limiter) sweep(now clock.Millis) {
	if now-l.lastSweep < forgetAfter {
		return
	}
	l.lastSweep = now
	maps.DeleteFunc(l.endpoints, func(_ string, s *limiterState) bool { return now-s.usedAt > forgetAfter })
}
