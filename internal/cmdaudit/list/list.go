// Package list implements the command "banyanshift audit list".
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

// defaultLimit is the number of changes shown.
const defaultLimit = 50

// Options are the inputs of the command.
type Options struct {
	IO     *streams.Streams
	Client resource.ConnectFunc
	// After is the sequence after which to start; only read when AfterGiven.
	After      uint64
	AfterGiven bool
	Limit      int32
	Format     output.Format
}

// NewCmdList returns the command. Tests pass runF in place of its execution.
func NewCmdList(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Client: f.Client}
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List who changed what",
		Long:  "List the latest changes of the configuration, or those that follow a given one: when,\nby whom, and the entity before and after.",
		Example: `  $ banyanshift audit list --limit 10
  $ banyanshift audit list --after 0 --limit 1000 --json`,
		Args: exit.ExactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			opts.AfterGiven = cmd.Flags().Changed("after")
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return listRun(cmd.Context(), opts)
		},
	}
	cmd.Flags().Uint64Var(&opts.After, "after", 0, "show the changes that follow this one (default: the latest changes)")
	cmd.Flags().Int32Var(&opts.Limit, "limit", defaultLimit, "greatest number of changes")
	opts.Format.AddFlag(cmd, &operatorv1.AuditEntry{})
	return cmd
}

func listRun(ctx context.Context, opts *Options) (err error) {
	c, err := opts.Client()
	if err != nil {
		return err
	}
	defer resource.CloseClient(c, &err)
	response, err := c.Audit.List(ctx, &operatorv1.ListAuditRequest{
		After:  opts.After,
		Limit:  opts.Limit,
		Latest: !opts.AfterGiven,
	})
	if err != nil {
		return err
	}
	messages := make([]proto.Message, len(response.GetEntries()))
	for i, entry := range response.GetEntries() {
		messages[i] = entry
	}
	columns := []string{"Sequence", "Time", "Actor", "Action", "Kind", "Name", "RequestID", "Before", "After"}
	return output.List(opts.IO, &opts.Format, messages, columns)
}
