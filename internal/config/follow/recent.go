package follow

import (
	"sync"

	"github.com/banyanshift/banyanshift/coord/changelog"
)

// Limits of the recent changes in memory, and of the changes in one message.
const (
	maxRecentChanges = 2048
	maxRecentBytes   = 2 << 20
	maxMessageBytes  = 256 << 10
)

// recentLog holds the most recent changes, without their prior values, for
// peers that lack them.
type recentLog struct {
	mu      sync.Mutex
	changes []changelog.Change
	bytes   int
}

func newRecentLog() *recentLog {
	return &recentLog{}
}

// add appends the change. Changes must be added in order. After a gap, which a
// loaded snapshot causes, the changes before the gap are dropped.
func (r *recentLog) add(change changelog.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last := len(r.changes) - 1; last >= 0 && r.changes[last].Sequence+1 != change.Sequence {
		r.changes = nil
		r.bytes = 0
	}
	change = withoutPriorValues(change)
	r.changes = append(r.changes, change)
	r.bytes += changeSize(change)
	for len(r.changes) > 1 && (len(r.changes) > maxRecentChanges || r.bytes > maxRecentBytes) {
		r.bytes -= changeSize(r.changes[0])
		r.changes = r.changes[1:]
	}
}

// changesAfter returns the changes after the sequence, up to about
// maxMessageBytes but at least one if there is any. The second result is false
// if they are not in memory.
func (r *recentLog) changesAfter(sequence uint64) ([]changelog.Change, bool) {
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
		bytes += changeSize(change)
		if i > 0 && bytes > maxMessageBytes {
			return append([]changelog.Change(nil), found[:i]...), true
		}
	}
	return append([]changelog.Change(nil), found...), true
}

// withoutPriorValues returns a copy of the change without the prior values of
// its entities.
func withoutPriorValues(change changelog.Change) changelog.Change {
	writes := make([]changelog.EntityWrite, len(change.Writes))
	for i, write := range change.Writes {
		write.Before = nil
		writes[i] = write
	}
	change.Writes = writes
	return change
}

func changeSize(change changelog.Change) int {
	bytes := 64 + len(change.Actor) + len(change.RequestID)
	for _, write := range change.Writes {
		bytes += 24 + len(write.Entity) + len(write.Value)
	}
	return bytes
}

// hasRequest reports whether one of the changes has the request ID.
func (r *recentLog) hasRequest(requestID string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.changes {
		if r.changes[i].RequestID == requestID {
			return true
		}
	}
	return false
}
