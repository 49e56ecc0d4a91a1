// Package compare is the command that runs the same arrivals over real daemons
// and engine stand-ins under each scheduling policy.
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
	// Plot is the file that gets the plot; none when empty.
	Plot string
	JSON bool
}

// Row is the result of one policy under one workload.
type Row struct {
	Policy   string
	Workload string
	// Attainment is by class; refused and failed requests count as missed.
	Attainment map[string]float64
	// Goodput is tokens of completed answers a second.
	Goodput float64
	// WastedWork is the share of the tokens that no completed answer holds.
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
		Short: "Compare scheduling policies on the same arrivals",
		Long: `Start real daemons and engine stand-ins on loopback for each policy and
workload, send the same arrivals and show the service that classes and teams
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
	flags.StringVar(&opts.Banyanshift, "banyanshift", "", "`Path` of the daemon's program, which is built when not given")
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
			return fmt.Errorf("there is no workload %q; choose from %v", name, workloadNames())
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
	self, err := o.Factory.Executable()
	if err != nil {
		return row, err
	}
	r, err := rig.Start(ctx, rig.Options{
		Banyanshift: o.Banyanshift, Banyanbench: self, Dir: dir, DaemonCount: o.Daemons, Seed: o.Seed, Policy: policy,
		Scenario: compared(w, clock.FromDuration(o.Duration)), Clock: o.Factory.Clock,
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

// drive sends the calls, with the strike of the workload on the way.
func (o *Options) drive(ctx context.Context, r *rig.Rig, w workload) (report verdict.Report, err error) {
	sending, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	run := r.NewRun(o.Seed)
	ends := r.Clock.Wall() + clock.FromDuration(o.Duration)
	struck := make(chan error, 1)
	go o.run(sending, r, w, struck)
	run.SendLoad(sending)
	if err := <-struck; err != nil {
		return report, err
	}
	if err := ctx.Err(); err != nil {
		return report, err
	}
	if report, err = run.Evaluate(ctx); err != nil {
		return report, err
	}
	report.WorstServed, report.JainIndex = fairness(run.Load.Calls(), ends)
	return report, nil
}

// settleShare is the last part of the load whose calls do not count for the
// fairness: they have had no time to be served.
const settleShare = 5

// fairness judges what each team was given until the load ended, while teams
// still competed: afterwards even the worst policy serves what is left.
func fairness(calls []*load.Call, ends clock.Millis) (worst, jain float64) {
	teams := make(map[string]replay.TeamResult)
	weights := make(map[string]float64)
	begun := ends
	for _, call := range calls {
		if sent := call.Sent(); sent > 0 {
			begun = min(begun, sent)
		}
	}
	last := ends - (ends-begun)/settleShare
	for _, call := range calls {
		if call.Sent() == 0 || call.Sent() > last {
			continue
		}
		result := teams[call.Team]
		result.Demand += float64(call.OutputTokens)
		result.Served += float64(call.OutputTokens) * servedPart(call, ends)
		teams[call.Team] = result
		weights[call.Team] = 1
	}
	return replay.Fairness(teams, weights)
}

// run does the strike of a workload after a quarter of the time.
func (o *Options) run(ctx context.Context, r *rig.Rig, w workload, done chan<- error) {
	if w.strike == nil || r.Clock.Sleep(ctx, clock.FromDuration(o.Duration)/4) != nil {
		done <- nil
		return
	}
	done <- w.strike(ctx, r)
}

// servedPart is the part of an answer that its caller had at an instant.
func servedPart(call *load.Call, at clock.Millis) float64 {
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
