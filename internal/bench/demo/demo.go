// Package demo implements the command banyanbench demo. It runs two deployments
// of real processes on loopback, sends the calls of their teams and reports the
// level of service that each class and team got.
//
// # Usage
//
//	banyanbench demo --duration 10s --json
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/factory"
	"github.com/banyanshift/banyanshift/internal/bench/rig"
	"github.com/banyanshift/banyanshift/internal/bench/scenario"
	"github.com/banyanshift/banyanshift/internal/bench/verdict"
)

// Options holds the flags of the command.
type Options struct {
	Factory *factory.Factory
	// Duration is how long calls are sent.
	Duration time.Duration
	Daemons  int
	Seed     uint64
	// Deployments are the names of the scenarios to run.
	Deployments []string
	// BanyanshiftPath is the path of the daemon's program; if empty, it is built.
	BanyanshiftPath string
	Policy          string
	JSON            bool
	// KeepDir keeps the directory with the settings and logs.
	KeepDir bool
}

// NewCmdDemo returns the command. runF replaces its action in tests.
func NewCmdDemo(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run two deployments and report the service that teams get",
		Long: `Start stand-ins and real daemons on loopback for the deployments of
Halvorsen Household Ledger Co. and the Himal Summit Registry Consortium, send
their teams' calls and independently check every response, run and usage report.

The exit code is 0 only if no invariant was violated.`,
		Example: `  $ banyanbench demo --duration 10s
  $ banyanbench demo --duration 30s --daemons 5 --deployments consortium --json`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(opts)
			}
			return demoRun(opts)
		},
	}
	flags := cmd.Flags()
	flags.DurationVar(&opts.Duration, "duration", 10*time.Second, "Send calls for this long")
	flags.IntVar(&opts.Daemons, "daemons", 3, "Daemons of each deployment")
	flags.Uint64Var(&opts.Seed, "seed", 1, "Seed of the calls")
	flags.StringSliceVar(&opts.Deployments, "deployments", scenario.Names(), "Deployments to run")
	flags.StringVar(&opts.BanyanshiftPath, "banyanshift", "", "`Path` of the daemon's program, which is built when not given")
	flags.StringVar(&opts.Policy, "policy", "", "Scheduling policy of the daemons")
	flags.BoolVar(&opts.JSON, "json", false, "Print the figures as one line of JSON")
	flags.BoolVar(&opts.KeepDir, "keep", false, "Keep the directory with settings and logs")
	return cmd
}

func demoRun(opts *Options) (err error) {
	ctx := opts.Factory.StopContext()
	dir, err := os.MkdirTemp("", "banyanshift-demo-")
	if err != nil {
		return err
	}
	defer func() {
		if !opts.KeepDir && err == nil {
			err = os.RemoveAll(dir)
			return
		}
		opts.printProgress("logs are in %s", dir)
	}()
	if opts.BanyanshiftPath == "" {
		opts.printProgress("building the daemon")
		if opts.BanyanshiftPath, err = rig.Build(ctx, dir); err != nil {
			return err
		}
	}
	report, err := opts.runAll(ctx, dir)
	if err != nil {
		return err
	}
	return opts.printReport(report)
}

func (o *Options) printProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(o.Factory.ErrOut, format+"\n", args...)
}

// runAll runs the deployments concurrently and merges their reports.
func (o *Options) runAll(ctx context.Context, dir string) (merged verdict.Report, err error) {
	reports := make([]verdict.Report, len(o.Deployments))
	failures := make([]error, len(o.Deployments))
	var wg sync.WaitGroup
	for i, name := range o.Deployments {
		wg.Go(func() {
			reports[i], failures[i] = o.runOne(ctx, dir, name)
		})
	}
	wg.Wait()
	if err := errors.Join(failures...); err != nil {
		return merged, err
	}
	merged = reports[0]
	for _, report := range reports[1:] {
		merged.Merge(report)
	}
	return merged, nil
}

// runOne runs one deployment with its files in a subdirectory of dir.
func (o *Options) runOne(ctx context.Context, dir, name string) (report verdict.Report, err error) {
	defer func() { err = oops.Wrapf(err, "deployment %s", name) }()
	chosen, found := scenario.ByName(name)
	if !found {
		return report, fmt.Errorf("there is no such deployment; choose from %v", scenario.Names())
	}
	deploymentDir, err := os.MkdirTemp(dir, name+"-")
	if err != nil {
		return report, err
	}
	banyanbench, err := o.Factory.Executable()
	if err != nil {
		return report, err
	}
	o.printProgress("%s: starting stand-ins and %d daemons", name, o.Daemons)
	r, err := rig.Start(ctx, rig.Options{
		Banyanshift: o.BanyanshiftPath, Banyanbench: banyanbench, Dir: deploymentDir, Scenario: chosen,
		DaemonCount: o.Daemons, Seed: o.Seed, Policy: o.Policy, Clock: o.Factory.Clock,
	})
	if err != nil {
		return report, err
	}
	defer r.Close()
	return o.sendAndVerify(ctx, r.NewRun(o.Seed))
}

// sendAndVerify sends the calls and verifies the run. A change of the
// configuration and the withdrawal of a key take place meanwhile.
func (o *Options) sendAndVerify(ctx context.Context, run *rig.Run) (verdict.Report, error) {
	sending, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	changesDone := make(chan error, 1)
	go o.runChanges(sending, run, changesDone)
	run.SendLoad(sending)
	if err := <-changesDone; err != nil {
		return verdict.Report{}, err
	}
	if err := ctx.Err(); err != nil {
		return verdict.Report{}, err
	}
	o.printProgress("%s: waiting for the usage reports", run.Rig.Scenario.Name)
	return run.Evaluate(ctx)
}

// runChanges prints the progress in every quarter of the duration. It changes
// the configuration after the first and withdraws a key after the second.
func (o *Options) runChanges(ctx context.Context, run *rig.Run, done chan<- error) {
	quarter := clock.FromDuration(o.Duration) / 4
	failed := func(err error) bool {
		if err != nil && ctx.Err() == nil {
			done <- err
			return true
		}
		return false
	}
	for i := 0; ; i++ {
		if run.Rig.Clock.Sleep(ctx, quarter) != nil {
			done <- nil
			return
		}
		progress := run.Load.Progress()
		o.printProgress("%s: %d calls sent, %d open", run.Rig.Scenario.Name, progress.Sent, progress.InFlight)
		switch i {
		case 0:
			if failed(run.Prober.PutNextVersion(ctx, run.Rig.ActiveDaemons()[0])) {
				return
			}
		case 1:
			if failed(o.withdraw(ctx, run)) {
				return
			}
		}
	}
}

// withdraw withdraws the first key of the first team and records the withdrawal
// for the verification.
func (o *Options) withdraw(ctx context.Context, run *rig.Run) error {
	team := run.Rig.Scenario.Teams[0].Name
	key := run.Rig.Keys.Active(team)[0]
	withdrawal, err := run.Rig.WithdrawKey(ctx, run.Rig.ActiveDaemons()[0], team, key.ID)
	if err != nil {
		return err
	}
	run.Input.Withdrawals = append(run.Input.Withdrawals, withdrawal)
	return nil
}

// printReport prints the findings and the figures. It returns an error if an
// invariant was violated.
func (o *Options) printReport(report verdict.Report) error {
	report.WriteFindings(o.Factory.ErrOut)
	if o.JSON {
		line, err := json.Marshal(report)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(o.Factory.Out, "%s\n", line)
	} else {
		report.WriteTable(o.Factory.Out)
	}
	if total := report.Violations.Total(); total > 0 {
		return fmt.Errorf("%w: %d", factory.ErrInvariantViolated, total)
	}
	return nil
}
