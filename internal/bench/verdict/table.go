package verdict

import (
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"text/tabwriter"
)

// WriteFindings writes the kept findings to w, one per line.
func (r *Report) WriteFindings(w io.Writer) {
	for _, finding := range r.Findings {
		_, _ = fmt.Fprintf(w, "%s: %s\n", finding.Invariant, finding.Detail)
	}
}

// WriteTable writes the report to w as a table for people.
func (r *Report) WriteTable(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) }
	line("CLASS\tREQUESTS\tCOMPLETED\tIN TARGET\tFIRST TOKEN P50\tP99\tGAP P95")
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[name]
		line("%s\t%d\t%d\t%.1f%%\t%s\t%s\t%s", name, c.Requests, c.Completed, 100*r.Attainment[name], c.FirstTokenP50, c.FirstTokenP99, c.GapP95)
	}
	line("")
	line("Requests\t%d", r.Requests)
	line("  completed\t%d", r.Completed)
	line("  refused, not run\t%d", r.RefusedNotRun)
	line("  unknown\t%d", r.Unknown)
	line("  given up by callers\t%d", r.Cancelled)
	line("  not sent\t%d", r.NotSent)
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		line("  %s\t%d attempts, such as %s", outcome, r.Outcomes[outcome], r.Samples[outcome])
	}
	line("Goodput\t%.0f tokens/s, %.1f%% of tokens wasted", r.GoodputPerSecond, 100*r.WastedShare)
	line("Worst served team\t%.3f of what it deserved (Jain index %.3f)", r.WorstServed, r.JainIndex)
	line("Spend\t%.4f, %.1f%% of tokens on cheap endpoints", r.Spend, 100*r.CheapShare)
	line("Withdrawals\t%d, last run %s after the answer and %s after the request at most",
		r.LastRunAfterWithdrawal.Count, r.LastRunAfterWithdrawal.Max, r.LastRunAfterAsking.Max)
	line("Configuration\tin force %s after the answer at most, p99 %s", r.ConfigurationInForce.Max, r.ConfigurationInForce.P99)
	line("Model requests served\t%d of %d in store outages, %d of %d outside",
		r.ServedInOutage.Served, r.ServedInOutage.Requests, r.ServedOutside.Served, r.ServedOutside.Requests)
	line("Usage windows\t%d reports", r.Windows)
	line("Endpoint orders\t%d given", r.Orders)
	line("")
	line("MUST ALWAYS HOLD\tVIOLATIONS")
	violations := reflect.ValueOf(r.Violations)
	for i := range violations.NumField() {
		line("%s\t%d", violations.Type().Field(i).Name, violations.Field(i).Int())
	}
	_ = table.Flush()
}
