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
	"github.com/banyanshift/banyanshift/internal/settings/ini"
)

// Options are the inputs of the command.
type Options struct {
	IO *streams.Streams
}

// NewCmdSettings returns the command. Tests pass runF in place of its execution.
func NewCmdSettings(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{IO: f.IO}
	return &cobra.Command{
		Use:     "settings",
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
}

func settingsRun(opts *Options) error {
	_, err := fmt.Fprint(opts.IO.Out, ini.Markdown())
	return err
}
