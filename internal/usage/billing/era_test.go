package billing_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/usage/billing"
	"github.com/banyanshift/banyanshift/internal/usage/tally"
)

// newErasFixture returns a fixture whose table has come back from a copy before, and in which
// nobody has held the lease yet.
func newErasFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.fence = 0
	f.table.Restore(f.table.Copy())
	f.eras = billing.NewEraWatch(f.clock.Clock(), true)
	f.eras.Observe(1)
	return f
}

// daemon returns the counts of a daemon that knows nothing but its own requests, one in each
// of the windows.
func (f *fixture) daemon(name string, windows ...int64) *tally.Tally {
	counts := tally.New(name, windowLength)
	for _, window := range windows {
		counts.Add("himal", clock.Millis(window)*windowLength)
	}
	return counts
}

// hold lets a daemon hold the lease under the next fence for a time.
func (f *fixture) hold(counts *tally.Tally, d clock.Millis) {
	f.fence++
	f.run(f.biller(counts, func() {}), f.fence, d)
}

// expectLeftOut checks which windows the last holder has left out.
func (f *fixture) expectLeftOut(want ...int64) {
	f.t.Helper()
	var got []int64
	for _, entry := range f.log.AllEntries() {
		if entry.Message == "usage window left out" {
			got = append(got, entry.Data["Window"].(int64))
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		f.t.Errorf("got windows %v left out, want %v", got, want)
	}
}

// TestWindowWhoseSealWasLostIsNotReportedAgain guards against a second report, from the saved
// counts of an open window, after the table lost the seal and all daemons ended.
func TestWindowWhoseSealWasLostIsNotReportedAgain(t *testing.T) {
	f := newErasFixture(t)
	first := f.daemon("a", 100)
	f.hold(first, 3*clock.Second)
	backup := f.table.Copy()
	first.Add("himal", f.clock.Now())
	f.hold(first, 5*clock.Second)
	f.expect(100, "map[himal:2]")
	f.table.Restore(backup)
	f.hold(f.daemon("b", 101, 102), 10*clock.Second)
	f.expect(100, "map[himal:2]")
	f.expectLeftOut(97, 98, 99, 100)
	f.expect(101, "map[himal:1]")
	f.expect(102, "map[himal:1]")
}

// TestCopyOlderThanTwoWindowsBringsNoSecondReport guards against the same for windows of which
// the copy holds nothing, while callers' usage of them is known to a daemon that was cut off.
func TestCopyOlderThanTwoWindowsBringsNoSecondReport(t *testing.T) {
	f := newErasFixture(t)
	backup := f.table.Copy()
	f.hold(f.daemon("a", 100, 101, 102), 17*clock.Second)
	for window := int64(100); window <= 102; window++ {
		f.expect(window, "map[himal:1]")
	}
	f.table.Restore(backup)
	f.hold(f.daemon("b", 100, 101, 101, 102, 103), 5*clock.Second)
	for window := int64(100); window <= 102; window++ {
		f.expect(window, "map[himal:1]")
	}
	f.expectLeftOut(99, 100, 101, 102)
	f.expect(103, "map[himal:1]")
}

// TestSecondRestoreDuringTheRecoveryBringsNoSecondReport guards against a record of the first
// recovery that is taken for one of the second.
func TestSecondRestoreDuringTheRecoveryBringsNoSecondReport(t *testing.T) {
	f := newErasFixture(t)
	f.hold(f.daemon("a", 100), 3*clock.Second)
	f.table.Restore(f.table.Copy())
	second := f.daemon("b", 101)
	f.hold(second, 3*clock.Second)
	backup := f.table.Copy()
	second.Add("himal", 101*windowLength)
	f.hold(second, 6*clock.Second)
	f.expect(101, "map[himal:2]")
	f.table.Restore(backup)
	f.hold(f.daemon("c", 101, 101, 102), 6*clock.Second)
	f.expect(101, "map[himal:2]")
	f.expect(102, "map[himal:1]")
}

// TestSealOfTheLastReleaseThatWasLostIsNotReportedAgain guards against the same after a holder
// of the last release, which says nothing of eras.
func TestSealOfTheLastReleaseThatWasLostIsNotReportedAgain(t *testing.T) {
	f := newErasFixture(t)
	f.put("Usage/Open/4", tally.WindowSnapshot{Window: 100, Sources: []string{"a"}, Teams: []string{"himal"}, Counts: []byte{7}})
	backup := f.table.Copy()
	f.put("Usage/Window/100", billing.Window{Number: 100, Counts: map[string]int64{"himal": 9}})
	f.table.Restore(backup)
	f.clock.Advance(windowLength + clock.Second)
	f.fence = 1
	f.hold(f.daemon("b", 101), 7*clock.Second)
	f.expect(100)
	f.expect(101, "map[himal:1]")
}

// TestSealWrittenLateIntoARestoredTableIsNotReported guards against the report of a seal whose
// write was not answered, and was performed after the table lost the one that was reported.
func TestSealWrittenLateIntoARestoredTableIsNotReported(t *testing.T) {
	t.Run("first restore", func(t *testing.T) { playLateSeal(t, newFirstEraFixture(t)) })
	t.Run("later restore", func(t *testing.T) { playLateSeal(t, newErasFixture(t)) })
}

// newFirstEraFixture is like newErasFixture, in the first era of a table that counts from 0.
func newFirstEraFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.fence = 0
	return f
}

func playLateSeal(t *testing.T, f *fixture) {
	holder := f.daemon("a", 100)
	var late table.Txn
	var backup table.Copy
	f.commit = func(ctx context.Context, txn table.Txn) error {
		if late.Writes == nil && txn.Writes[0].Key == "Usage/Window/100" {
			late, backup = txn, f.table.Copy()
			holder.Add("himal", 100*windowLength)
			return table.ErrUnknown
		}
		return f.table.Client().Commit(ctx, txn)
	}
	f.hold(holder, 8*clock.Second)
	f.expect(100, "map[himal:2]")
	f.table.Restore(backup)
	if err := f.table.Client().Commit(context.Background(), late); !errors.Is(err, table.ErrEraChanged) {
		t.Fatalf("got error %v of the late write, want that it was performed in a later era", err)
	}
	f.hold(f.daemon("b", 101), 4*clock.Second)
	f.expect(100, "map[himal:2]")
	f.expectLeftOut(97, 98, 99, 100)
	f.expect(101, "map[himal:1]")
}

// TestSealThatWasNotConfirmedIsReportedInItsEra guards against a window that is left out since
// its holder ended between the two writes of the seal.
func TestSealThatWasNotConfirmedIsReportedInItsEra(t *testing.T) {
	f := newErasFixture(t)
	writes := 0
	f.commit = func(ctx context.Context, txn table.Txn) error {
		if txn.Writes[0].Key == "Usage/Window/100" {
			if writes++; writes > 1 {
				return table.ErrUnavailable
			}
		}
		return f.table.Client().Commit(ctx, txn)
	}
	f.hold(f.daemon("a", 100), 7*clock.Second)
	f.expect(100)
	f.commit = nil
	f.hold(f.daemon("b", 100, 100, 101), 2*clock.Second)
	f.expect(100, "map[himal:1]")
	f.expectLeftOut()
}

// put writes a row like a daemon of another release.
func (f *fixture) put(key string, value any) {
	encoded, err := msgpack.Marshal(value)
	if err == nil {
		err = f.table.Client().Commit(context.Background(), table.Txn{Writes: []table.Write{{Key: key, Value: encoded}}})
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

// TestPowerLossWithoutARestoreLeavesNothingOut guards against windows that are left out though
// the table has kept all seals.
func TestPowerLossWithoutARestoreLeavesNothingOut(t *testing.T) {
	f := newErasFixture(t)
	f.hold(f.daemon("a", 100), 4*clock.Second)
	f.clock.Advance(2 * clock.Second)
	f.hold(f.daemon("b", 101), 6*clock.Second)
	f.expect(100, "map[himal:1]")
	f.expect(101, "map[himal:1]")
	f.expectLeftOut()
}

// TestHolderThatOutlivesARestoreLeavesNothingOut guards against windows that are left out or
// changed though the holder knows what it has sealed.
func TestHolderThatOutlivesARestoreLeavesNothingOut(t *testing.T) {
	f := newErasFixture(t)
	holder := f.daemon("a", 100, 101, 102)
	backup := f.table.Copy()
	restored := false
	f.fence = 1
	f.run(f.biller(holder, func() {
		if _, sealed := holder.Sealed(100); sealed && !restored {
			restored = true
			f.table.Restore(backup)
		}
	}), 1, 18*clock.Second)
	for window := int64(100); window <= 102; window++ {
		f.expect(window, "map[himal:1]")
	}
	f.expectLeftOut()
	f.hold(f.daemon("b", 100, 100, 102, 102, 103), 5*clock.Second)
	f.expect(100, "map[himal:1]")
	f.expect(102, "map[himal:1]", "map[himal:1]")
	f.expect(103, "map[himal:1]")
}

// TestWindowThatEndedAfterTheEraWasSeenIsReported guards against windows that are left out
// though no seal of them can have been lost.
func TestWindowThatEndedAfterTheEraWasSeenIsReported(t *testing.T) {
	f := newErasFixture(t)
	f.hold(f.daemon("a", 100), 3*clock.Second)
	f.table.Restore(f.table.Copy())
	f.eras.Observe(2)
	f.clock.Advance(3 * clock.Second)
	f.hold(f.daemon("b", 101), 2*clock.Second)
	f.expect(100, "map[himal:1]")
	f.expectLeftOut(97, 98, 99)
}

// TestFirstHolderOfTheSystemLeavesNothingOut guards against requests of the first seconds that
// are never billed, though nobody was there to report them before.
func TestFirstHolderOfTheSystemLeavesNothingOut(t *testing.T) {
	f := newErasFixture(t)
	first := f.daemon("a", 100)
	f.clock.Advance(windowLength)
	f.hold(first, 2*clock.Second)
	f.expect(100, "map[himal:1]")
	f.expectLeftOut()
}

// TestRestoreSoonAfterTheFirstStartBringsNoSecondReport guards against daemons that started with
// the whole system and take a table that has lost the lease for one that nobody has used yet.
func TestRestoreSoonAfterTheFirstStartBringsNoSecondReport(t *testing.T) {
	f := newErasFixture(t)
	backup := f.table.Copy()
	f.hold(f.daemon("a", 100), 8*clock.Second)
	f.expect(100, "map[himal:1]")
	f.table.Restore(backup)
	f.eras.Observe(2)
	f.fence = 0
	f.hold(f.daemon("b", 100, 100, 101), 5*clock.Second)
	f.expect(100, "map[himal:1]")
	f.expectLeftOut(97, 98, 99, 100)
	f.expect(101, "map[himal:1]")
}

// TestAnswerWithoutAnEraBringsNoSecondReport guards against an answer without the number of the
// era, which is taken for that of a table that never comes back from a copy.
func TestAnswerWithoutAnEraBringsNoSecondReport(t *testing.T) {
	f := newErasFixture(t)
	backup := f.table.Copy()
	f.hold(f.daemon("a", 100), 8*clock.Second)
	f.expect(100, "map[himal:1]")
	f.table.Restore(backup)
	f.eras.Observe(2)
	f.get = func(ctx context.Context, key string) (table.Row, error) {
		row, err := f.table.Client().Get(ctx, key)
		row.Era = 0
		return row, err
	}
	second := f.daemon("b", 100, 100, 101)
	f.hold(second, 2*clock.Second)
	f.get = nil
	f.hold(second, 3*clock.Second)
	f.expect(100, "map[himal:1]")
	f.expect(101, "map[himal:1]")
}

// TestEraRecordWrittenLateBringsNoSecondReport guards against a record of an era whose holder ended
// while it wrote it, and that the table performs in the next era.
func TestEraRecordWrittenLateBringsNoSecondReport(t *testing.T) {
	f := newErasFixture(t)
	f.hold(f.daemon("a", 100), 3*clock.Second)
	f.table.Restore(f.table.Copy())
	f.eras.Observe(2)
	var late table.Txn
	f.commit = func(ctx context.Context, txn table.Txn) error {
		if late.Writes == nil && txn.Writes[0].Key == "Usage/Era" {
			late = txn
		}
		return table.ErrUnknown
	}
	f.hold(f.daemon("b", 101), clock.Second)
	f.commit = nil
	backup := f.table.Copy()
	f.hold(f.daemon("c", 101), 8*clock.Second)
	f.expect(101, "map[himal:1]")
	f.table.Restore(backup)
	if err := f.table.Client().Commit(context.Background(), late); !errors.Is(err, table.ErrEraChanged) {
		t.Fatalf("got error %v of the late record, want that it was performed in a later era", err)
	}
	f.eras.Observe(3)
	f.hold(f.daemon("d", 101, 101, 102), 5*clock.Second)
	f.expect(101, "map[himal:1]")
	f.expect(102, "map[himal:1]")
}

func TestEraCountsAsTheFirstOnlyIfItIsSeenAtTheFirstStart(t *testing.T) {
	manual := clock.NewManual(0)
	first, late, restarted := billing.NewEraWatch(manual.Clock(), true), billing.NewEraWatch(manual.Clock(), true), billing.NewEraWatch(manual.Clock(), false)
	first.Observe(3)
	restarted.Observe(3)
	if !first.SinceStart(3) || restarted.SinceStart(3) {
		t.Errorf("got %t at the first start and %t at a later one, want true and false", first.SinceStart(3), restarted.SinceStart(3))
	}
	manual.Advance(2 * clock.Second)
	first.Observe(4)
	late.Observe(4)
	if first.SinceStart(4) || late.SinceStart(4) {
		t.Errorf("got %t in the second era and %t for a daemon that was late, want false", first.SinceStart(4), late.SinceStart(4))
	}
}

// TestRecordOfAClockThatWasAheadLosesNoLaterWindow guards against a record that makes all later
// holders leave out windows.
func TestRecordOfAClockThatWasAheadLosesNoLaterWindow(t *testing.T) {
	f := newErasFixture(t)
	f.fence = 1
	f.put("Usage/Era", map[string]int64{"Era": 1, "First": 1000})
	f.hold(f.daemon("a", 100), 7*clock.Second)
	f.expect(100, "map[himal:1]")
}

// TestSealsThatDifferAreNotReported guards against the report of one of two seals, either of
// which may have been reported.
func TestSealsThatDifferAreNotReported(t *testing.T) {
	f := newErasFixture(t)
	f.put("Usage/Window/99", billing.Window{Number: 99, Counts: map[string]int64{"himal": 9}})
	counts := f.daemon("a", 99)
	counts.MergeSeals([]tally.Seal{{Window: 99, Counts: map[string]int64{"himal": 1}}})
	f.hold(counts, 2*clock.Second)
	f.expect(99)
	f.expectLeftOut(96, 97, 98, 99)
}
