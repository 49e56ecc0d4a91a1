package follow

import (
	"sync"

	"github.com/banyanshift/banyanshift/coord/changelog"
)

// Bounds of what is kept of recent changes, and of one message.
const (
	recentChanges   = 2048
	recentBytes     = 2 << 20
	maxMessageBytes = 256 << 10
)

// recent keeps the last changes, without the values before them, for peers
// that lack them.
type recent struct {
	mu      sync.Mutex
	changes []changelog.Change
	bytes   int
}

func newRecent() *recent {
	return &recent{}
}

// add appends the change. Changes come in order; after a gap, which a loaded
// snapshot makes, the changes before it are dropped.
func (r *recent) add(change changelog.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last := len(r.changes) - 1; last >= 0 && r.changes[last].Sequence+1 != change.Sequence {
		r.changes = nil
		r.bytes = 0
	}
	change = stripped(change)
	r.changes = append(r.changes, change)
	r.bytes += size(change)
	for len(r.changes) > 1 && (len(r.changes) > recentChanges || r.bytes > recentBytes) {
		r.bytes -= size(r.changes[0])
		r.changes = r.changes[1:]
	}
}

// after returns the changes that follow the sequence, at least one and up to
// about maxMessageBytes. It is false when they are not kept any more.
func (r *recent) after(sequence uint64) ([]changelog.Change, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.changes) == 0 || sequence+1 < r.changes[0].Sequence {
		return nil, false
	}
	skip := sequence + 1 - r.changes[0].Sequence
	if skip >= uint64(len(r.changes)) {
		return nil, true
	}
	found := r.changes[skip:]
	bytes := 0
	for i, change := range found {
		bytes += size(change)
		if i > 0 && bytes > maxMessageBytes {
			return append([]changelog.Change(nil), found[:i]...), true
		}
	}
	return append([]changelog.Change(nil), found...), true
}

// stripped returns the change without the values before it.
func stripped(change changelog.Change) changelog.Change {
	writes := make([]changelog.EntityWrite, len(change.Writes))
	for i, write := range change.Writes {
		write.Before = nil
		writes[i] = write
	}
	change.Writes = writes
	return change
}

func size(change changelog.Change) int {
	bytes := 64 + len(change.Actor) + len(change.RequestID)
	for _, write := range change.Writes {
		bytes += 24 + len(write.Entity) + len(write.Value)
	}
	return bytes
}

// hasRequest reports whether one of the changes was made for the request.
func (r *recent) hasRequest(requestID string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.changes {
		if r.changes[i].RequestID == requestID {
			return true
		}
	}
	return false
}
