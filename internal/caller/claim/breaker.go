package claim

import (
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
)

const (
	// breakerOpenAfter is how long the table must have been failing before
	// requests are refused without an attempt.
	breakerOpenAfter = 2 * clock.Second
	// probeInterval is the time between two attempts while the breaker is open.
	probeInterval = clock.Second
)

// circuitBreaker limits claim attempts during an outage of the table. It opens
// after breakerOpenAfter and then allows one attempt per probeInterval.
type circuitBreaker struct {
	clock clock.Clock

	mu           sync.Mutex
	failing      bool
	failingSince clock.Millis
	lastProbe    clock.Millis
}

func newCircuitBreaker(clk clock.Clock) *circuitBreaker {
	return &circuitBreaker{clock: clk}
}

// allowAttempt reports whether a claim may be attempted now.
func (b *circuitBreaker) allowAttempt() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if !b.failing || now-b.failingSince < breakerOpenAfter {
		return true
	}
	if now-b.lastProbe < probeInterval {
		return false
	}
	b.lastProbe = now
	return true
}

// recordResult records whether the table answered an attempt and reports whether
// this differs from the previous attempt.
func (b *circuitBreaker) recordResult(answered bool) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed = b.failing == answered
	if changed && !answered {
		b.failingSince = b.clock.Now()
	}
	b.failing = !answered
	return changed
}
