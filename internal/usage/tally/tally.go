// Package tally counts the requests of each team in fixed windows of wall-clock
// time.
//
// Every daemon counts its own requests under its incarnation and merges the
// counts that it receives from other daemons. A count only grows, so the merge
// keeps the greater value: it is commutative and idempotent, and copies may
// arrive in any order and any number of times.
//
// A Seal holds the counts of a window that are final. Daemons pass seals on, so that a
// window is not sealed again with other counts after the table has lost its row.
//
// # Usage
//
//	t := tally.New(incarnation, 5*clock.Second)
//	t.Add("himal", wall)
//	t.Merge(countsOfPeer)
//	err := t.MergeSnapshot(snapshotOfPeer)
//	sums := t.Sum(window)
package tally

import (
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// maxWindowAge is the number of windows before the newest one that are kept.
const maxWindowAge = 12

// TeamCount is the number of requests of one team that one daemon counted in one
// window. Source is the daemon's incarnation.
type TeamCount struct {
	Window int64
	Source string
	Team   string
	Count  int64
}

type countKey struct {
	source string
	team   string
}

// Tally holds the counts of all daemons. It is safe for concurrent use.
type Tally struct {
	source       string
	windowLength clock.Millis

	mu      sync.Mutex
	windows map[int64]map[countKey]int64
	// changed holds, by window, the teams whose count at this daemon changed
	// since the last call of TakeChanged.
	changed map[int64]map[string]bool
	seals   seals
}

// New returns an empty Tally that counts its own requests under source, the
// incarnation of this daemon. Window 0 starts at the Unix epoch.
func New(source string, windowLength clock.Millis) *Tally {
	return &Tally{source: source, windowLength: windowLength, windows: make(map[int64]map[countKey]int64), changed: make(map[int64]map[string]bool), seals: seals{known: make(map[int64]Seal)}}
}

// WindowAt returns the number of the window that contains a wall-clock time.
func (t *Tally) WindowAt(wall clock.Millis) int64 {
	return int64(wall / t.windowLength)
}

// WindowEnd returns the wall-clock time at which a window ends.
func (t *Tally) WindowEnd(window int64) clock.Millis {
	return clock.Millis(window+1) * t.windowLength
}

// Add counts one request of this daemon at a wall-clock time.
func (t *Tally) Add(team string, wall clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	window := t.WindowAt(wall)
	t.windowCounts(window)[countKey{source: t.source, team: team}]++
	t.markChanged(window, team)
}

// windowCounts returns the counts of a window, and creates them if needed. The
// caller must hold t.mu.
func (t *Tally) windowCounts(window int64) map[countKey]int64 {
	windowCounts := t.windows[window]
	if windowCounts == nil {
		windowCounts = make(map[countKey]int64)
		t.windows[window] = windowCounts
		t.prune(window)
	}
	return windowCounts
}

// prune removes windows that are more than maxWindowAge older than newest.
func (t *Tally) prune(newest int64) {
	for window := range t.windows {
		if window < newest-maxWindowAge {
			delete(t.windows, window)
			delete(t.changed, window)
			delete(t.seals.known, window)
		}
	}
}

// TakeChanged returns this daemon's counts that changed since the last call.
func (t *Tally) TakeChanged() []TeamCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	var counts []TeamCount
	for window, teams := range t.changed {
		for team := range teams {
			count := t.windows[window][countKey{source: t.source, team: team}]
			counts = append(counts, TeamCount{Window: window, Source: t.source, Team: team, Count: count})
		}
	}
	clear(t.changed)
	return counts
}

// MarkAllChanged makes the next call of TakeChanged return all of this daemon's
// counts.
func (t *Tally) MarkAllChanged() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for window, counts := range t.windows {
		for c := range counts {
			if c.source == t.source {
				t.markChanged(window, c.team)
			}
		}
	}
}

// markChanged marks a count of this daemon as changed. The caller must hold t.mu.
func (t *Tally) markChanged(window int64, team string) {
	if t.changed[window] == nil {
		t.changed[window] = make(map[string]bool)
	}
	t.changed[window][team] = true
}

// Merge merges counts that another daemon sent.
func (t *Tally) Merge(counts []TeamCount) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, count := range counts {
		windowCounts := t.windowCounts(count.Window)
		c := countKey{source: count.Source, team: count.Team}
		windowCounts[c] = max(windowCounts[c], count.Count)
	}
}

// Sum returns the total count of each team in a window across all daemons.
func (t *Tally) Sum(window int64) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make(map[string]int64)
	for c, count := range t.windows[window] {
		sums[c.team] += count
	}
	return sums
}
