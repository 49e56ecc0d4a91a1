package document

import (
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Holder keeps the newest document that was seen and when it was last known to
// be the newest there is. It never goes back to an older version. It is safe
// for concurrent use.
type Holder struct {
	mu        sync.RWMutex
	index     *Index
	raw       []byte
	confirmed clock.Millis
	known     bool
}

// NewHolder returns a Holder without a document.
func NewHolder() *Holder {
	return &Holder{}
}

// Update takes a document as in force since the instant asOf at the latest, with
// the bytes that it was read from. It reports whether the document is newer
// than what was held.
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
	h.confirm(asOf)
	return newer
}

// Confirm notes that no version above the stated one was in force at the
// instant asOf. It says nothing while an older version is held.
func (h *Holder) Confirm(version int64, asOf clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.index != nil && h.index.Version() >= version {
		h.confirm(asOf)
	}
}

func (h *Holder) confirm(asOf clock.Millis) {
	if !h.known || asOf > h.confirmed {
		h.known, h.confirmed = true, asOf
	}
}

// Current returns the document, nil if there is none, and the instant at which it
// was last known to be the newest.
func (h *Holder) Current() (index *Index, confirmed clock.Millis) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.index, h.confirmed
}

// Raw returns the bytes that the document was read from.
func (h *Holder) Raw() []byte {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.raw
}
