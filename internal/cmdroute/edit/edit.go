// Package edit implements the command "banyanshift route edit".
//
// # Usage
//
//	cmd := edit.NewCmdEdit(f, nil)
package edit

import (
	"context"
	"slices"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"github.com/banyanshift/banyanshift/internal/cli/change"
	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/field"
	"github.com/banyanshift/banyanshift/internal/cli/resource"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	"github.com/banyanshift/banyanshift/internal/cmdroute/shared"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO          *streams.Streams
	Client      resource.ConnectFunc
	Name        string
	Change      change.Options
	Flags       *field.Flags
	AddTeams    []string
	RemoveTeams []string
}

// NewCmdEdit creates the banyanshift route edit command. If runF is not nil, it
// is called with the parsed options instead of running the command.
func NewCmdEdit(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Client: f.Client}
	cmd := &cobra.Command{
		Use:   "edit <name>",
		Short: "Edit fields of a route",
		Example: `  $ banyanshift route edit ledger-chat --add-team lhotse --remove-team everest
  $ banyanshift route edit ledger-chat --open-to-all`,
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
	cmd.Flags().StringSliceVar(&opts.AddTeams, "add-team", nil, "allow another team to use the route; may be given several times")
	cmd.Flags().StringSliceVar(&opts.RemoveTeams, "remove-team", nil, "stop allowing a team to use the route; may be given several times")
	return cmd
}

// adjust applies the flags to the route.
func (o *Options) adjust(route *operatorv1.Route) error {
	teamsGiven := len(o.AddTeams)+len(o.RemoveTeams) > 0
	if err := o.Flags.SetGiven(route, teamsGiven); err != nil {
		return err
	}
	for _, team := range o.AddTeams {
		if !slices.Contains(route.Teams, team) {
			route.Teams = append(route.Teams, team)
		}
	}
	route.Teams = slices.DeleteFunc(route.Teams, func(team string) bool {
		return slices.Contains(o.RemoveTeams, team)
	})
	return nil
}

func editRun(ctx context.Context, opts *Options) error {
	adjust := func(message proto.Message) error {
		return opts.adjust(message.(*operatorv1.Route))
	}
	return shared.Resource.Edit(ctx, opts.IO, opts.Client, &opts.Change, opts.Name, adjust)
}
