// Package compare implements the compare command. It sends the same requests to
// real daemons with engine stand-ins under each scheduling policy and compares
// the service that classes and teams get.
//
// # Usage
//
//	banyanbench compare --seed 1 --duration 20s --plot compare.svg
package compare

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/factory"
	"github.com/banyanshift/banyanshift/internal/bench/rig"
	"github.com/banyanshift/banyanshift/internal/bench/verdict"
	"github.com/banyanshift/banyanshift/internal/decide/replay"
	"github.com/banyanshift/banyanshift/internal/peer/broker"
	"github.com/banyanshift/banyanshift/internal/standin/load"
)

// Options holds the flags of the command.
type Options struct {
	Factory *factory.Factory
	Seed    uint64
	// Duration is how long calls are sent in each run.
	Duration    time.Duration
	Daemons     int
	Policies    []string
	Workloads   []string
	Banyanshift string
	// Plot is the file to write the plot to; no plot if empty.
	Plot string
	JSON bool
}

// Row is the result of one policy under one workload.
type Row struct {
	Policy   string
	Workload string
	// Attainment is keyed by class; refused and failed requests count as missed.
	Attainment map[string]float64
	// Goodput is the number of tokens per second in completed answers.
	Goodput float64
	// WastedWork is the share of generated tokens outside completed answers.
	WastedWork  float64
	WorstServed float64
	JainIndex   float64
	Requests    int
	Completed   int
	Refused     int
}

// Table is the result of the command.
type Table struct {
	Seed     uint64
	Duration clock.Millis
	Daemons  int
	Rows     []Row
}

// NewCmdCompare returns the command. runF replaces its action in tests.
func NewCmdCompare(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "compare",
		Short: "Compare scheduling policies under the same load",
		Long: `Start real daemons and engine stand-ins on loopback for each policy and
workload, send the same requests and show the service that classes and teams
get.`,
		Example: `  $ banyanbench compare --seed 1 --duration 20s
  $ banyanbench compare --workloads burst,flood --policies LocalFair,Broker --json`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(opts)
			}
			return compareRun(opts)
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&opts.Seed, "seed", 1, "Seed of the calls")
	flags.DurationVar(&opts.Duration, "duration", 20*time.Second, "Send calls for this long in each run")
	flags.IntVar(&opts.Daemons, "daemons", 8, "Daemons")
	flags.StringSliceVar(&opts.Policies, "policies", policyNames(), "Policies to compare")
	flags.StringSliceVar(&opts.Workloads, "workloads", workloadNames(), "Workloads to run")
	flags.StringVar(&opts.Banyanshift, "banyanshift", "", "`Path` of the daemon's executable; built if not given")
	flags.StringVar(&opts.Plot, "plot", "", "Write a plot to this SVG `file`")
	flags.BoolVar(&opts.JSON, "json", false, "Print the figures as one line of JSON at the end")
	return cmd
}

func policyNames() []string {
	return []string{string(broker.RoundRobin), string(broker.LeastOutstanding), string(broker.LocalFair), string(broker.Brokered)}
}

func compareRun(opts *Options) (err error) {
	for _, name := range opts.Workloads {
		if !slices.Contains(workloadNames(), name) {
			return fmt.Errorf("unknown workload %q; choose from %v", name, workloadNames())
		}
	}
	ctx := opts.Factory.StopContext()
	dir, err := os.MkdirTemp("", "banyanshift-compare-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if opts.Banyanshift == "" {
		opts.progress("building the daemon")
		if opts.Banyanshift, err = rig.Build(ctx, dir); err != nil {
			return err
		}
	}
	table, err := opts.runAll(ctx, dir)
	if err != nil {
		return err
	}
	return opts.show(table)
}

func (o *Options) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(o.Factory.ErrOut, format+"\n", args...)
}

func (o *Options) runAll(ctx context.Context, dir string) (table Table, err error) {
	table = Table{Seed: o.Seed, Duration: clock.FromDuration(o.Duration), Daemons: o.Daemons}
	for _, w := range workloads() {
		if !slices.Contains(o.Workloads, w.name) {
			continue
		}
		for _, policy := range o.Policies {
			o.progress("%s under %s", w.name, policy)
			row, err := o.runOne(ctx, filepath.Join(dir, w.name+"-"+policy), w, policy)
			if err != nil {
				return table, err
			}
			table.Rows = append(table.Rows, row)
		}
	}
	return table, nil
}

func (o *Options) runOne(ctx context.Context, dir string, w workload, policy string) (row Row, err error) {
	defer func() { err = oops.Wrapf(err, "workload %s, policy %s", w.name, policy) }()
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return row, err
	}
	executable, err := o.Factory.Executable()
	if err != nil {
		return row, err
	}
	r, err := rig.Start(ctx, rig.Options{
		Banyanshift: o.Banyanshift, Banyanbench: executable, Dir: dir, DaemonCount: o.Daemons, Seed: o.Seed, Policy: policy,
		Scenario: scenarioFor(w, clock.FromDuration(o.Duration)), Clock: o.Factory.Clock,
	})
	if err != nil {
		return row, err
	}
	defer r.Close()
	r.Balancer.FirstDaemonShare = w.skew
	report, err := o.drive(ctx, r, w)
	if err != nil {
		return row, err
	}
	return Row{
		Policy: policy, Workload: w.name, Attainment: report.Attainment, Goodput: report.GoodputPerSecond,
		WastedWork: report.WastedShare, WorstServed: report.WorstServed, JainIndex: report.JainIndex,
		Requests: report.Requests, Completed: report.Completed, Refused: report.RefusedNotRun,
	}, nil
}

// drive sends the calls, injects the fault of the workload and judges the run.
func (o *Options) drive(ctx context.Context, r *rig.Rig, w workload) (report verdict.Report, err error) {
	sending, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	run := r.NewRun(o.Seed)
	loadEnd := r.Clock.Wall() + clock.FromDuration(o.Duration)
	faultDone := make(chan error, 1)
	go o.run(sending, r, w, faultDone)
	run.SendLoad(sending)
	if err := <-faultDone; err != nil {
		return report, err
	}
	if err := ctx.Err(); err != nil {
		return report, err
	}
	if report, err = run.Evaluate(ctx); err != nil {
		return report, err
	}
	report.WorstServed, report.JainIndex = fairness(run.Load.Calls(), loadEnd)
	return report, nil
}

// uncountedDivisor excludes calls sent in the last fifth of the load from the
// fairness figures, because they had too little time to be served.
const uncountedDivisor = 5

// fairness returns the share of the worst-served team and the Jain index. Only
// service up to loadEnd counts, while teams compete: once the load has ended,
// even the worst policy serves the remaining calls.
func fairness(calls []*load.Call, loadEnd clock.Millis) (worst, jain float64) {
	teams := make(map[string]replay.TeamResult)
	weights := make(map[string]float64)
	firstSent := loadEnd
	for _, call := range calls {
		if sent := call.Sent(); sent > 0 {
			firstSent = min(firstSent, sent)
		}
	}
	lastCounted := loadEnd - (loadEnd-firstSent)/uncountedDivisor
	for _, call := range calls {
		if call.Sent() == 0 || call.Sent() > lastCounted {
			continue
		}
		result := teams[call.Team]
		result.Demand += float64(call.OutputTokens)
		result.Served += float64(call.OutputTokens) * servedShare(call, loadEnd)
		teams[call.Team] = result
		weights[call.Team] = 1
	}
	return replay.Fairness(teams, weights)
}

// run injects the fault of a workload after a quarter of the duration.
func (o *Options) run(ctx context.Context, r *rig.Rig, w workload, done chan<- error) {
	if w.injectFault == nil || r.Clock.Sleep(ctx, clock.FromDuration(o.Duration)/4) != nil {
		done <- nil
		return
	}
	done <- w.injectFault(ctx, r)
}

// servedShare estimates the share of a completed answer that its caller had
// received by the given time, assuming a constant token rate.
func servedShare(call *load.Call, at clock.Millis) float64 {
	if call.Outcome() != load.Completed {
		return 0
	}
	for _, attempt := range call.Attempts() {
		if attempt.Outcome != load.Completed || attempt.FirstTokenAt > at {
			continue
		}
		length := max(1, attempt.Ended-attempt.FirstTokenAt)
		return min(1, float64(at-attempt.FirstTokenAt)/float64(length))
	}
	return 0
}

func (o *Options) show(table Table) (err error) {
	writer := tabwriter.NewWriter(o.Factory.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, "WORKLOAD\tPOLICY\tINTERACTIVE\tSTANDARD\tBATCH\tGOODPUT\tWASTED\tWORST SERVED\tJAIN")
	for _, row := range table.Rows {
		_, _ = fmt.Fprintf(writer, "%s\t%s\t%s\t%s\t%s\t%.0f\t%.3f\t%.3f\t%.3f\n", row.Workload, row.Policy,
			row.attained("interactive"), row.attained("standard"), row.attained("batch"),
			row.Goodput, row.WastedWork, row.WorstServed, row.JainIndex)
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	if o.Plot != "" {
		if err := os.WriteFile(o.Plot, plot(table), 0o600); err != nil {
			return err
		}
	}
	if !o.JSON {
		return nil
	}
	line, err := json.Marshal(table)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.Factory.Out, "%s\n", line)
	return err
}

func (r Row) attained(class string) string {
	if value, known := r.Attainment[class]; known {
		return fmt.Sprintf("%.3f", value)
	}
	return "-"
}
