package tally

import (
	"maps"
	"slices"
)

// Seal is the final content of a window: the number of requests by team. It is what the
// platform may have been told, whatever is counted later.
type Seal struct {
	Window int64
	Counts map[string]int64
}

// seals holds the known seals by window, and the windows that this daemon has sealed
// since the last call of TakeNewSeals.
type seals struct {
	known map[int64]Seal
	added []int64
}

// AddSeal records a seal of this daemon or of the table. The first seal of a window stays.
func (t *Tally) AddSeal(seal Seal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.addSeal(seal) {
		t.seals.added = append(t.seals.added, seal.Window)
	}
}

// MergeSeals records seals that another daemon knows.
func (t *Tally) MergeSeals(known []Seal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, seal := range known {
		t.addSeal(seal)
	}
}

// addSeal reports whether the window had no seal. The caller must hold t.mu.
func (t *Tally) addSeal(seal Seal) bool {
	if _, found := t.seals.known[seal.Window]; found {
		return false
	}
	t.windowCounts(seal.Window)
	t.seals.known[seal.Window] = seal
	return true
}

// Sealed returns the seal of a window, if one is known.
func (t *Tally) Sealed(window int64) (seal Seal, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seal, known = t.seals.known[window]
	return seal, known
}

// Seals returns the known seals of the windows from first on, oldest first.
func (t *Tally) Seals(first int64) (known []Seal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, window := range slices.Sorted(maps.Keys(t.seals.known)) {
		if window >= first {
			known = append(known, t.seals.known[window])
		}
	}
	return known
}

// TakeNewSeals returns the seals that AddSeal recorded since the last call, for the other
// daemons.
func (t *Tally) TakeNewSeals() (added []Seal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, window := range t.seals.added {
		if seal, known := t.seals.known[window]; known {
			added = append(added, seal)
		}
	}
	t.seals.added = nil
	return added
}
