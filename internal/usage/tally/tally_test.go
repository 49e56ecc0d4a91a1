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

const length = 5 * clock.Second

// TestMergeCountsNothingTwice merges the counts of several daemons in any
// order and repeatedly.
func TestMergeCountsNothingTwice(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("sums are those of the sources", prop.ForAll(
		func(adds []int, merges []int) bool {
			sources := make([]*tally.Tally, 3)
			for i := range sources {
				sources[i] = tally.New(fmt.Sprint("vm-", i), length)
			}
			for _, n := range adds {
				sources[n%3].Add("himal", clock.Millis(n)*clock.Second)
			}
			holder := tally.New("holder", length)
			for _, n := range append(merges, 0, 1, 2) {
				for _, sheet := range sources[n%3].Snapshots(0) {
					if err := holder.MergeSnapshot(sheet); err != nil {
						return false
					}
				}
			}
			total := int64(0)
			for window := range int64(5) {
				total += holder.Sum(window)["himal"]
			}
			return total == int64(len(adds))
		},
		gen.SliceOf(gen.IntRange(0, 24)), gen.SliceOf(gen.IntRange(0, 2)),
	))
	properties.TestingRun(t)
}

func TestFreshCountsAreToldOnce(t *testing.T) {
	counts := tally.New("a", length)
	counts.Add("himal", 0)
	counts.Add("himal", 1)
	if fresh := counts.TakeChanged(); len(fresh) != 1 || fresh[0].Count != 2 {
		t.Errorf("got %v", fresh)
	}
	if fresh := counts.TakeChanged(); len(fresh) != 0 {
		t.Errorf("told again: %v", fresh)
	}
}

func TestOldWindowsAreForgotten(t *testing.T) {
	counts := tally.New("a", length)
	counts.Add("himal", 0)
	counts.Add("himal", 100*length)
	if sheets := counts.Snapshots(0); len(sheets) != 1 {
		t.Errorf("%d windows are kept", len(sheets))
	}
}

func TestSheetThatEndsEarlyChangesNothing(t *testing.T) {
	counts := tally.New("a", length)
	counts.Add("himal", 0)
	counts.Add("halvorsen", 0)
	sheet := counts.Snapshots(0)[0]
	sheet.Counts = sheet.Counts[:1]
	other := tally.New("b", length)
	if err := other.MergeSnapshot(sheet); err == nil || len(other.Sum(0)) != 0 {
		t.Errorf("error %v, counts %v", err, other.Sum(0))
	}
}
