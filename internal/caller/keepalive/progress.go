package keepalive

import (
	"math"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
)

const (
	// arrivalTime is how long a request may arrive before it can count as slow.
	arrivalTime = clock.Second
	// rateHalfLife is the time in which the weight of bytes that have arrived halves.
	rateHalfLife = 250 * clock.Millisecond
)

// progress follows how much of a request has arrived.
type progress struct {
	begun time.Time
	// total is the number of bytes so far, and recent the same with each byte weighted by its age
	// at the time last.
	total  int64
	recent float64
	last   time.Time
}

// add records that bytes have arrived.
func (p *progress) add(count int, now time.Time) {
	p.recent = p.rate(now) + float64(count)
	p.last = now
	p.total += int64(count)
}

// rate returns how much has arrived recently, in bytes weighted by age.
func (p *progress) rate(now time.Time) float64 {
	return p.recent * math.Exp2(-float64(now.Sub(p.last))/float64(rateHalfLife.Duration()))
}

// isLate reports whether the request has been arriving for long enough to count as slow.
func (p *progress) isLate(now time.Time) bool {
	return now.Sub(p.begun) >= arrivalTime.Duration()
}
