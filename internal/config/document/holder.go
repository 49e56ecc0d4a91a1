package document

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// rewriteTime is how long a document stays in force that the store lost when it came
// back from a copy. The operator writes it again; until then, a change that was
// confirmed, such as a withdrawn key, must not be undone.
const rewriteTime = 10 * clock.Second

// Identity identifies the content of a document. After the store came back from a copy,
// a version may be given to another content.
type Identity struct {
	Version int64
	// Digest is a hash of the encoded document.
	Digest uint64
}

// Reading is a read of the store, by this or another daemon.
type Reading struct {
	// Era is the era of the store, see table.Position.
	Era uint64
	// AsOf is a time at which the store certainly held what was read.
	AsOf clock.Millis
	// Source is the ID of the daemon that read the store, empty if it is not known.
	Source string
}

// Holder keeps the latest document received and the time at which it was last
// confirmed to be the latest version. It is safe for concurrent use.
//
// Documents are ordered by their version. A store that came back from a copy may hold an
// older version for a while, or another content under the same version: the other
// content replaces the one held, and the older version does so after rewriteTime. What
// was read in an earlier era confirms nothing.
type Holder struct {
	mu       sync.RWMutex
	index    *Index
	raw      []byte
	identity Identity
	// confirmed is the last reading at which the store held the document.
	confirmed Reading
	// lost is the first reading of a later era that had an older version, if isLost.
	lost   Reading
	isLost bool
}

// NewHolder returns a Holder without a document.
func NewHolder() *Holder {
	return &Holder{}
}

// IdentityOf returns the identity of a document.
func IdentityOf(index *Index, raw []byte) Identity {
	return Identity{Version: index.Version(), Digest: xxhash.Sum64(raw)}
}

// verdict is what to do about a document that was read.
type verdict int

const (
	ignore verdict = iota
	confirm
	replace
)

// Update offers a document that was read from the store, and reports whether it
// replaced the one held. raw holds the encoded document.
func (h *Holder) Update(index *Index, raw []byte, reading Reading) (replaced bool) {
	identity := IdentityOf(index, raw)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch h.judge(identity, reading) {
	case replace:
		h.index, h.raw, h.identity, h.confirmed, h.isLost = index, raw, identity, reading, false
		return true
	case confirm:
		h.advance(reading)
	case ignore:
	}
	return false
}

// Confirm records that the store held the document of an identity. It reports whether
// that document would replace the one held, so that it should be fetched.
func (h *Holder) Confirm(identity Identity, reading Reading) (wanted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch h.judge(identity, reading) {
	case replace:
		return true
	case confirm:
		h.advance(reading)
	case ignore:
	}
	return false
}

// judge compares a document that was read with the one held. The lock must be held.
func (h *Holder) judge(identity Identity, reading Reading) verdict {
	laterEra := reading.Era > h.confirmed.Era
	switch {
	case h.index == nil, identity.Version > h.identity.Version:
		return replace
	case identity.Version < h.identity.Version && laterEra:
		return h.judgeLost(reading)
	case reading.Era < h.confirmed.Era, identity.Version < h.identity.Version:
		return ignore
	case identity != h.identity && laterEra:
		return replace
	case identity != h.identity:
		return ignore
	}
	return confirm
}

// judgeLost decides on an older version that the store holds in a later era.
func (h *Holder) judgeLost(reading Reading) verdict {
	if !h.isLost || reading.Era > h.lost.Era {
		h.isLost, h.lost = true, reading
	}
	if reading.Era == h.lost.Era && reading.AsOf-h.lost.AsOf >= rewriteTime {
		return replace
	}
	return ignore
}

// advance records a reading at which the store held the document. The lock must be held.
func (h *Holder) advance(reading Reading) {
	h.isLost = false
	if reading.Era > h.confirmed.Era {
		h.confirmed.Era = reading.Era
	}
	if reading.AsOf > h.confirmed.AsOf {
		h.confirmed.AsOf, h.confirmed.Source = reading.AsOf, reading.Source
	}
}

// Current returns the index of the document, or nil if there is none, and the
// time at which the document was last confirmed to be the latest version.
func (h *Holder) Current() (index *Index, confirmedAt clock.Millis) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.index, h.confirmed.AsOf
}

// Identity returns the identity of the document, and the last reading that confirmed
// it. known is false if there is no document.
func (h *Holder) Identity() (identity Identity, confirmed Reading, known bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.identity, h.confirmed, h.index != nil
}

// Encoded returns the encoded document and its identity, and the last reading that
// confirmed it.
func (h *Holder) Encoded() (raw []byte, identity Identity, confirmed Reading) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.raw, h.identity, h.confirmed
}
