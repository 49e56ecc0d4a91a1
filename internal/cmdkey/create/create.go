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

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO     *streams.Streams
	Client resource.ConnectFunc
	Team   string
	Class  string
	Change change.Options
	Format output.Format
}

// NewCmdCreate creates the banyanshift key create command. If runF is not nil,
// it is called with the parsed options instead of running the command.
func NewCmdCreate(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Client: f.Client}
	cmd := &cobra.Command{
		Use:   "create --team <name>",
		Short: "Create a key for the callers of a team",
		Long:  "Create a key for the callers of a team. The secret is printed once; only a hash\nof it is stored.",
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
	cmd.Flags().StringVar(&opts.Team, "team", "", "team that the key belongs to")
	cmd.Flags().StringVar(&opts.Class, "class", "", "default class of requests that name no class")
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
	if err := printKey(opts, response); err != nil {
		return err
	}
	return change.ReportUnconfirmed(opts.IO, response.GetChange())
}

func printKey(opts *Options, response *operatorv1.CreateKeyResponse) error {
	if opts.Format.JSON {
		return output.View(opts.IO, &opts.Format, response)
	}
	row := []string{response.GetKey().GetID(), response.GetKey().GetTeam(), response.GetSecret()}
	if err := output.Table(opts.IO, []string{"ID", "Team", "Secret"}, [][]string{row}); err != nil {
		return err
	}
	_, err := fmt.Fprintln(opts.IO.ErrOut, "Save the secret now: it is not stored and cannot be shown again.")
	return err
}
