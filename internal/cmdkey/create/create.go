// Package create implements the command "banyanshift key create".
//
// # Usage
//
//	cmd := create.NewCmdCreate(f, nil)
package create

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/cli/change"
	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/output"
	"github.com/banyanshift/banyanshift/internal/cli/resource"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// Options are the inputs of the command.
type Options struct {
	IO     *streams.Streams
	Client resource.ConnectFunc
	Team   string
	Class  string
	Change change.Options
	Format output.Format
}

// NewCmdCreate returns the command. Tests pass runF in place of its execution.
func NewCmdCreate(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Client: f.Client}
	cmd := &cobra.Command{
		Use:   "create --team <name>",
		Short: "Create a key for the callers of a team",
		Long:  "Create a key for the callers of a team. Its secret is printed once and only a hash\nof it is kept.",
		Example: `  $ banyanshift key create --team everest
  $ banyanshift key create --team everest --class summary --json=Secret`,
		Args: exit.ExactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.Team == "" {
				return exit.Usagef("--team is missing")
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return createRun(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVar(&opts.Team, "team", "", "team that the key is for")
	cmd.Flags().StringVar(&opts.Class, "class", "", "class of requests that name none")
	opts.Change.AddRequestIDFlag(cmd)
	opts.Format.AddFlag(cmd, &operatorv1.CreateKeyResponse{})
	return cmd
}

func createRun(ctx context.Context, opts *Options) (err error) {
	c, err := opts.Client()
	if err != nil {
		return err
	}
	defer resource.CloseClient(c, &err)
	response, err := c.Keys.Create(ctx, &operatorv1.CreateKeyRequest{
		RequestID: opts.Change.EnsureRequestID(),
		Team:      opts.Team,
		Class:     opts.Class,
	})
	if err != nil {
		return opts.Change.AddRetryHint(err)
	}
	if err := show(opts, response); err != nil {
		return err
	}
	return change.ReportUnconfirmed(opts.IO, response.GetChange())
}

func show(opts *Options, response *operatorv1.CreateKeyResponse) error {
	if opts.Format.JSON {
		return output.View(opts.IO, &opts.Format, response)
	}
	row := []string{response.GetKey().GetID(), response.GetKey().GetTeam(), response.GetSecret()}
	if err := output.Table(opts.IO, []string{"ID", "Team", "Secret"}, [][]string{row}); err != nil {
		return err
	}
	_, err := fmt.Fprintln(opts.IO.ErrOut, "Store the secret now: it is not kept and cannot be shown again.")
	return err
}
