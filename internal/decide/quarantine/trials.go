package quarantine

import (
	"maps"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Trials lets requests with digests under suspicion run one at a time. It is not safe for
// concurrent use.
type Trials struct {
	// until holds the latest end of the trial of each digest.
	until map[Digest]clock.Millis
}

// NewTrials returns Trials of which none is under way.
func NewTrials() *Trials {
	return &Trials{until: make(map[Digest]clock.Millis)}
}

// Begin begins a trial of some digests, unless one of them is on trial. lifetime is the
// longest time until its end, in case that End is not called.
func (t *Trials) Begin(now clock.Millis, digests []Digest, lifetime clock.Millis) (begun bool) {
	maps.DeleteFunc(t.until, func(_ Digest, until clock.Millis) bool { return until <= now })
	for _, digest := range digests {
		if _, underWay := t.until[digest]; underWay {
			return false
		}
	}
	for _, digest := range digests {
		t.until[digest] = now + lifetime
	}
	return true
}

// End ends the trial of some digests.
func (t *Trials) End(digests []Digest) {
	for _, digest := range digests {
		delete(t.until, digest)
	}
}
