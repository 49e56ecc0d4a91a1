// Package tally counts the requests of each team by windows of the time of day.
//
// Every daemon counts its own requests under its incarnation, and keeps what it
// has heard of the counts of others. Counts only grow, so that copies of them
// merge by the greater figure, in any order and any number of times.
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

// keepWindows is how many windows are remembered.
const keepWindows = 12

// TeamCount is the count of one team in one window at one daemon.
type TeamCount struct {
	Window int64
	Source string
	Team   string
	Count  int64
}

type cell struct {
	source string
	team   string
}

// Tally holds counts. It is safe for concurrent use.
type Tally struct {
	self   string
	length clock.Millis

	mu      sync.Mutex
	windows map[int64]map[cell]int64
	// fresh are the own counts that changed since they were last taken.
	fresh map[int64]map[string]bool
}

// New returns an empty Tally of the process run self, with windows of that
// length, which begin with the epoch.
func New(self string, length clock.Millis) *Tally {
	return &Tally{self: self, length: length, windows: make(map[int64]map[cell]int64), fresh: make(map[int64]map[string]bool)}
}

// WindowAt returns the number of the window of a time of day.
func (t *Tally) WindowAt(wall clock.Millis) int64 {
	return int64(wall / t.length)
}

// WindowEnd returns the time of day at which a window ends.
func (t *Tally) WindowEnd(window int64) clock.Millis {
	return clock.Millis(window+1) * t.length
}

// Add counts a request of this daemon.
func (t *Tally) Add(team string, wall clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	window := t.WindowAt(wall)
	t.cells(window)[cell{source: t.self, team: team}]++
	if t.fresh[window] == nil {
		t.fresh[window] = make(map[string]bool)
	}
	t.fresh[window][team] = true
}

func (t *Tally) cells(window int64) map[cell]int64 {
	cells := t.windows[window]
	if cells == nil {
		cells = make(map[cell]int64)
		t.windows[window] = cells
		t.prune(window)
	}
	return cells
}

// prune forgets windows that are long past.
func (t *Tally) prune(newest int64) {
	for window := range t.windows {
		if window < newest-keepWindows {
			delete(t.windows, window)
			delete(t.fresh, window)
		}
	}
}

// TakeChanged returns the own counts that changed since the last call.
func (t *Tally) TakeChanged() []TeamCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []TeamCount
	for window, teams := range t.fresh {
		for team := range teams {
			count := t.windows[window][cell{source: t.self, team: team}]
			entries = append(entries, TeamCount{Window: window, Source: t.self, Team: team, Count: count})
		}
	}
	clear(t.fresh)
	return entries
}

// Merge takes in counts that others hold.
func (t *Tally) Merge(entries []TeamCount) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range entries {
		cells := t.cells(entry.Window)
		c := cell{source: entry.Source, team: entry.Team}
		cells[c] = max(cells[c], entry.Count)
	}
}

// Sum returns the count of each team in a window over all daemons.
func (t *Tally) Sum(window int64) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make(map[string]int64)
	for c, count := range t.windows[window] {
		sums[c.team] += count
	}
	return sums
}
