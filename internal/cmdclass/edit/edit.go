// Package edit implements the command "banyanshift class edit".
//
// # Usage
//
//	cmd := edit.NewCmdEdit(f, nil)
package edit

import (
	"context"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"github.com/banyanshift/banyanshift/internal/cli/change"
	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/field"
	"github.com/banyanshift/banyanshift/internal/cli/resource"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	"github.com/banyanshift/banyanshift/internal/cmdclass/shared"
)

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO     *streams.Streams
	Client resource.ConnectFunc
	Name   string
	Change change.Options
	Flags  *field.Flags
}

// NewCmdEdit creates the banyanshift class edit command. If runF is not nil, it
// is called with the parsed options instead of running the command.
func NewCmdEdit(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Client: f.Client}
	cmd := &cobra.Command{
		Use:   "edit <name>",
		Short: "Edit fields of a class",
		Example: `  $ banyanshift class edit quick-question --guaranteed-share 0.1
  $ banyanshift class edit quick-question --refuse-early=false`,
		Args: exit.ExactArgs("name"),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Name = args[0]
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return editRun(cmd.Context(), opts)
		},
	}
	opts.Change.AddFlags(cmd)
	opts.Change.AddRevisionFlag(cmd)
	opts.Flags = field.AddForEdit(cmd.Flags(), shared.Resource.New(), shared.Resource.Flags)
	return cmd
}

func editRun(ctx context.Context, opts *Options) error {
	adjust := func(message proto.Message) error {
		return opts.Flags.SetGiven(message, false)
	}
	return shared.Resource.Edit(ctx, opts.IO, opts.Client, &opts.Change, opts.Name, adjust)
}
