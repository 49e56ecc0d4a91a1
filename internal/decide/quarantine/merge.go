package quarantine

import (
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// RecordCrash merges what is known of a crash into the book, and reports whether that
// is new.
func (b *Book) RecordCrash(now clock.Millis, crash Crash) (changed bool) {
	b.expire(now)
	id := identity{crash.Endpoint, crash.Incarnation}
	held := b.crashes[id]
	if held == nil {
		if len(crash.Requests) == 0 || now-crash.At >= memory || b.countNear(crash) >= maxCrashesInWindow {
			return false
		}
		held = &record{Crash: crash, digests: make(map[Digest]bool), cleared: make(map[Digest]bool)}
		held.Requests, held.Cleared = nil, nil
		b.crashes[id] = held
		changed = true
	}
	changed = b.merge(held, crash) || changed
	b.limit(held)
	return changed
}

// countNear counts the crashes of a back end around the time of one.
func (b *Book) countNear(crash Crash) (count int) {
	for _, other := range b.crashes {
		if other.isNear(crash) {
			count++
		}
	}
	return count
}

// isNear reports whether two crashes of a back end came within lossWindow.
func (r *record) isNear(crash Crash) bool {
	return r.Backend == crash.Backend && max(r.At-crash.At, crash.At-r.At) <= lossWindow
}

// merge adds what a report of the same crash says.
func (b *Book) merge(held *record, crash Crash) (changed bool) {
	for _, request := range crash.Requests {
		request = request[:min(len(request), maxDigests)]
		if len(held.Requests) >= maxRequests || slices.ContainsFunc(held.Requests, func(known []Digest) bool { return slices.Equal(known, request) }) {
			continue
		}
		held.Requests = append(held.Requests, request)
		b.addToIndex(held, request)
		changed = true
	}
	for _, digest := range crash.Cleared {
		changed = held.clear(digest) || changed
	}
	if crash.Alive && !held.Alive {
		held.Alive, changed = true, true
	}
	return changed
}

func (b *Book) addToIndex(held *record, request []Digest) {
	for _, digest := range request {
		if !held.digests[digest] {
			held.digests[digest] = true
			b.index[digest] = append(b.index[digest], held)
		}
	}
}

// clear records that a digest is sound, if a request of the crash has it.
func (r *record) clear(digest Digest) (changed bool) {
	if r.cleared[digest] || !r.digests[digest] {
		return false
	}
	r.cleared[digest] = true
	return true
}

// accuses reports whether the crash speaks against a digest.
func (r *record) accuses(digest Digest) bool {
	return !r.Alive && !r.cleared[digest] && r.digests[digest]
}
