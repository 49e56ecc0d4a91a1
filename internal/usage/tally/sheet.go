package tally

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"
)

// WindowSnapshot is what a daemon knows of one window, in a short form for messages and
// rows: each source and each team is named once.
type WindowSnapshot struct {
	Window  int64
	Sources []string
	Teams   []string
	// Counts has the counts of all teams at the first source, then those at
	// the second, and so on, as variable-length integers.
	Counts []byte
}

// errShort says that a sheet has fewer counts than its names ask for.
var errShort = errors.New("usage sheet ends early")

// Snapshots returns what is known of the windows from first on, in their order.
func (t *Tally) Snapshots(first int64) []WindowSnapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sheets []WindowSnapshot
	for _, window := range slices.Sorted(maps.Keys(t.windows)) {
		if window >= first {
			sheets = append(sheets, newSheet(window, t.windows[window]))
		}
	}
	return sheets
}

func newSheet(window int64, cells map[cell]int64) WindowSnapshot {
	sources, teams := make(map[string]bool), make(map[string]bool)
	for c := range cells {
		sources[c.source], teams[c.team] = true, true
	}
	sheet := WindowSnapshot{Window: window, Sources: slices.Sorted(maps.Keys(sources)), Teams: slices.Sorted(maps.Keys(teams))}
	for _, source := range sheet.Sources {
		for _, team := range sheet.Teams {
			sheet.Counts = binary.AppendUvarint(sheet.Counts, uint64(cells[cell{source: source, team: team}]))
		}
	}
	return sheet
}

// MergeSnapshot takes in what another daemon knew of a window. A sheet that ends
// early changes nothing.
func (t *Tally) MergeSnapshot(sheet WindowSnapshot) error {
	rest := sheet.Counts
	var entries []TeamCount
	for _, source := range sheet.Sources {
		for _, team := range sheet.Teams {
			count, size := binary.Uvarint(rest)
			if size <= 0 {
				return errShort
			}
			rest = rest[size:]
			if count > 0 {
				entries = append(entries, TeamCount{Window: sheet.Window, Source: source, Team: team, Count: int64(count)})
			}
		}
	}
	t.Merge(entries)
	return nil
}
