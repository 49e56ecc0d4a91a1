// Package example implements the command "banyanshift config example".
//
// # Usage
//
//	cmd := example.NewCmdExample(f, nil)
package example

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
)

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO *streams.Streams
}

// NewCmdExample creates the banyanshift config example command. If runF is not
// nil, it is called with the parsed options instead of running the command.
func NewCmdExample(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{IO: f.IO}
	return &cobra.Command{
		Use:     "example",
		Short:   "Print a commented settings file",
		Example: `  $ banyanshift config example > banyanshift.ini`,
		Args:    exit.ExactArgs(),
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(opts)
			}
			return exampleRun(opts)
		},
	}
}

func exampleRun(opts *Options) error {
	_, err := fmt.Fprint(opts.IO.Out, ini.Example())
	return err
}
