// Package engine implements the command banyanbench engine, which runs stand-ins
// for model engines.
//
// # Usage
//
//	banyanbench engine --platform http://127.0.0.1:8000 --domains sask-central-1
package engine

import (
	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/factory"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/standin/engine"
	"github.com/banyanshift/banyanshift/internal/standin/host"
)

// Options holds the flags of the command.
type Options struct {
	Factory *factory.Factory
	Host    host.Config
	Config  engine.Config
}

// NewCmdEngine returns the command. runF replaces its action in tests.
func NewCmdEngine(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f, Config: engine.Defaults()}
	opts.Host = host.Config{Type: entity.Model, Clock: clock.System()}
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run stand-ins for model engines",
		Long: `Run a process that starts and stops engine endpoints on request of the
platform stand-in. Each endpoint listens on its own port. The first line on
standard output is a JSON object with the URL of the control interface.`,
		Example: "  $ banyanbench engine --platform http://127.0.0.1:8000 --region sask-central --domains sask-central-1,sask-central-2",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(opts)
			}
			return engineRun(opts)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&opts.Host.ID, "id", "engines", "Name of the host")
	flags.StringVar(&opts.Host.Listen, "listen", "127.0.0.1:0", "Listen for control calls at `host:port`")
	flags.StringVar(&opts.Host.PlatformURL, "platform", "", "Base `URL` of the platform stand-in")
	flags.StringVar(&opts.Host.ProxyURL, "proxy", "", "Base `URL` of the fault proxy to reach endpoints through")
	flags.StringVar(&opts.Host.Region, "region", "", "Region of the endpoints")
	flags.StringSliceVar(&opts.Host.FailureDomains, "domains", nil, "Failure domains in which to run endpoints")
	flags.Uint64Var(&opts.Config.Seed, "seed", opts.Config.Seed, "Seed of the faults")
	flags.Int64Var(&opts.Config.StepMicros, "step-us", opts.Config.StepMicros, "Microseconds of a batch step")
	flags.Int64Var(&opts.Config.StepMicrosPerRequest, "step-request-us", opts.Config.StepMicrosPerRequest, "Microseconds that each request adds to a step")
	flags.Int64Var(&opts.Config.PrefillMicrosPerToken, "prefill-us", opts.Config.PrefillMicrosPerToken, "Microseconds to read one uncached prompt token")
	flags.IntVar(&opts.Config.KVTokens, "kv-tokens", opts.Config.KVTokens, "Tokens that the KV cache and the prefix cache hold")
	flags.Int64Var((*int64)(&opts.Config.LoadLag), "load-lag-ms", int64(opts.Config.LoadLag), "Milliseconds that load reports lag")
	flags.Int64Var((*int64)(&opts.Config.CacheEventLag), "event-lag-ms", int64(opts.Config.CacheEventLag), "Milliseconds that cache events lag")
	flags.Float64Var(&opts.Config.CacheEventLossShare, "event-gap", opts.Config.CacheEventLossShare, "Share of cache events that are lost")
	flags.Int64Var(&opts.Config.WeightBytes, "weight-bytes", opts.Config.WeightBytes, "Size of a model in the weight store")
	return cmd
}

func engineRun(opts *Options) error {
	opts.Host.NewEndpoint = func(spec host.Spec) *host.Endpoint {
		return engine.New(opts.Config, spec, opts.Host.Clock)
	}
	opts.Config.PlatformURL = opts.Host.PlatformURL
	h := host.New(opts.Host)
	if err := h.Start(); err != nil {
		return err
	}
	defer h.Close()
	if err := opts.Factory.AnnounceURL(h.URL()); err != nil {
		return err
	}
	<-opts.Factory.StopContext().Done()
	return nil
}
