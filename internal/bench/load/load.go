// Package load implements the command banyanbench load, which sends a
// deployment's calls to running daemons and checks every response.
//
// # Usage
//
//	banyanbench load --deployment halvorsen --daemons http://127.0.0.1:8080 --keys keys.json
package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/factory"
	"github.com/banyanshift/banyanshift/internal/bench/scenario"
	"github.com/banyanshift/banyanshift/internal/bench/verdict"
	"github.com/banyanshift/banyanshift/internal/standin/load"
)

// Options holds the flags of the command.
type Options struct {
	Factory    *factory.Factory
	Deployment string
	Daemons    []string
	KeysFile   string
	Duration   time.Duration
	Rate       float64
	Seed       uint64
	JSON       bool
}

// NewCmdLoad returns the command. runF replaces its action in tests.
func NewCmdLoad(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send a deployment's calls and check every response",
		Long: `Send the calls of a deployment's teams to running daemons and check every
response. The daemons must route to the stand-ins for engines and services,
whose responses are known in advance.

The keys file is one JSON object that maps the name of each team to a list of
keys with ID and Secret.`,
		Example: "  $ banyanbench load --deployment halvorsen --daemons http://127.0.0.1:8080 --keys keys.json --duration 30s",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if len(opts.Daemons) == 0 || opts.KeysFile == "" {
				return errors.New("--daemons and --keys are required")
			}
			if runF != nil {
				return runF(opts)
			}
			return loadRun(opts)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&opts.Deployment, "deployment", "halvorsen", "Deployment whose calls to send")
	flags.StringSliceVar(&opts.Daemons, "daemons", nil, "Base `URLs` of the daemons")
	flags.StringVar(&opts.KeysFile, "keys", "", "`File` of the teams' keys")
	flags.DurationVar(&opts.Duration, "duration", 10*time.Second, "Send calls for this long")
	flags.Float64Var(&opts.Rate, "rate", 1, "Multiply the rate of all calls")
	flags.Uint64Var(&opts.Seed, "seed", 1, "Seed of the calls")
	flags.BoolVar(&opts.JSON, "json", false, "Print the figures as one line of JSON")
	return cmd
}

const (
	drainTimeout = 30 * clock.Second
	maxInFlight  = 2000
	retryDelay   = 200 * clock.Millisecond
)

func loadRun(opts *Options) error {
	chosen, found := scenario.ByName(opts.Deployment)
	if !found {
		return fmt.Errorf("there is no deployment %q; choose from %v", opts.Deployment, scenario.Names())
	}
	keys, err := readKeys(opts.KeysFile)
	if err != nil {
		return err
	}
	for i := range chosen.Flows {
		chosen.Flows[i].PerSecond *= opts.Rate
	}
	clk := opts.Factory.Clock
	balancer := load.NewBalancer("/readyz", clk)
	for _, url := range opts.Daemons {
		balancer.Put(url, url)
	}
	ctx, cancel := context.WithTimeout(opts.Factory.StopContext(), opts.Duration)
	defer cancel()
	go balancer.Run(ctx)
	l := load.New(load.Config{
		Seed: opts.Seed, Flows: chosen.Flows, Keys: keys, Balancer: balancer,
		DrainTimeout: drainTimeout, MaxInFlight: maxInFlight, RetryDelay: retryDelay,
	}, clk)
	in := verdict.Input{Scenario: chosen, Started: clk.Wall()}
	l.Run(ctx)
	in.Ended, in.Calls = clk.Wall(), l.Calls()
	return opts.printReport(verdict.EvaluateCalls(in))
}

// readKeys reads the keys of all teams from a JSON file.
func readKeys(path string) (ring *load.Keyring, err error) {
	defer func() { err = oops.Wrapf(err, "read keys") }()
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var teams map[string][]load.Key
	if err := json.Unmarshal(data, &teams); err != nil {
		return nil, err
	}
	ring = load.NewKeyring()
	for team, keys := range teams {
		for _, key := range keys {
			ring.Add(team, key)
		}
	}
	return ring, nil
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
