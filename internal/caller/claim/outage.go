package claim

import (
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
)

const (
	// outageAfter is how long the table must have failed before requests
	// are refused without an attempt.
	outageAfter = 2 * clock.Second
	// probeInterval is the time between two attempts during an outage.
	probeInterval = clock.Second
)

// outage decides whether a claim is worth an attempt.
type outage struct {
	clock clock.Clock

	mu      sync.Mutex
	failing bool
	since   clock.Millis
	probed  clock.Millis
}

func newOutage(clk clock.Clock) *outage {
	return &outage{clock: clk}
}

// admit reports whether to attempt a claim.
func (o *outage) admit() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	if !o.failing || now-o.since < outageAfter {
		return true
	}
	if now-o.probed < probeInterval {
		return false
	}
	o.probed = now
	return true
}

// observe takes note of whether the table answered an attempt, and reports
// whether that differs from the attempt before.
func (o *outage) observe(answered bool) (changed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed = o.failing == answered
	if changed && !answered {
		o.since = o.clock.Now()
	}
	o.failing = !answered
	return changed
}
