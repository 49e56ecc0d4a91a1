// Package walltime keeps the time of day of a daemon steady and equal to that of the
// other daemons, although the clocks of some VMs may be set to another time at any
// moment.
//
// The time of day is the steady clock plus an offset. The offset follows the clock of
// the VM in small steps only. A larger step is ignored, unless it lasts and the other
// daemons do not contradict it. If several daemons agree on another offset, the clock
// was probably wrong when this daemon started, and their offset is taken over.
//
// No decision about requests depends on the time of day; the windows of usage do.
//
// # Usage
//
//	e := walltime.New(clk)
//	clk = e.Clock()
//	e.RecordPeer("10.0.0.2:7340", answer.Wall, sentAt, clk.Now())
package walltime

import (
	"slices"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
)

const (
	// maxStep is the largest difference to the clock of the VM that is followed at
	// once, such as the corrections of a time daemon.
	maxStep = 50 * clock.Millisecond
	// adoptAfter is how long a larger difference must last to be followed.
	adoptAfter = clock.Minute
	// maxDisagreement is the difference up to which two offsets count as equal.
	maxDisagreement = 150 * clock.Millisecond
	// maxRoundTrip is the longest exchange that says enough about a peer's offset.
	maxRoundTrip = 100 * clock.Millisecond
	// sampleLifetime is how long the offset of a peer counts.
	sampleLifetime = 5 * clock.Second
	// minAgreeing is the least number of peers whose common offset is taken over.
	minAgreeing = 2
)

// Estimator estimates the time of day. It is safe for concurrent use.
type Estimator struct {
	clock clock.Clock

	mu     sync.Mutex
	offset clock.Millis
	// differs is set while the clock of the VM differs by more than maxStep, since
	// differsSince.
	differs      bool
	differsSince clock.Millis
	// samples holds the last offset of each peer.
	samples map[string]sample
}

type sample struct {
	offset clock.Millis
	at     clock.Millis
}

// New returns an Estimator that starts with the time of day of the VM's clock.
func New(clk clock.Clock) *Estimator {
	return &Estimator{clock: clk, offset: clk.Wall() - clk.Now(), samples: make(map[string]sample)}
}

// Clock returns the clock given to New with the estimated time of day.
func (e *Estimator) Clock() clock.Clock {
	clk := e.clock
	clk.Wall = e.Wall
	return clk
}

// Wall returns the estimated time of day in milliseconds since the Unix epoch.
func (e *Estimator) Wall() clock.Millis {
	now := e.clock.Now()
	vmOffset := e.clock.Wall() - now
	e.mu.Lock()
	defer e.mu.Unlock()
	e.follow(now, vmOffset)
	return now + e.offset
}

// follow adjusts the offset to that of the VM's clock.
func (e *Estimator) follow(now, vmOffset clock.Millis) {
	if distance(vmOffset, e.offset) <= maxStep {
		e.offset, e.differs = vmOffset, false
		return
	}
	if !e.differs {
		e.differs, e.differsSince = true, now
	}
	if now-e.differsSince >= adoptAfter && e.agreeing(now, e.offset) < minAgreeing {
		e.offset, e.differs = vmOffset, false
	}
}

// RecordPeer records the time of day that a peer reported in the answer to a message
// that was sent at sentAt and answered at receivedAt. It returns the correction of the
// time of day that follows from it, mostly 0.
func (e *Estimator) RecordPeer(peer string, wall, sentAt, receivedAt clock.Millis) (correction clock.Millis) {
	if receivedAt-sentAt > maxRoundTrip {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.samples[peer] = sample{offset: wall - (sentAt+receivedAt)/2, at: receivedAt}
	for address, s := range e.samples {
		if receivedAt-s.at > sampleLifetime {
			delete(e.samples, address)
		}
	}
	common := e.medianOffset()
	agreeing := e.agreeing(receivedAt, common)
	if agreeing < minAgreeing || 2*agreeing <= len(e.samples) || distance(common, e.offset) <= maxDisagreement {
		return 0
	}
	correction = common - e.offset
	e.offset, e.differs = common, false
	return correction
}

func (e *Estimator) medianOffset() clock.Millis {
	offsets := make([]clock.Millis, 0, len(e.samples))
	for _, s := range e.samples {
		offsets = append(offsets, s.offset)
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}

// agreeing returns the number of peers whose offset is about the given one.
func (e *Estimator) agreeing(now, offset clock.Millis) (count int) {
	for _, s := range e.samples {
		if now-s.at <= sampleLifetime && distance(s.offset, offset) <= maxDisagreement {
			count++
		}
	}
	return count
}

func distance(a, b clock.Millis) clock.Millis {
	return max(a-b, b-a)
}
