package quarantine

import (
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// expire forgets crashes that are too old.
func (b *Book) expire(now clock.Millis) {
	for id, held := range b.crashes {
		if now-held.At >= memory {
			b.forget(id, held)
		}
	}
}

// limit forgets a crash if there are too many, but not the newest one: first those that
// support no suspicion, then the oldest.
func (b *Book) limit(newest *record) {
	if len(b.crashes) <= maxCrashes {
		return
	}
	suspected := b.suspected(newest.At)
	var first identity
	var worst *record
	for id, held := range b.crashes {
		if held != newest && (worst == nil || goesBefore(suspected, held, worst)) {
			first, worst = id, held
		}
	}
	b.forget(first, worst)
}

// suspected returns the digests that are under suspicion or in quarantine.
func (b *Book) suspected(now clock.Millis) map[Digest]bool {
	suspected := make(map[Digest]bool)
	for digest, crashes := range b.index {
		if len(crashes) >= suspectCrashes && len(b.evidence(now, digest)) >= suspectCrashes {
			suspected[digest] = true
		}
	}
	return suspected
}

// goesBefore reports whether a crash is to be forgotten before another one.
func goesBefore(suspected map[Digest]bool, held, other *record) bool {
	supports, otherSupports := held.supports(suspected), other.supports(suspected)
	if supports != otherSupports {
		return otherSupports
	}
	return held.At < other.At
}

// supports reports whether a crash counts against a digest that is under suspicion.
func (r *record) supports(suspected map[Digest]bool) bool {
	for digest := range r.digests {
		if suspected[digest] && r.accuses(digest) {
			return true
		}
	}
	return false
}

func (b *Book) forget(id identity, held *record) {
	delete(b.crashes, id)
	for digest := range held.digests {
		b.index[digest] = slices.DeleteFunc(b.index[digest], func(r *record) bool { return r == held })
		if len(b.index[digest]) == 0 {
			delete(b.index, digest)
		}
	}
}
