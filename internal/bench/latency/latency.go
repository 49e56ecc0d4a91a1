// Package latency implements the latency command, which measures the latency
// that the router adds. In one run it sends the same streams directly to the
// engines and through one daemon, and compares the times to first token and
// between tokens. A second part saturates one daemon and reports its requests
// and tokens per second, and the processor time and allocations of each.
//
// # Usage
//
//	banyanbench latency --streams 64 --duration 8s --json
package latency

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/factory"
	"github.com/banyanshift/banyanshift/internal/bench/probe"
	"github.com/banyanshift/banyanshift/internal/bench/rig"
	"github.com/banyanshift/banyanshift/internal/bench/scenario"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/standin/load"
)

const (
	region    = "loop"
	domain    = "loop-1"
	team      = "bench"
	modelName = "bench-model"
	// engineCount is the number of engine endpoints.
	engineCount = 4
	// slotsPerEngine is the number of requests that an engine runs concurrently.
	slotsPerEngine = 64
	// tokensPerAnswer is the length of each answer.
	tokensPerAnswer = 60
	// pacedStreams concurrent streams, with engine steps of pacedStepMicros,
	// produce the token rate of one daemon at the planned size. Steps are short
	// because a request that arrives slightly later waits for the next step.
	pacedStreams    = 12
	pacedStepMicros = "1000"
)

// Options holds the flags of the command.
type Options struct {
	Factory *factory.Factory
	// Streams is the number of concurrent streams that saturate the daemon.
	Streams  int
	Duration time.Duration
	JSON     bool
	// Profile is the file to write a CPU profile of the saturated daemon to; none
	// if empty.
	Profile string
}

// NewCmdLatency returns the command. runF replaces its action in tests.
func NewCmdLatency(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "latency",
		Short: "Measure the latency that the router adds",
		Long: `Send the same streams directly to the engine stand-ins and through one daemon,
at the token rate of the planned size, and compare the latency. Then saturate the
daemon and measure its throughput and cost.`,
		Example: `  $ banyanbench latency --streams 64 --duration 8s
  $ banyanbench latency --json`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(opts)
			}
			return latencyRun(opts)
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&opts.Streams, "streams", 64, "Concurrent streams that saturate the daemon")
	flags.DurationVar(&opts.Duration, "duration", 8*time.Second, "Length of each part")
	flags.StringVar(&opts.Profile, "profile", "", "Write a CPU profile of the saturated daemon to `file`")
	flags.BoolVar(&opts.JSON, "json", false, "Print the figures as one line of JSON")
	return cmd
}

// Result holds the measurements that the command prints.
type Result struct {
	Direct Streams
	Routed Streams
	// AddedFirstToken and AddedGap are routed minus direct, in milliseconds.
	AddedFirstToken Quantiles
	AddedGap        Quantiles
	Saturated       Saturated
}

// Saturated holds the throughput of one saturated daemon and its cost.
type Saturated struct {
	RequestsPerSecond    float64
	TokensPerSecond      float64
	Cores                float64
	MicrosPerToken       float64
	MicrosPerRequest     float64
	AllocationsPerToken  float64
	AllocationsPerAnswer float64
	BytesPerAnswer       float64
}

func latencyRun(opts *Options) (err error) {
	ctx := opts.Factory.StopContext()
	dir, err := os.MkdirTemp("", "banyanshift-latency-")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	program, err := rig.Build(ctx, dir)
	if err != nil {
		return err
	}
	var result Result
	if err := opts.measurePaced(ctx, program, dir, &result); err != nil {
		return err
	}
	if err := opts.measureSaturated(ctx, program, dir, &result); err != nil {
		return err
	}
	return opts.show(result)
}

// measurePaced compares direct and routed streams at the planned token rate.
func (o *Options) measurePaced(ctx context.Context, program, dir string, result *Result) error {
	return o.withRig(ctx, program, dir, []string{"--step-us", pacedStepMicros, "--step-request-us", "1", "--prefill-us", "1"}, func(r *rig.Rig) (err error) {
		if result.Direct, err = o.measureDirect(ctx, r, pacedStreams); err != nil {
			return err
		}
		if result.Routed, err = o.measureRouted(ctx, r, pacedStreams); err != nil {
			return err
		}
		result.AddedFirstToken = result.Routed.FirstToken.minus(result.Direct.FirstToken)
		result.AddedGap = result.Routed.Gap.minus(result.Direct.Gap)
		return nil
	})
}

// measureSaturated saturates one daemon, using fast engines.
func (o *Options) measureSaturated(ctx context.Context, program, dir string, result *Result) error {
	fast := []string{"--step-us", "500", "--step-request-us", "0", "--prefill-us", "1"}
	return o.withRig(ctx, program, dir, fast, func(r *rig.Rig) error {
		daemon := r.ActiveDaemons()[0]
		before, err := probe.Read(ctx, daemon.Process.PID(), daemon.Metrics)
		if err != nil {
			return err
		}
		profile := o.startProfile(ctx, daemon)
		streams, err := o.measureRouted(ctx, r, o.Streams)
		if err = errors.Join(err, profile.wait()); err != nil {
			return err
		}
		after, err := probe.Read(ctx, daemon.Process.PID(), daemon.Metrics)
		if err != nil {
			return err
		}
		result.Saturated = newSaturated(streams, after.Sub(before))
		return nil
	})
}

func newSaturated(streams Streams, used probe.Usage) Saturated {
	answers, generated := float64(streams.Answers), float64(streams.Tokens)
	if answers == 0 || generated == 0 {
		return Saturated{}
	}
	return Saturated{
		RequestsPerSecond:    answers / streams.Seconds,
		TokensPerSecond:      generated / streams.Seconds,
		Cores:                used.CPUSeconds / streams.Seconds,
		MicrosPerToken:       used.CPUSeconds * 1e6 / generated,
		MicrosPerRequest:     used.CPUSeconds * 1e6 / answers,
		AllocationsPerToken:  used.Allocations / generated,
		AllocationsPerAnswer: used.Allocations / answers,
		BytesPerAnswer:       used.AllocatedBytes / answers,
	}
}

// withRig starts a deployment of one daemon and engineCount engines, calls act
// and stops the deployment.
func (o *Options) withRig(ctx context.Context, program, dir string, engineFlags []string, act func(r *rig.Rig) error) (err error) {
	executable, err := o.Factory.Executable()
	if err != nil {
		return err
	}
	rigDir, err := os.MkdirTemp(dir, "rig-")
	if err != nil {
		return err
	}
	r, err := rig.Start(ctx, rig.Options{
		Banyanshift: program, Banyanbench: executable, Dir: rigDir, Scenario: deployment(), DaemonCount: 1, Seed: 1,
		LogLevel: "warning", EngineFlags: engineFlags, PlatformFlags: []string{"--slots", fmt.Sprint(slotsPerEngine)},
		Clock: o.Factory.Clock,
	})
	if err != nil {
		return err
	}
	defer r.Close()
	return act(r)
}

// deployment returns a scenario with one team, one class and one model.
func deployment() scenario.Scenario {
	return scenario.Scenario{
		Name: "latency", Region: region, FailureDomains: []string{domain},
		Teams:   []entity.Team{{Name: team, Weight: 1}},
		Classes: []entity.Class{{Name: "bench", FirstTokenTarget: 5 * clock.Second, MaxWait: clock.Minute}},
		Routes:  []entity.Route{{Name: modelName, Backend: "bench", Classes: []string{"bench"}, Teams: []string{team}}},
		Backends: []entity.Backend{{
			Name: "bench", Type: entity.Model, Model: modelName, Version: "1",
			MinEndpoints: engineCount, MaxEndpoints: engineCount, Slots: slotsPerEngine,
		}},
		Pools: []scenario.Pool{{Backend: "bench", Model: modelName, FirmPerDomain: engineCount}},
		Flows: []load.Flow{},
	}
}

func (o *Options) show(result Result) error {
	if o.JSON {
		line, err := json.Marshal(result)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(o.Factory.Out, "%s\n", line)
		return err
	}
	table := tabwriter.NewWriter(o.Factory.Out, 0, 0, 2, ' ', 0)
	row := func(name string, q Quantiles) {
		_, _ = fmt.Fprintf(table, "%s\t%.3f ms\t%.3f ms\n", name, q.P50, q.P99)
	}
	_, _ = fmt.Fprintf(table, "\tP50\tP99\n")
	row("First token, direct", result.Direct.FirstToken)
	row("First token, routed", result.Routed.FirstToken)
	row("First token, added", result.AddedFirstToken)
	row("Between tokens, direct", result.Direct.Gap)
	row("Between tokens, routed", result.Routed.Gap)
	row("Between tokens, added", result.AddedGap)
	s := result.Saturated
	_, _ = fmt.Fprintf(table, "\nOne daemon, saturated\t%.0f requests/s\t%.0f tokens/s\n", s.RequestsPerSecond, s.TokensPerSecond)
	_, _ = fmt.Fprintf(table, "Processor time\t%.2f µs a token\t%.0f µs a request of %d tokens\n", s.MicrosPerToken, s.MicrosPerRequest, tokensPerAnswer)
	_, _ = fmt.Fprintf(table, "Allocations\t%.1f a token\t%.0f a request\n", s.AllocationsPerToken, s.AllocationsPerAnswer)
	return table.Flush()
}
