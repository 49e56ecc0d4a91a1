// Package list implements the command "banyanshift key list".
//
// # Usage
//
//	cmd := list.NewCmdList(f, nil)
package list

import (
	"context"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/output"
	"github.com/banyanshift/banyanshift/internal/cli/resource"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO     *streams.Streams
	Client resource.ConnectFunc
	Team   string
	All    bool
	Format output.Format
}

// NewCmdList creates the banyanshift key list command. If runF is not nil, it
// is called with the parsed options instead of running the command.
func NewCmdList(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Client: f.Client}
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the keys",
		Long:  "List the keys. Secrets are not stored and are never shown.",
		Example: `  $ banyanshift key list --team everest
  $ banyanshift key list --all`,
		Args: exit.ExactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return listRun(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVar(&opts.Team, "team", "", "show only the keys of this team")
	cmd.Flags().BoolVar(&opts.All, "all", false, "include withdrawn keys")
	opts.Format.AddFlag(cmd, &operatorv1.Key{})
	return cmd
}

func listRun(ctx context.Context, opts *Options) (err error) {
	c, err := opts.Client()
	if err != nil {
		return err
	}
	defer resource.CloseClient(c, &err)
	response, err := c.Keys.List(ctx, &operatorv1.ListKeysRequest{Team: opts.Team})
	if err != nil {
		return err
	}
	var messages []proto.Message
	for _, key := range response.GetKeys() {
		if opts.All || !key.GetWithdrawn() {
			messages = append(messages, key)
		}
	}
	return output.List(opts.IO, &opts.Format, messages, []string{"ID", "Team", "Class", "Withdrawn", "WithdrawalPending", "Revision"})
}
