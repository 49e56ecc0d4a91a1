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

const windowLength = 5 * clock.Second

// fixture is a table, a clock, a lease and a platform that records reports.
type fixture struct {
	t     *testing.T
	clock *clock.Manual
	table *table.Memory

	mu      sync.Mutex
	reports map[int64][]string
	// loseAnswers makes the platform record reports but return an error, as if
	// its response were lost.
	loseAnswers bool
	// fence is the current fence of the lease.
	fence uint64
	// eras is what a daemon has seen of the eras of the table.
	eras *billing.EraWatch
	// get and commit replace those of the table's client, if they are set.
	get    func(ctx context.Context, key string) (table.Row, error)
	commit func(ctx context.Context, txn table.Txn) error
	// log holds what the last biller logged.
	log *logtest.Hook
}

func newFixture(t *testing.T) *fixture {
	manual := clock.NewManual(100 * windowLength)
	return &fixture{
		t: t, clock: manual, table: table.NewMemory(), reports: make(map[int64][]string), fence: 1,
		eras: billing.NewEraWatch(manual.Clock(), false),
	}
}

var errLeaseLost = errors.New("lease is held by another daemon")

// biller returns the biller of a daemon that counts in t.
func (f *fixture) biller(t *tally.Tally, collect func()) *billing.Biller {
	logger, log := logtest.NewNullLogger()
	f.log = log
	client := f.table.Client()
	if f.get != nil {
		client.Get = f.get
	}
	if f.commit != nil {
		client.Commit = f.commit
	}
	return billing.New(billing.Config{
		Table: client, Clock: f.clock.Clock(), Logger: logger, Tally: t,
		CollectUsage: func(context.Context, int64) { collect() },
		Eras:         f.eras,
		Guard: func(_ context.Context, fence uint64) (table.Condition, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if fence != f.fence {
				return table.Condition{}, errLeaseLost
			}
			return table.Condition{Key: "Lease"}, nil
		},
		Report: func(_ context.Context, _ uint64, window billing.Window) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.reports[window.Number] = append(f.reports[window.Number], fmt.Sprint(window.Counts))
			if f.loseAnswers {
				return errors.New("no response")
			}
			return nil
		},
	})
}

// run runs a biller for the duration d of the manual clock.
func (f *fixture) run(b *billing.Biller, fence uint64, d clock.Millis) {
	f.runWith(b, fence, d, func() {})
}

// runWith is like run, and calls a function before each step of the clock.
func (f *fixture) runWith(b *billing.Biller, fence uint64, d clock.Millis, beforeStep func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = b.Work(ctx, leader.Term{Fence: fence})
	}()
	const step = 100 * clock.Millisecond
	for passed := clock.Millis(0); passed < d; passed += step {
		for f.clock.Sleepers() == 0 {
			time.Sleep(100 * time.Microsecond)
		}
		beforeStep()
		f.clock.Advance(step)
	}
	for f.clock.Sleepers() == 0 {
		time.Sleep(100 * time.Microsecond)
	}
	cancel()
	<-done
}

func (f *fixture) expect(window int64, want ...string) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if fmt.Sprint(f.reports[window]) != fmt.Sprint(want) {
		f.t.Errorf("window %d: got reports %v, want %v", window, f.reports[window], want)
	}
}

func TestWindowIsReportedOnceItHasEnded(t *testing.T) {
	f := newFixture(t)
	counts := tally.New("a", windowLength)
	counts.Add("himal", f.clock.Now())
	counts.Add("himal", f.clock.Now())
	b := f.biller(counts, func() {})
	f.run(b, 1, 4*clock.Second)
	f.expect(100)
	f.run(b, 1, 4*clock.Second)
	f.expect(100, "map[himal:2]")
}

func TestCountsOfOthersAreCollectedFirst(t *testing.T) {
	f := newFixture(t)
	counts := tally.New("a", windowLength)
	counts.Add("himal", f.clock.Now())
	b := f.biller(counts, func() {
		counts.Merge([]tally.TeamCount{{Window: 100, Source: "b", Team: "himal", Count: 4}, {Window: 100, Source: "b", Team: "halvorsen", Count: 1}})
	})
	f.run(b, 1, 8*clock.Second)
	f.expect(100, "map[halvorsen:1 himal:5]")
}

func TestLostAnswersNeverChangeAReport(t *testing.T) {
	f := newFixture(t)
	f.loseAnswers = true
	counts := tally.New("a", windowLength)
	counts.Add("himal", f.clock.Now())
	b := f.biller(counts, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(f.reports[100]) > 0 {
			counts.Merge([]tally.TeamCount{{Window: 100, Source: "b", Team: "himal", Count: 9}})
		}
	})
	f.run(b, 1, 8*clock.Second)
	if len(f.reports[100]) < 2 {
		t.Fatal("got fewer than two reports, want the report to be repeated")
	}
	for _, report := range f.reports[100] {
		if report != "map[himal:1]" {
			t.Errorf("got reports %v, want only map[himal:1]", f.reports[100])
		}
	}
}

func TestSuccessorRepeatsWhatWasSealed(t *testing.T) {
	f := newFixture(t)
	first := tally.New("a", windowLength)
	first.Add("himal", f.clock.Now())
	f.run(f.biller(first, func() {}), 1, 8*clock.Second)
	f.fence = 2
	second := tally.New("b", windowLength)
	second.Add("himal", 100*windowLength)
	f.run(f.biller(second, func() {}), 2, clock.Second)
	f.expect(100, "map[himal:1]", "map[himal:1]")
}

// loseSeal removes the row of a sealed window, as a table does that comes back from a copy.
func (f *fixture) loseSeal(window int64) {
	err := f.table.Client().Commit(context.Background(), table.Txn{Writes: []table.Write{{Key: fmt.Sprint("Usage/Window/", window), Delete: true}}})
	if err != nil {
		f.t.Fatal(err)
	}
}

// TestRestoredTableNeverChangesAReport guards against a window that is sealed again, with
// counts that arrived late, after the table has lost its row.
func TestRestoredTableNeverChangesAReport(t *testing.T) {
	f := newFixture(t)
	counts := tally.New("a", windowLength)
	counts.Add("himal", f.clock.Now())
	f.run(f.biller(counts, func() {}), 1, 8*clock.Second)
	f.loseSeal(100)
	counts.Merge([]tally.TeamCount{{Window: 100, Source: "b", Team: "himal", Count: 9}})
	f.fence = 2
	f.run(f.biller(counts, func() {}), 2, clock.Second)
	f.expect(100, "map[himal:1]", "map[himal:1]")
}

// TestSuccessorAfterARestoreRepeatsWhatItsPeersKnow is the same for another daemon.
func TestSuccessorAfterARestoreRepeatsWhatItsPeersKnow(t *testing.T) {
	f := newFixture(t)
	first := tally.New("a", windowLength)
	first.Add("himal", f.clock.Now())
	f.run(f.biller(first, func() {}), 1, 8*clock.Second)
	f.loseSeal(100)
	f.fence = 2
	second := tally.New("b", windowLength)
	second.Add("himal", 100*windowLength)
	f.run(f.biller(second, func() { second.MergeSeals(first.Seals(0)) }), 2, clock.Second)
	f.expect(100, "map[himal:1]", "map[himal:1]")
}

func TestSuccessorKnowsWhatWasCountedBeforeAllWereLost(t *testing.T) {
	f := newFixture(t)
	first := tally.New("a", windowLength)
	first.Add("himal", f.clock.Now())
	f.run(f.biller(first, func() {}), 1, 2*clock.Second)
	f.fence = 2
	second := tally.New("b", windowLength)
	second.Add("himal", f.clock.Now())
	f.run(f.biller(second, func() {}), 2, 7*clock.Second)
	f.expect(100, "map[himal:2]")
}

// TestSavedCountsAreReadAgainAfterAFailure guards against saved counts that are never read, and
// then overwritten, since the table was down when the term began.
func TestSavedCountsAreReadAgainAfterAFailure(t *testing.T) {
	f := newFixture(t)
	first := tally.New("a", windowLength)
	first.Add("himal", f.clock.Now())
	f.run(f.biller(first, func() {}), 1, 2*clock.Second)
	f.fence = 2
	second := tally.New("b", windowLength)
	second.Add("himal", f.clock.Now())
	f.table.SetFault(table.Fault{Down: true})
	backAt := f.clock.Now() + clock.Second
	f.runWith(f.biller(second, func() {}), 2, 7*clock.Second, func() {
		if f.clock.Now() >= backAt {
			f.table.SetFault(table.Fault{})
		}
	})
	f.expect(100, "map[himal:2]")
}

func TestFormerHolderSealsNothing(t *testing.T) {
	f := newFixture(t)
	counts := tally.New("a", windowLength)
	counts.Add("himal", f.clock.Now())
	f.fence = 2
	f.run(f.biller(counts, func() {}), 1, 8*clock.Second)
	f.expect(100)
}

func TestWindowsWaitForTheTable(t *testing.T) {
	f := newFixture(t)
	counts := tally.New("a", windowLength)
	counts.Add("himal", f.clock.Now())
	b := f.biller(counts, func() {})
	f.table.SetFault(table.Fault{Down: true})
	f.run(b, 1, 8*clock.Second)
	f.expect(100)
	f.table.SetFault(table.Fault{})
	f.run(b, 1, clock.Second)
	f.expect(100, "map[himal:1]")
}

// TestOpenWindowsOfALargeFleetFitTheTable checks that the open windows of 300
// daemons and 24 teams survive the loss of all daemons, although the table
// rejects rows of more than 64 KiB.
func TestOpenWindowsOfALargeFleetFitTheTable(t *testing.T) {
	const daemons, teams, requestsPerTeam = 300, 24, 1000
	f := newFixture(t)
	f.table.SetFault(table.Fault{MaxValueBytes: 64 << 10})
	first := tally.New("front-of-some-length-000-1a2b3c4d", windowLength)
	for daemon := range daemons {
		for team := range teams {
			source, name := fmt.Sprintf("front-of-some-length-%03d-5e6f7a8b", daemon), fmt.Sprintf("team-with-a-name-%02d", team)
			for window := int64(99); window <= 101; window++ {
				first.Merge([]tally.TeamCount{{Window: window, Source: source, Team: name, Count: requestsPerTeam}})
			}
		}
	}
	f.run(f.biller(first, func() {}), 1, 2*clock.Second)
	f.fence = 2
	f.run(f.biller(tally.New("b", windowLength), func() {}), 2, 7*clock.Second)
	counts := make(map[string]int64)
	for team := range teams {
		counts[fmt.Sprintf("team-with-a-name-%02d", team)] = daemons * requestsPerTeam
	}
	f.expect(100, fmt.Sprint(counts))
}
