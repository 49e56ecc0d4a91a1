// Package list implements the command "banyanshift usage list".
//
// # Usage
//
//	cmd := list.NewCmdList(f, nil)
package list

import (
	"context"
	"strconv"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/field"
	"github.com/banyanshift/banyanshift/internal/cli/output"
	"github.com/banyanshift/banyanshift/internal/cli/resource"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// flags lists the command's flags and the request fields that they set.
var flags = []field.Flag{
	{Name: "team", Field: "Team", Usage: "show the usage of one team"},
	{Name: "class", Field: "Class", Usage: "show the usage of one class"},
	{Name: "backend", Field: "Backend", Usage: "show the usage of one back end"},
	{Name: "since", Field: "Since", Usage: "show windows that start at this time or later"},
	{Name: "until", Field: "Until", Usage: "show windows that start before this time"},
	{Name: "limit", Field: "Limit", Default: "20", Usage: "maximum number of windows, latest first"},
}

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO     *streams.Streams
	Client resource.ConnectFunc
	Flags  *field.Flags
	Format output.Format
}

// NewCmdList creates the banyanshift usage list command. If runF is not nil, it
// is called with the parsed options instead of running the command.
func NewCmdList(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Client: f.Client}
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the sealed usage windows",
		Long:  "List the usage windows that have been sealed for billing, one line for each team,\nclass and back end.",
		Example: `  $ banyanshift usage list --team everest
  $ banyanshift usage list --since 2026-12-01T00:00:00Z --json`,
		Args: exit.ExactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return listRun(cmd.Context(), opts)
		},
	}
	opts.Flags = field.Add(cmd.Flags(), &operatorv1.ListUsageRequest{}, flags)
	opts.Format.AddFlag(cmd, &operatorv1.UsageWindow{})
	return cmd
}

func listRun(ctx context.Context, opts *Options) (err error) {
	req := &operatorv1.ListUsageRequest{}
	if err := opts.Flags.SetAll(req); err != nil {
		return err
	}
	c, err := opts.Client()
	if err != nil {
		return err
	}
	defer resource.CloseClient(c, &err)
	response, err := c.Usage.List(ctx, req)
	if err != nil {
		return err
	}
	if opts.Format.JSON {
		messages := make([]proto.Message, len(response.GetWindows()))
		for i, window := range response.GetWindows() {
			messages[i] = window
		}
		return output.List(opts.IO, &opts.Format, messages, nil)
	}
	columns := []string{"Scope", "Number", "Start", "End", "Reported", "Team", "Class", "Backend", "Requests", "PromptTokens", "OutputTokens"}
	return output.Table(opts.IO, columns, rows(response.GetWindows()))
}

// rows returns one row per usage line of every window.
func rows(windows []*operatorv1.UsageWindow) [][]string {
	var all [][]string
	for _, window := range windows {
		for _, line := range window.GetLines() {
			all = append(all, []string{
				window.GetScope(),
				strconv.FormatUint(window.GetNumber(), 10),
				field.Text(window, "Start"),
				field.Text(window, "End"),
				field.Text(window, "Reported"),
				line.GetTeam(),
				line.GetClass(),
				line.GetBackend(),
				field.Text(line, "Requests"),
				field.Text(line, "PromptTokens"),
				field.Text(line, "OutputTokens"),
			})
		}
	}
	return all
}
