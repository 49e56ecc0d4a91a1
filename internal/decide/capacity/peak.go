package capacity

import "github.com/banyanshift/banyanshift/coord/clock"

// peakBuckets is how many buckets hold the peaks of PeakWindow.
const peakBuckets = 10

// peak remembers the greatest load of a time in buckets.
type peak struct {
	width   clock.Millis
	buckets [peakBuckets + 1]load
	last    clock.Millis
}

func newPeak(hold clock.Millis) *peak {
	return &peak{width: max(1, hold/peakBuckets)}
}

// add notes a load and returns the greatest of the time.
func (p *peak) add(now clock.Millis, l load) (greatest load) {
	current := now / p.width
	for p.last < current {
		p.last = max(p.last+1, current-peakBuckets)
		p.buckets[p.last%(peakBuckets+1)] = load{}
	}
	bucket := &p.buckets[current%(peakBuckets+1)]
	*bucket = bucket.max(l)
	for _, b := range p.buckets {
		greatest = greatest.max(b)
	}
	return greatest
}
