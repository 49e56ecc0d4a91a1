// Package check is the command that runs a deployment of real processes under
// load and a seeded schedule of failures, and then checks what must always
// hold.
//
// # Usage
//
//	banyanbench check --seed 7 --duration 60s --faults kill,store-down --json
//
// A seed that fails is a command that anyone can repeat: the schedule, the
// load and the faults of the stand-ins all follow from it.
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
		Short: "Check what must always hold, under failures",
		Long: `Run a deployment of real daemons with a fault-injecting proxy on every
connection, send its teams' calls, bring about a seeded schedule of failures,
and check the invariants from what callers and stand-ins recorded.

The exit code is 0 only if none was broken. The same seed gives the same
schedule.

Faults: ` + strings.Join(names(), ", ") + ".",
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
	flags.StringSliceVar(&opts.Faults, "faults", []string{"all"}, "Faults to bring about; none for a run without")
	flags.StringVar(&opts.Deployment, "deployment", "", "Deployment to run; the seed chooses one when not given")
	flags.StringVar(&opts.Banyanshift, "banyanshift", "", "`Path` of the daemon's program, which is built when not given")
	flags.BoolVar(&opts.JSON, "json", false, "Print the result as one line of JSON")
	flags.BoolVar(&opts.Keep, "keep", false, "Keep the directory with settings and logs")
	return cmd
}

// complete checks the flags and fills in what follows from the seed.
func (o *Options) complete() error {
	switch {
	case len(o.Faults) == 1 && o.Faults[0] == "all":
		o.Faults = usual()
	case len(o.Faults) == 1 && o.Faults[0] == "none":
		o.Faults = nil
	}
	for _, name := range o.Faults {
		if _, known := faultNamed(name); !known {
			return fmt.Errorf("there is no fault %q; choose from %s", name, strings.Join(names(), ", "))
		}
	}
	if o.Deployment == "" {
		all := scenario.Names()
		o.Deployment = all[o.Seed%uint64(len(all))]
	}
	if _, known := scenario.ByName(o.Deployment); !known {
		return fmt.Errorf("there is no deployment %q; choose from %v", o.Deployment, scenario.Names())
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
	if err := o.distance(ctx, r); err != nil {
		return verdict.Report{}, err
	}
	c := &checker{opts: o, rig: r, run: r.NewRun(o.Seed)}
	return c.check(ctx)
}

// distance gives the connections of callers the delay that the deployment's
// callers have.
func (o *Options) distance(ctx context.Context, r *rig.Rig) error {
	delay := clock.Millisecond
	if o.Deployment == "consortium" {
		delay = 3 * clock.Millisecond
	}
	rule := faultproxy.Rule{Pattern: "caller/*", Fault: faultproxy.Fault{Delay: delay}}
	return r.CallProxy(ctx, "/faults", rule, nil)
}

// Result is the last line on standard output.
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
