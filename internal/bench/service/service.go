// Package service implements the command banyanbench service, which runs
// stand-ins for plain services.
//
// # Usage
//
//	banyanbench service --platform http://127.0.0.1:8000 --domains sask-central-1
package service

import (
	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/factory"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/standin/host"
	"github.com/banyanshift/banyanshift/internal/standin/service"
)

// Options holds the flags of the command.
type Options struct {
	Factory *factory.Factory
	Host    host.Config
	Config  service.Config
}

// NewCmdService returns the command. runF replaces its action in tests.
func NewCmdService(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f, Config: service.Defaults()}
	opts.Host = host.Config{Type: entity.Service, Clock: clock.System()}
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run stand-ins for plain services",
		Long: `Run a process that starts and stops service endpoints on request of the
platform stand-in. Each endpoint listens on its own port. The first line on
standard output is a JSON object with the URL of the control interface.`,
		Example: "  $ banyanbench service --platform http://127.0.0.1:8000 --region sask-central --domains sask-central-1,sask-central-2",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(opts)
			}
			return serviceRun(opts)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&opts.Host.ID, "id", "services", "Name of the host")
	flags.StringVar(&opts.Host.Listen, "listen", "127.0.0.1:0", "Listen for control calls at `host:port`")
	flags.StringVar(&opts.Host.PlatformURL, "platform", "", "Base `URL` of the platform stand-in")
	flags.StringVar(&opts.Host.ProxyURL, "proxy", "", "Base `URL` of the fault proxy to reach endpoints through")
	flags.StringVar(&opts.Host.Region, "region", "", "Region of the endpoints")
	flags.StringSliceVar(&opts.Host.FailureDomains, "domains", nil, "Failure domains in which to run endpoints")
	flags.Uint64Var(&opts.Config.Seed, "seed", opts.Config.Seed, "Seed of the faults")
	flags.Int64Var((*int64)(&opts.Config.DefaultCallTime), "time-ms", int64(opts.Config.DefaultCallTime), "Milliseconds that a call takes")
	return cmd
}

func serviceRun(opts *Options) error {
	opts.Host.NewEndpoint = func(spec host.Spec) *host.Endpoint {
		return service.New(opts.Config, spec, opts.Host.Clock)
	}
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
