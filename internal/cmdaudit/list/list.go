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

// defaultLimit is the default maximum number of changes shown.
const defaultLimit = 50

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO     *streams.Streams
	Client resource.ConnectFunc
	// After is the sequence number after which to start. It is used only if
	// AfterGiven is set.
	After      uint64
	AfterGiven bool
	Limit      int32
	Format     output.Format
}

// NewCmdList creates the banyanshift audit list command. If runF is not nil, it
// is called with the parsed options instead of running the command.
func NewCmdList(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Client: f.Client}
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List configuration changes",
		Long:  "List the latest configuration changes, or those after a given sequence number. Each\nrow shows the time, the operator, and the entity before and after the change.",
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
	cmd.Flags().Uint64Var(&opts.After, "after", 0, "show changes after this sequence number (default: the latest changes)")
	cmd.Flags().Int32Var(&opts.Limit, "limit", defaultLimit, "maximum number of changes")
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
