package billing_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/order/leader"
	"github.com/banyanshift/banyanshift/internal/usage/billing"
	"github.com/banyanshift/banyanshift/internal/usage/tally"
)

const length = 5 * clock.Second

// world is a table, a clock and the platform that takes reports.
type world struct {
	t     *testing.T
	clock *clock.Manual
	table *table.Memory

	mu      sync.Mutex
	reports map[int64][]string
	// loseAnswers makes reports arrive without an answer.
	loseAnswers bool
	// fence is the one that the lease has.
	fence uint64
}

func newWorld(t *testing.T) *world {
	return &world{t: t, clock: clock.NewManual(100 * length), table: table.NewMemory(), reports: make(map[int64][]string), fence: 1}
}

var errPassedOn = errors.New("lease has passed on")

// biller returns the biller of a daemon that counts with t.
func (w *world) biller(t *tally.Tally, collect func()) *billing.Biller {
	logger, _ := logtest.NewNullLogger()
	return billing.New(billing.Config{
		Table: w.table.Client(), Clock: w.clock.Clock(), Logger: logger, Tally: t,
		CollectUsage: func(context.Context, int64) { collect() },
		Guard: func(_ context.Context, fence uint64) (table.Condition, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if fence != w.fence {
				return table.Condition{}, errPassedOn
			}
			return table.Condition{Key: "Lease"}, nil
		},
		Report: func(_ context.Context, _ uint64, window billing.Window) error {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.reports[window.Number] = append(w.reports[window.Number], fmt.Sprint(window.Counts))
			if w.loseAnswers {
				return errors.New("no answer")
			}
			return nil
		},
	})
}

// run lets a biller work for a while of the manual clock.
func (w *world) run(b *billing.Biller, fence uint64, d clock.Millis) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = b.Work(ctx, leader.Term{Fence: fence})
	}()
	const step = 100 * clock.Millisecond
	for passed := clock.Millis(0); passed < d; passed += step {
		for w.clock.Sleepers() == 0 {
			time.Sleep(100 * time.Microsecond)
		}
		w.clock.Advance(step)
	}
	for w.clock.Sleepers() == 0 {
		time.Sleep(100 * time.Microsecond)
	}
	cancel()
	<-done
}

func (w *world) expect(window int64, want ...string) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if fmt.Sprint(w.reports[window]) != fmt.Sprint(want) {
		w.t.Errorf("window %d was reported as %v, want %v", window, w.reports[window], want)
	}
}

func TestWindowIsReportedOnceItHasEnded(t *testing.T) {
	w := newWorld(t)
	counts := tally.New("a", length)
	counts.Add("himal", w.clock.Now())
	counts.Add("himal", w.clock.Now())
	b := w.biller(counts, func() {})
	w.run(b, 1, 4*clock.Second)
	w.expect(100)
	w.run(b, 1, 4*clock.Second)
	w.expect(100, "map[himal:2]")
}

func TestCountsOfOthersAreCollectedFirst(t *testing.T) {
	w := newWorld(t)
	counts := tally.New("a", length)
	counts.Add("himal", w.clock.Now())
	b := w.biller(counts, func() {
		counts.Merge([]tally.TeamCount{{Window: 100, Source: "b", Team: "himal", Count: 4}, {Window: 100, Source: "b", Team: "halvorsen", Count: 1}})
	})
	w.run(b, 1, 8*clock.Second)
	w.expect(100, "map[halvorsen:1 himal:5]")
}

func TestLostAnswersNeverChangeAReport(t *testing.T) {
	w := newWorld(t)
	w.loseAnswers = true
	counts := tally.New("a", length)
	counts.Add("himal", w.clock.Now())
	b := w.biller(counts, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if len(w.reports[100]) > 0 {
			counts.Merge([]tally.TeamCount{{Window: 100, Source: "b", Team: "himal", Count: 9}})
		}
	})
	w.run(b, 1, 8*clock.Second)
	if len(w.reports[100]) < 2 {
		t.Fatal("the report was not repeated")
	}
	for _, report := range w.reports[100] {
		if report != "map[himal:1]" {
			t.Errorf("reported as %v", w.reports[100])
		}
	}
}

func TestSuccessorRepeatsWhatWasSealed(t *testing.T) {
	w := newWorld(t)
	first := tally.New("a", length)
	first.Add("himal", w.clock.Now())
	w.run(w.biller(first, func() {}), 1, 8*clock.Second)
	w.fence = 2
	second := tally.New("b", length)
	second.Add("himal", 100*length)
	w.run(w.biller(second, func() {}), 2, clock.Second)
	w.expect(100, "map[himal:1]", "map[himal:1]")
}

func TestSuccessorKnowsWhatWasCountedBeforeAllWereLost(t *testing.T) {
	w := newWorld(t)
	first := tally.New("a", length)
	first.Add("himal", w.clock.Now())
	w.run(w.biller(first, func() {}), 1, 2*clock.Second)
	w.fence = 2
	second := tally.New("b", length)
	second.Add("himal", w.clock.Now())
	w.run(w.biller(second, func() {}), 2, 7*clock.Second)
	w.expect(100, "map[himal:2]")
}

func TestFormerHolderSealsNothing(t *testing.T) {
	w := newWorld(t)
	counts := tally.New("a", length)
	counts.Add("himal", w.clock.Now())
	w.fence = 2
	w.run(w.biller(counts, func() {}), 1, 8*clock.Second)
	w.expect(100)
}

func TestWindowsWaitForTheTable(t *testing.T) {
	w := newWorld(t)
	counts := tally.New("a", length)
	counts.Add("himal", w.clock.Now())
	b := w.biller(counts, func() {})
	w.table.SetFault(table.Fault{Down: true})
	w.run(b, 1, 8*clock.Second)
	w.expect(100)
	w.table.SetFault(table.Fault{})
	w.run(b, 1, clock.Second)
	w.expect(100, "map[himal:1]")
}

// TestOpenWindowsOfALargeFleetFitTheTable: what 300 daemons count for 24 teams
// outlasts the loss of all daemons, in a table with rows of 64 KiB at most.
func TestOpenWindowsOfALargeFleetFitTheTable(t *testing.T) {
	const daemons, teams, each = 300, 24, 1000
	w := newWorld(t)
	w.table.SetFault(table.Fault{MaxValueBytes: 64 << 10})
	first := tally.New("front-of-some-length-000-1a2b3c4d", length)
	for daemon := range daemons {
		for team := range teams {
			source, name := fmt.Sprintf("front-of-some-length-%03d-5e6f7a8b", daemon), fmt.Sprintf("team-with-a-name-%02d", team)
			for window := int64(99); window <= 101; window++ {
				first.Merge([]tally.TeamCount{{Window: window, Source: source, Team: name, Count: each}})
			}
		}
	}
	w.run(w.biller(first, func() {}), 1, 2*clock.Second)
	w.fence = 2
	w.run(w.biller(tally.New("b", length), func() {}), 2, 7*clock.Second)
	counts := make(map[string]int64)
	for team := range teams {
		counts[fmt.Sprintf("team-with-a-name-%02d", team)] = daemons * each
	}
	w.expect(100, fmt.Sprint(counts))
}
