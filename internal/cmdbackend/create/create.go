// Package create implements the command "banyanshift backend create".
//
// # Usage
//
//	cmd := create.NewCmdCreate(f, nil)
package create

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/cli/change"
	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/field"
	"github.com/banyanshift/banyanshift/internal/cli/resource"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	"github.com/banyanshift/banyanshift/internal/cmdbackend/shared"
)

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO     *streams.Streams
	Client resource.ConnectFunc
	Name   string
	Change change.Options
	Flags  *field.Flags
}

// NewCmdCreate creates the banyanshift backend create command. If runF is not
// nil, it is called with the parsed options instead of running the command.
func NewCmdCreate(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Client: f.Client}
	cmd := &cobra.Command{
		Use:     "create <name>",
		Short:   "Create a back end",
		Example: `  $ banyanshift backend create ledger-70b --model ledger-70b --max-endpoints 9 --slots 16 --checks-fence`,
		Args:    exit.ExactArgs("name"),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Name = args[0]
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return createRun(cmd.Context(), opts)
		},
	}
	opts.Change.AddFlags(cmd)
	opts.Flags = field.Add(cmd.Flags(), shared.Resource.New(), shared.Resource.Flags)
	return cmd
}

func createRun(ctx context.Context, opts *Options) error {
	return shared.Resource.Create(ctx, opts.IO, opts.Client, &opts.Change, opts.Name, opts.Flags)
}
