// Package check implements the check command. It runs a deployment of real
// processes under load, injects failures on a seeded schedule and then checks
// the invariants.
//
// # Usage
//
//	banyanbench check --seed 7 --duration 60s --faults kill,store-down --json
//
// A failed run can be repeated with the same seed, which determines the
// schedule, the load and the faults of the stand-ins.
package check

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/factory"
	"github.com/banyanshift/banyanshift/internal/bench/rig"
	"github.com/banyanshift/banyanshift/internal/bench/scenario"
	"github.com/banyanshift/banyanshift/internal/bench/verdict"
	"github.com/banyanshift/banyanshift/internal/standin/faultproxy"
)

// Options holds the flags of the command.
type Options struct {
	Factory     *factory.Factory
	Seed        uint64
	Duration    time.Duration
	Daemons     int
	Faults      []string
	Deployment  string
	Banyanshift string
	JSON        bool
	Keep        bool
}

// NewCmdCheck returns the command. runF replaces its action in tests.
func NewCmdCheck(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check the invariants under failures",
		Long: `Run a deployment of real daemons with a fault-injecting proxy on every
connection, send calls of its teams, inject failures on a seeded schedule, and
check the invariants against the records of callers and stand-ins.

The exit code is 0 only if no invariant was violated. The same seed gives the
same schedule.

Faults: ` + strings.Join(faultNames(), ", ") + ".",
		Example: `  $ banyanbench check --seed 7 --duration 60s
  $ banyanbench check --seed 7 --faults kill,store-down --daemons 8 --json`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := opts.complete(); err != nil {
				return err
			}
			if runF != nil {
				return runF(opts)
			}
			return checkRun(opts)
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&opts.Seed, "seed", 1, "Seed of the schedule, the load and the faults")
	flags.DurationVar(&opts.Duration, "duration", time.Minute, "Send calls for this long")
	flags.IntVar(&opts.Daemons, "daemons", 8, "Daemons to run")
	flags.StringSliceVar(&opts.Faults, "faults", []string{"all"}, "Faults to inject; none to run without faults")
	flags.StringVar(&opts.Deployment, "deployment", "", "Deployment to run; chosen by the seed if not given")
	flags.StringVar(&opts.Banyanshift, "banyanshift", "", "`Path` of the daemon's executable; built if not given")
	flags.BoolVar(&opts.JSON, "json", false, "Print the result as one line of JSON")
	flags.BoolVar(&opts.Keep, "keep", false, "Keep the directory with settings and logs")
	return cmd
}

// complete expands and validates the faults and chooses the deployment by the
// seed if none is given.
func (o *Options) complete() error {
	switch {
	case len(o.Faults) == 1 && o.Faults[0] == "all":
		o.Faults = defaultFaults()
	case len(o.Faults) == 1 && o.Faults[0] == "none":
		o.Faults = nil
	}
	for _, name := range o.Faults {
		if _, known := faultByName(name); !known {
			return fmt.Errorf("unknown fault %q; choose from %s", name, strings.Join(faultNames(), ", "))
		}
	}
	if o.Deployment == "" {
		all := scenario.Names()
		o.Deployment = all[o.Seed%uint64(len(all))]
	}
	if _, known := scenario.ByName(o.Deployment); !known {
		return fmt.Errorf("unknown deployment %q; choose from %v", o.Deployment, scenario.Names())
	}
	return nil
}

func (o *Options) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(o.Factory.ErrOut, format+"\n", args...)
}

func checkRun(opts *Options) (err error) {
	ctx := opts.Factory.StopContext()
	dir, err := os.MkdirTemp("", "banyanshift-check-")
	if err != nil {
		return err
	}
	defer func() {
		if !opts.Keep && err == nil {
			err = os.RemoveAll(dir)
			return
		}
		opts.progress("logs are in %s", dir)
	}()
	if opts.Banyanshift == "" {
		if opts.Banyanshift, err = rig.Build(ctx, dir); err != nil {
			return err
		}
	}
	report, err := opts.run(ctx, dir)
	if err != nil {
		return err
	}
	return opts.show(report)
}

func (o *Options) run(ctx context.Context, dir string) (verdict.Report, error) {
	self, err := o.Factory.Executable()
	if err != nil {
		return verdict.Report{}, err
	}
	chosen, _ := scenario.ByName(o.Deployment)
	o.progress("starting %s with %d daemons, seed %d", o.Deployment, o.Daemons, o.Seed)
	r, err := rig.Start(ctx, rig.Options{
		Banyanshift: o.Banyanshift, Banyanbench: self, Dir: dir, Scenario: chosen,
		DaemonCount: o.Daemons, Seed: o.Seed, Proxy: true, Clock: o.Factory.Clock,
	})
	if err != nil {
		return verdict.Report{}, err
	}
	defer r.Close()
	if err := o.setCallerDelay(ctx, r); err != nil {
		return verdict.Report{}, err
	}
	c := &checker{opts: o, rig: r, run: r.NewRun(o.Seed)}
	return c.check(ctx)
}

// setCallerDelay sets the network delay of the deployment's callers on their
// connections.
func (o *Options) setCallerDelay(ctx context.Context, r *rig.Rig) error {
	delay := clock.Millisecond
	if o.Deployment == "consortium" {
		delay = 3 * clock.Millisecond
	}
	rule := faultproxy.Rule{Pattern: "caller/*", Fault: faultproxy.Fault{Delay: delay}}
	return r.CallProxy(ctx, "/faults", rule, nil)
}

// Result is printed as the last line on standard output with --json.
type Result struct {
	Seed   uint64
	Faults []string
	verdict.Report
}

func (o *Options) show(report verdict.Report) error {
	report.WriteFindings(o.Factory.ErrOut)
	if o.JSON {
		line, err := json.Marshal(Result{Seed: o.Seed, Faults: o.Faults, Report: report})
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(o.Factory.Out, "%s\n", line)
	} else {
		report.WriteTable(o.Factory.Out)
	}
	if total := report.Violations.Total(); total > 0 {
		return fmt.Errorf("%w: %d; repeat with: banyanbench check --seed %d --duration %s --daemons %d --deployment %s --faults %s",
			factory.ErrInvariantViolated, total, o.Seed, o.Duration, o.Daemons, o.Deployment, strings.Join(o.Faults, ","))
	}
	return nil
}
