package document

import (
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Holder keeps the latest document received and the time at which it was last
// confirmed to be the latest version. It never returns to an older version. It
// is safe for concurrent use.
type Holder struct {
	mu           sync.RWMutex
	index        *Index
	raw          []byte
	confirmedAt  clock.Millis
	hasConfirmed bool
}

// NewHolder returns a Holder without a document.
func NewHolder() *Holder {
	return &Holder{}
}

// Update replaces the document unless the given version is older, and reports
// whether the given version is newer. raw holds the encoded document. asOf is a
// time at which the given version was known to be the latest.
func (h *Holder) Update(index *Index, raw []byte, asOf clock.Millis) (newer bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.index != nil && index.Version() < h.index.Version() {
		return false
	}
	newer = h.index == nil || index.Version() > h.index.Version()
	if newer {
		h.index, h.raw = index, raw
	}
	h.advanceConfirmed(asOf)
	return newer
}

// Confirm records that no version newer than the given one existed at the time
// asOf. It has no effect while the Holder has an older version.
func (h *Holder) Confirm(version int64, asOf clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.index != nil && h.index.Version() >= version {
		h.advanceConfirmed(asOf)
	}
}

func (h *Holder) advanceConfirmed(asOf clock.Millis) {
	if !h.hasConfirmed || asOf > h.confirmedAt {
		h.hasConfirmed, h.confirmedAt = true, asOf
	}
}

// Current returns the index of the document, or nil if there is none, and the
// time at which the document was last confirmed to be the latest version.
func (h *Holder) Current() (index *Index, confirmedAt clock.Millis) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.index, h.confirmedAt
}

// Raw returns the encoded document.
func (h *Holder) Raw() []byte {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.raw
}
