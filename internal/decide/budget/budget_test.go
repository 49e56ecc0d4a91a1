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

// TestFleetStaysWithinTheBudget checks the limit over every span of the window's
// length while several daemons retry whenever their budget allows it.
func TestFleetStaysWithinTheBudget(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("no window holds too many retries", prop.ForAll(
		staysWithinBudget,
		gen.IntRange(1, 12), gen.SliceOfN(600, gen.IntRange(0, 120)),
	))
	properties.TestingRun(t)
}

func staysWithinBudget(daemons int, gaps []int) bool {
	budgets := make([]*budget.Budget, daemons)
	for i := range budgets {
		budgets[i] = budget.New(rules)
	}
	var requests, retries []clock.Millis
	now := clock.Millis(0)
	for n, gap := range gaps {
		now += clock.Millis(gap)
		b := budgets[n%daemons]
		b.RecordRequest(now, "books")
		requests = append(requests, now)
		for b.TakeRetry(now, budget.Retry{Backend: "books"}, daemons) {
			retries = append(retries, now)
		}
	}
	for _, end := range retries {
		spent := count(retries, end-rules.Window, end)
		// The limit follows from the requests of this window or of the one
		// before, whichever has more.
		counted := max(count(requests, end-rules.Window, end), count(requests, end-2*rules.Window, end-rules.Window))
		if float64(spent) > rules.Ratio*float64(counted)+rules.FixedRetries {
			return false
		}
	}
	return true
}

// count returns how many times are later than start and not later than end.
func count(times []clock.Millis, start, end clock.Millis) int {
	n := 0
	for _, instant := range times {
		if instant > start && instant <= end {
			n++
		}
	}
	return n
}

func TestBackendsHaveSeparateBudgets(t *testing.T) {
	b := budget.New(rules)
	for b.TakeRetry(0, budget.Retry{Backend: "books"}, 1) {
		continue
	}
	if !b.TakeRetry(0, budget.Retry{Backend: "receipts"}, 1) {
		t.Error("retry refused because the budget of another back end is spent, want it allowed")
	}
	if !b.TakeRetry(rules.Window+2*clock.Second, budget.Retry{Backend: "books"}, 1) {
		t.Error("retry refused after the window has passed, want it allowed")
	}
}

// TestDeclinedRequestsLeaveRetriesToOthers guards against a caller whose requests are declined for
// what they ask, and who uses up the retries of all others.
func TestDeclinedRequestsLeaveRetriesToOthers(t *testing.T) {
	b := budget.New(budget.Rules{Ratio: 0.2, FixedRetries: 10, Window: 10 * clock.Second})
	for range 200 {
		b.RecordRequest(0, "books")
	}
	declined, others := 0, 0
	for b.TakeRetry(0, budget.Retry{Backend: "books", Declined: true}, 1) {
		declined++
	}
	for b.TakeRetry(0, budget.Retry{Backend: "books"}, 1) {
		others++
	}
	if declined != 20 || others != 20 {
		t.Errorf("%d retries of declined requests and %d others, want 20 and 20", declined, others)
	}
	if !b.TakeRetry(12*clock.Second, budget.Retry{Backend: "books", Declined: true}, 1) {
		t.Error("no retry of a declined request in the next window")
	}
}
