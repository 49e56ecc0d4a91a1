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

// Options are the inputs of the command.
type Options struct {
	IO *streams.Streams
	// Gateway asks for the settings of a gateway.
	Gateway bool
}

// NewCmdSettings returns the command. Tests pass runF in place of its execution.
func NewCmdSettings(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{IO: f.IO}
	cmd := &cobra.Command{
		Use:     "settings [--gateway]",
		Short:   "Print the page on the settings of a daemon",
		Example: `  $ banyanshift docs settings > docs/SETTINGS.md`,
		Args:    exit.ExactArgs(),
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(opts)
			}
			return settingsRun(opts)
		},
	}
	cmd.Flags().BoolVar(&opts.Gateway, "gateway", false, "the settings of a gateway")
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
