// Package check implements the command "banyanshift config check".
//
// # Usage
//
//	cmd := check.NewCmdCheck(f, nil)
package check

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
	IO    *streams.Streams
	Path  string
	Ports bool
}

// NewCmdCheck creates the banyanshift config check command. If runF is not nil,
// it is called with the parsed options instead of running the command.
func NewCmdCheck(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{IO: f.IO}
	cmd := &cobra.Command{
		Use:   "check <file>",
		Short: "Check the settings file of a daemon",
		Long:  "Check the settings file of a daemon, including the certificates that it names.\nEvery problem is listed with its line number and the expected value.",
		Example: `  $ banyanshift config check /etc/banyanshift.ini
  $ banyanshift config check --ports /etc/banyanshift.ini`,
		Args: exit.ExactArgs("file"),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.Path = args[0]
			if runF != nil {
				return runF(opts)
			}
			return checkRun(opts)
		},
	}
	cmd.Flags().BoolVar(&opts.Ports, "ports", false, "also check that the listen addresses are free")
	return cmd
}

func checkRun(opts *Options) error {
	load := ini.Load
	if opts.Ports {
		load = ini.LoadAndCheckAddresses
	}
	if _, err := load(opts.Path); err != nil {
		return exit.Usagef("%v", err)
	}
	_, err := fmt.Fprintf(opts.IO.Out, "%s is in order\n", opts.Path)
	return err
}
