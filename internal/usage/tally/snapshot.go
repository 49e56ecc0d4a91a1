package tally

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"
)

// WindowSnapshot is a compact encoding of a daemon's counts of one window, for
// messages and table rows. It holds the name of each source and team only once.
type WindowSnapshot struct {
	Window  int64
	Sources []string
	Teams   []string
	// Counts holds one unsigned varint for each pair of source and team: all
	// teams of the first source, then all teams of the second, and so on.
	Counts []byte
}

// errTruncated means that a snapshot has fewer counts than pairs of source and
// team.
var errTruncated = errors.New("usage snapshot is truncated")

// Snapshots returns the counts of all windows from first on, oldest first.
func (t *Tally) Snapshots(first int64) []WindowSnapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	var snapshots []WindowSnapshot
	for _, window := range slices.Sorted(maps.Keys(t.windows)) {
		if window >= first {
			snapshots = append(snapshots, newSnapshot(window, t.windows[window]))
		}
	}
	return snapshots
}

func newSnapshot(window int64, windowCounts map[countKey]int64) WindowSnapshot {
	sources, teams := make(map[string]bool), make(map[string]bool)
	for c := range windowCounts {
		sources[c.source], teams[c.team] = true, true
	}
	snapshot := WindowSnapshot{Window: window, Sources: slices.Sorted(maps.Keys(sources)), Teams: slices.Sorted(maps.Keys(teams))}
	for _, source := range snapshot.Sources {
		for _, team := range snapshot.Teams {
			snapshot.Counts = binary.AppendUvarint(snapshot.Counts, uint64(windowCounts[countKey{source: source, team: team}]))
		}
	}
	return snapshot
}

// MergeSnapshot merges the counts that another daemon has of a window. It merges
// nothing if the snapshot is truncated.
func (t *Tally) MergeSnapshot(snapshot WindowSnapshot) error {
	rest := snapshot.Counts
	var counts []TeamCount
	for _, source := range snapshot.Sources {
		for _, team := range snapshot.Teams {
			count, size := binary.Uvarint(rest)
			if size <= 0 {
				return errTruncated
			}
			rest = rest[size:]
			if count > 0 {
				counts = append(counts, TeamCount{Window: snapshot.Window, Source: source, Team: team, Count: int64(count)})
			}
		}
	}
	t.Merge(counts)
	return nil
}
