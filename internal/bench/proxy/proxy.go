// Package proxy implements the command banyanbench proxy, which runs the
// fault-injecting TCP proxy.
//
// # Usage
//
//	banyanbench proxy --listen 127.0.0.1:8900
package proxy

import (
	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/bench/factory"
	"github.com/banyanshift/banyanshift/internal/standin/faultproxy"
)

// Options holds the flags of the command.
type Options struct {
	Factory *factory.Factory
	Listen  string
	Seed    uint64
}

// NewCmdProxy returns the command. runF replaces its action in tests.
func NewCmdProxy(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "proxy",
		Short: "Run a TCP proxy that injects faults",
		Long: `Run a proxy that forwards TCP connections and disturbs them on request.
POST /links with {"Name":...,"Target":...} creates a link and returns its
address; POST /faults with {"Pattern":...,"Fault":{...}} sets the fault of links.`,
		Example: "  $ banyanbench proxy --listen 127.0.0.1:8900",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(opts)
			}
			return proxyRun(opts)
		},
	}
	cmd.Flags().StringVar(&opts.Listen, "listen", "127.0.0.1:0", "Listen for control calls at `host:port`")
	cmd.Flags().Uint64Var(&opts.Seed, "seed", 1, "Seed of the faults")
	return cmd
}

func proxyRun(opts *Options) error {
	p := faultproxy.New(opts.Seed, opts.Factory.Clock)
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
