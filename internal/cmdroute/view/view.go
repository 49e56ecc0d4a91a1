// Package view implements the command "banyanshift route view".
//
// # Usage
//
//	cmd := view.NewCmdView(f, nil)
package view

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/output"
	"github.com/banyanshift/banyanshift/internal/cli/resource"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	"github.com/banyanshift/banyanshift/internal/cmdroute/shared"
)

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO     *streams.Streams
	Client resource.ConnectFunc
	Name   string
	Format output.Format
}

// NewCmdView creates the banyanshift route view command. If runF is not nil, it
// is called with the parsed options instead of running the command.
func NewCmdView(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Client: f.Client}
	cmd := &cobra.Command{
		Use:     "view <name>",
		Short:   "Show a route",
		Example: `  $ banyanshift route view ledger-chat`,
		Args:    exit.ExactArgs("name"),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Name = args[0]
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return viewRun(cmd.Context(), opts)
		},
	}
	opts.Format.AddFlag(cmd, shared.Resource.New())
	return cmd
}

func viewRun(ctx context.Context, opts *Options) error {
	return shared.Resource.View(ctx, opts.IO, opts.Client, &opts.Format, opts.Name)
}
