// Package platform implements the command banyanbench platform, which runs the
// platform stand-in.
//
// # Usage
//
//	banyanbench platform --listen 127.0.0.1:8000
package platform

import (
	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/factory"
	"github.com/banyanshift/banyanshift/internal/standin/platform"
)

// Options holds the flags of the command.
type Options struct {
	Factory *factory.Factory
	Listen  string
	Config  platform.Config
}

// NewCmdPlatform returns the command. runF replaces its action in tests.
func NewCmdPlatform(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f, Config: platform.Defaults()}
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the platform's services",
		Long: `Run the table service, object store, VM list, endpoint orders, usage
reports and weight store in one process. The first line on standard output
is a JSON object with their URL. POST /control/fault sets a fault of a service.`,
		Example: "  $ banyanbench platform --listen 127.0.0.1:8000",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(opts)
			}
			return platformRun(opts)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&opts.Listen, "listen", "127.0.0.1:0", "Listen at `host:port`")
	flags.Uint64Var(&opts.Config.Seed, "seed", opts.Config.Seed, "Seed of the faults")
	flags.Float64Var(&opts.Config.WritesPerSecond, "writes", opts.Config.WritesPerSecond, "Limit of table transactions a second")
	flags.Float64Var(&opts.Config.ReadsPerSecond, "reads", opts.Config.ReadsPerSecond, "Limit of table reads a second")
	flags.Float64Var(&opts.Config.WeightBytesPerSecond, "weight-rate", opts.Config.WeightBytesPerSecond, "Bytes a second that the weight store gives")
	flags.IntVar(&opts.Config.Slots, "slots", opts.Config.Slots, "Requests that an endpoint runs at the same time")
	flags.BoolVar(&opts.Config.ChecksFence, "check-fence", opts.Config.ChecksFence, "Refuse orders with an old fence")
	flags.StringSliceVar(&opts.Config.BackendsIgnoringFence, "ignore-fence", nil, "Back ends whose engines do not check fences")
	flags.Int64Var((*int64)(&opts.Config.StopGrace), "stop-grace-ms", int64(opts.Config.StopGrace), "Milliseconds that a stopped endpoint may finish its work")
	return cmd
}

func platformRun(opts *Options) error {
	p := platform.New(opts.Config, clock.System())
	if err := p.Start(opts.Listen); err != nil {
		return err
	}
	defer p.Close()
	if err := opts.Factory.AnnounceURL(p.URL()); err != nil {
		return err
	}
	<-opts.Factory.StopContext().Done()
	return nil
}
