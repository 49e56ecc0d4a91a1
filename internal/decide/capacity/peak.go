package capacity

import "github.com/banyanshift/banyanshift/coord/clock"

// peakBuckets is the number of buckets that PeakWindow is divided into.
const peakBuckets = 10

// peakTracker tracks the greatest load of a sliding window in a ring of buckets.
type peakTracker struct {
	bucketWidth clock.Millis
	buckets     [peakBuckets + 1]load
	lastBucket  clock.Millis
}

func newPeakTracker(window clock.Millis) *peakTracker {
	return &peakTracker{bucketWidth: max(1, window/peakBuckets)}
}

// record adds a load and returns the greatest load in the window.
func (p *peakTracker) record(now clock.Millis, l load) (greatest load) {
	current := now / p.bucketWidth
	for p.lastBucket < current {
		p.lastBucket = max(p.lastBucket+1, current-peakBuckets)
		p.buckets[p.lastBucket%(peakBuckets+1)] = load{}
	}
	bucket := &p.buckets[current%(peakBuckets+1)]
	*bucket = bucket.max(l)
	for _, b := range p.buckets {
		greatest = greatest.max(b)
	}
	return greatest
}
