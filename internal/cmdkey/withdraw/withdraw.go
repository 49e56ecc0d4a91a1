// Package withdraw implements the command "banyanshift key withdraw".
//
// # Usage
//
//	cmd := withdraw.NewCmdWithdraw(f, nil)
package withdraw

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/cli/change"
	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/resource"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO     *streams.Streams
	Client resource.ConnectFunc
	ID     string
	Change change.Options
}

// NewCmdWithdraw creates the banyanshift key withdraw command. If runF is not
// nil, it is called with the parsed options instead of running the command.
func NewCmdWithdraw(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Client: f.Client}
	cmd := &cobra.Command{
		Use:   "withdraw <id>",
		Short: "Withdraw a key permanently",
		Long: `Withdraw a key permanently, so that requests with it are refused. Open streams that
use the key end with an error; running calls that must not be retried finish normally.

While the store is down, the daemons that can be reached refuse the key and the
command exits with code 6. The withdrawal is written when the store is back.`,
		Example: `  $ banyanshift key withdraw 5f0c9a1be2d34c77`,
		Args:    exit.ExactArgs("id"),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.ID = args[0]
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return withdrawRun(cmd.Context(), opts)
		},
	}
	opts.Change.AddFlags(cmd)
	opts.Change.AddRevisionFlag(cmd)
	return cmd
}

func withdrawRun(ctx context.Context, opts *Options) (err error) {
	c, err := opts.Client()
	if err != nil {
		return err
	}
	defer resource.CloseClient(c, &err)
	response, err := c.Keys.Withdraw(ctx, &operatorv1.WithdrawKeyRequest{
		RequestID:        opts.Change.EnsureRequestID(),
		ExpectedRevision: opts.Change.ExpectedRevision,
		ID:               opts.ID,
	})
	return opts.Change.Report(opts.IO, "Withdrawn", response, err)
}
