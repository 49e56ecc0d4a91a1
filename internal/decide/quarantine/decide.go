package quarantine

import (
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Decide returns what is to be done with a request.
func (b *Book) Decide(now clock.Millis, digests []Digest) (d Decision) {
	for _, digest := range digests {
		if len(b.index[digest]) < suspectCrashes {
			continue
		}
		evidence := b.evidence(now, digest)
		if len(evidence) < suspectCrashes {
			continue
		}
		d.Suspects = append(d.Suspects, digest)
		if len(evidence) >= stopCrashes && containsAll(digests, companions(digest, evidence)) {
			d.Wait = max(d.Wait, nextTrial(evidence)-now)
		}
	}
	return d
}

// nextTrial returns when the next trial of a digest in quarantine may begin.
func nextTrial(evidence []*record) clock.Millis {
	times := make([]clock.Millis, 0, len(evidence))
	for _, crash := range evidence {
		times = append(times, crash.At)
	}
	slices.Sort(times)
	separate := 0
	for n := 1; n < len(times); n++ {
		if times[n]-times[n-1] >= burstGap {
			separate++
		}
	}
	return times[len(times)-1] + trialDelays[min(separate, len(trialDelays)-1)]
}

// Stopped returns the digests that are in quarantine, by themselves or together with others.
func (b *Book) Stopped(now clock.Millis) (digests []Digest) {
	for digest, crashes := range b.index {
		if len(crashes) >= stopCrashes && len(b.evidence(now, digest)) >= stopCrashes {
			digests = append(digests, digest)
		}
	}
	slices.Sort(digests)
	return digests
}

// evidence returns the crashes that count against a digest.
func (b *Book) evidence(now clock.Millis, digest Digest) (evidence []*record) {
	for _, crash := range b.index[digest] {
		if now-crash.At < memory && crash.accuses(digest) && b.isInUse(now, crash) && !b.isMassLoss(crash, digest) {
			evidence = append(evidence, crash)
		}
	}
	return evidence
}

// isInUse reports whether the software version that crashed may still be in use. One that
// was never listed here may be.
func (b *Book) isInUse(now clock.Millis, crash *record) bool {
	goneAt, gone := b.goneAt[Version{Backend: crash.Backend, Name: crash.SoftwareVersion}]
	return !gone || now-goneAt <= versionMemory
}

// isMassLoss reports whether a crash came together with many of the back end that a digest
// has nothing to do with.
func (b *Book) isMassLoss(crash *record, digest Digest) bool {
	unrelated := 0
	for _, other := range b.crashes {
		switch {
		case other.Alive || !other.isNear(crash.Crash):
		case other.digests[digest]:
			unrelated--
		default:
			unrelated++
		}
	}
	return unrelated > maxUnrelated
}

// companions returns the other digests that the requests with a digest had in all of its
// crashes, without those that were cleared.
func companions(digest Digest, crashes []*record) (common []Digest) {
	common = crashes[0].companions(digest)
	for _, crash := range crashes[1:] {
		others := crash.companions(digest)
		common = slices.DeleteFunc(common, func(d Digest) bool { return !slices.Contains(others, d) })
	}
	return common
}

// companions returns the digests that requests with a digest had in this crash.
func (r *record) companions(digest Digest) (others []Digest) {
	for _, request := range r.Requests {
		if !slices.Contains(request, digest) {
			continue
		}
		for _, other := range request {
			if other != digest && !r.cleared[other] {
				others = append(others, other)
			}
		}
	}
	return others
}

func containsAll(digests, wanted []Digest) bool {
	return !slices.ContainsFunc(wanted, func(d Digest) bool { return !slices.Contains(digests, d) })
}
