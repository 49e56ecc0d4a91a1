package budget_test

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/budget"
)

var rules = budget.Rules{Ratio: 0.2, FixedRetries: 56, Window: 10 * clock.Second}

// TestFleetStaysWithinTheBudget plays a load on several daemons that retry
// whenever they may, and counts every span of the window's length.
func TestFleetStaysWithinTheBudget(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("no window holds too many retries", prop.ForAll(
		within,
		gen.IntRange(1, 12), gen.SliceOfN(600, gen.IntRange(0, 120)),
	))
	properties.TestingRun(t)
}

func within(daemons int, gaps []int) bool {
	budgets := make([]*budget.Budget, daemons)
	for i := range budgets {
		budgets[i] = budget.New(rules)
	}
	var offered, retried []clock.Millis
	now := clock.Millis(0)
	for n, gap := range gaps {
		now += clock.Millis(gap)
		b := budgets[n%daemons]
		b.RecordRequest(now, "books")
		offered = append(offered, now)
		for b.TakeRetry(now, "books", daemons) {
			retried = append(retried, now)
		}
	}
	for _, end := range retried {
		spent := count(retried, end-rules.Window, end)
		// The requests of the window or of the one before count, whichever
		// are more.
		paid := max(count(offered, end-rules.Window, end), count(offered, end-2*rules.Window, end-rules.Window))
		if float64(spent) > rules.Ratio*float64(paid)+rules.FixedRetries {
			return false
		}
	}
	return true
}

func count(at []clock.Millis, after, until clock.Millis) int {
	n := 0
	for _, instant := range at {
		if instant > after && instant <= until {
			n++
		}
	}
	return n
}

func TestBudgetsOfBackendsAreApart(t *testing.T) {
	b := budget.New(rules)
	for b.TakeRetry(0, "books", 1) {
		continue
	}
	if !b.TakeRetry(0, "receipts", 1) {
		t.Error("a spent budget of one back end must not take from another")
	}
	if !b.TakeRetry(rules.Window+2*clock.Second, "books", 1) {
		t.Error("a budget must fill again after its window")
	}
}
