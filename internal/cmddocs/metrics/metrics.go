// Package metrics implements the command "banyanshift docs metrics".
//
// # Usage
//
//	cmd := metrics.NewCmdMetrics(f, nil)
package metrics

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/streams"

	// The page is that of both daemons.
	_ "github.com/banyanshift/banyanshift/internal/daemon/gateway"
	"github.com/banyanshift/banyanshift/internal/observe/catalogue"
)

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO *streams.Streams
}

// NewCmdMetrics creates the banyanshift docs metrics command. If runF is not
// nil, it is called with the parsed options instead of running the command.
func NewCmdMetrics(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{IO: f.IO}
	return &cobra.Command{
		Use:     "metrics",
		Short:   "Print the documentation page of the daemon metrics",
		Example: `  $ banyanshift docs metrics > docs/METRICS.md`,
		Args:    exit.ExactArgs(),
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(opts)
			}
			return metricsRun(opts)
		},
	}
}

func metricsRun(opts *Options) error {
	_, err := fmt.Fprint(opts.IO.Out, catalogue.Metrics())
	return err
}
