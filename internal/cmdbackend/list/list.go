// Package list implements the command "banyanshift backend list".
//
// # Usage
//
//	cmd := list.NewCmdList(f, nil)
package list

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/output"
	"github.com/banyanshift/banyanshift/internal/cli/resource"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	"github.com/banyanshift/banyanshift/internal/cmdbackend/shared"
)

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO     *streams.Streams
	Client resource.ConnectFunc
	Format output.Format
}

// NewCmdList creates the banyanshift backend list command. If runF is not nil,
// it is called with the parsed options instead of running the command.
func NewCmdList(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Client: f.Client}
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the back ends",
		Example: `  $ banyanshift backend list
  $ banyanshift backend list --json=Name,Revision`,
		Args: exit.ExactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return listRun(cmd.Context(), opts)
		},
	}
	opts.Format.AddFlag(cmd, shared.Resource.New())
	return cmd
}

func listRun(ctx context.Context, opts *Options) error {
	return shared.Resource.List(ctx, opts.IO, opts.Client, &opts.Format)
}
