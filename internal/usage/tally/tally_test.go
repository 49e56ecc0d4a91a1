package tally_test

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/usage/tally"
)

const windowLength = 5 * clock.Second

// TestMergeCountsNothingTwice merges the counts of three daemons in random order
// and repeatedly; no request may be counted twice.
func TestMergeCountsNothingTwice(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("merged total equals the number of requests", prop.ForAll(
		func(adds []int, merges []int) bool {
			sources := make([]*tally.Tally, 3)
			for i := range sources {
				sources[i] = tally.New(fmt.Sprint("vm-", i), windowLength)
			}
			for _, n := range adds {
				sources[n%3].Add("himal", clock.Millis(n)*clock.Second)
			}
			merged := tally.New("holder", windowLength)
			for _, n := range append(merges, 0, 1, 2) {
				for _, snapshot := range sources[n%3].Snapshots(0) {
					if err := merged.MergeSnapshot(snapshot); err != nil {
						return false
					}
				}
			}
			total := int64(0)
			for window := range int64(5) {
				total += merged.Sum(window)["himal"]
			}
			return total == int64(len(adds))
		},
		gen.SliceOf(gen.IntRange(0, 24)), gen.SliceOf(gen.IntRange(0, 2)),
	))
	properties.TestingRun(t)
}

func TestTakeChangedReturnsEachChangeOnce(t *testing.T) {
	counts := tally.New("a", windowLength)
	counts.Add("himal", 0)
	counts.Add("himal", 1)
	if changed := counts.TakeChanged(); len(changed) != 1 || changed[0].Count != 2 {
		t.Errorf("got changed counts %v, want one with count 2", changed)
	}
	if changed := counts.TakeChanged(); len(changed) != 0 {
		t.Errorf("got %v from the second call, want none", changed)
	}
}

func TestOldWindowsArePruned(t *testing.T) {
	counts := tally.New("a", windowLength)
	counts.Add("himal", 0)
	counts.Add("himal", 100*windowLength)
	if snapshots := counts.Snapshots(0); len(snapshots) != 1 {
		t.Errorf("got %d windows, want only the newest", len(snapshots))
	}
}

func TestTruncatedSnapshotChangesNothing(t *testing.T) {
	counts := tally.New("a", windowLength)
	counts.Add("himal", 0)
	counts.Add("halvorsen", 0)
	snapshot := counts.Snapshots(0)[0]
	snapshot.Counts = snapshot.Counts[:1]
	other := tally.New("b", windowLength)
	if err := other.MergeSnapshot(snapshot); err == nil || len(other.Sum(0)) != 0 {
		t.Errorf("got error %v and counts %v, want an error and no counts", err, other.Sum(0))
	}
}
