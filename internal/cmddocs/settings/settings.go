// Package settings implements the command "banyanshift docs settings".
//
// # Usage
//
//	cmd := settings.NewCmdSettings(f, nil)
package settings

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	"github.com/banyanshift/banyanshift/internal/settings/gateway"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
)

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO *streams.Streams
	// Gateway selects the gateway settings instead of the daemon settings.
	Gateway bool
}

// NewCmdSettings creates the banyanshift docs settings command. If runF is not
// nil, it is called with the parsed options instead of running the command.
func NewCmdSettings(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{IO: f.IO}
	cmd := &cobra.Command{
		Use:     "settings [--gateway]",
		Short:   "Print the documentation page of the daemon settings",
		Example: `  $ banyanshift docs settings > docs/SETTINGS.md`,
		Args:    exit.ExactArgs(),
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(opts)
			}
			return settingsRun(opts)
		},
	}
	cmd.Flags().BoolVar(&opts.Gateway, "gateway", false, "print the gateway settings instead")
	return cmd
}

func settingsRun(opts *Options) error {
	page := ini.Markdown
	if opts.Gateway {
		page = gateway.Markdown
	}
	_, err := fmt.Fprint(opts.IO.Out, page())
	return err
}
