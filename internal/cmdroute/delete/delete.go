// Package delete implements the command "banyanshift route delete".
//
// # Usage
//
//	cmd := delete.NewCmdDelete(f, nil)
package delete

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/cli/change"
	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/resource"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	"github.com/banyanshift/banyanshift/internal/cmdroute/shared"
)

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO     *streams.Streams
	Client resource.ConnectFunc
	Name   string
	Yes    bool
	Change change.Options
}

// NewCmdDelete creates the banyanshift route delete command. If runF is not
// nil, it is called with the parsed options instead of running the command.
func NewCmdDelete(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Client: f.Client}
	cmd := &cobra.Command{
		Use:     "delete <name>",
		Short:   "Delete a route",
		Example: `  $ banyanshift route delete ledger-chat --yes`,
		Args:    exit.ExactArgs("name"),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Name = args[0]
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return deleteRun(cmd.Context(), opts)
		},
	}
	opts.Change.AddFlags(cmd)
	opts.Change.AddRevisionFlag(cmd)
	cmd.Flags().BoolVar(&opts.Yes, "yes", false, "delete without asking for confirmation")
	return cmd
}

func deleteRun(ctx context.Context, opts *Options) error {
	return shared.Resource.Delete(ctx, opts.IO, opts.Client, &opts.Change, opts.Name, opts.Yes)
}
