// Package export implements the command "banyanshift config export".
//
// # Usage
//
//	cmd := export.NewCmdExport(f, nil)
package export

import (
	"context"
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/manifest"
	"github.com/banyanshift/banyanshift/internal/cli/output"
	"github.com/banyanshift/banyanshift/internal/cli/resource"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO     *streams.Streams
	Client resource.ConnectFunc
	Keys   bool
	Format output.Format
}

// NewCmdExport creates the banyanshift config export command. If runF is not
// nil, it is called with the parsed options instead of running the command.
func NewCmdExport(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Client: f.Client}
	cmd := &cobra.Command{
		Use:   "export",
		Short: "Print the configuration as a file for apply",
		Long: `Print the current configuration as a file that "banyanshift apply" accepts.

Keys are printed with the hashes of their secrets, so that a restored
configuration admits the same callers. A hash cannot be used to authenticate.`,
		Example: `  $ banyanshift config export > fleet.ini
  $ banyanshift config export --keys=false`,
		Args: exit.ExactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return exportRun(cmd.Context(), opts)
		},
	}
	cmd.Flags().BoolVar(&opts.Keys, "keys", true, "include the keys")
	opts.Format.AddFlag(cmd, &operatorv1.ExportResponse{})
	return cmd
}

func exportRun(ctx context.Context, opts *Options) (err error) {
	c, err := opts.Client()
	if err != nil {
		return err
	}
	defer resource.CloseClient(c, &err)
	response, err := c.Config.Export(ctx, &operatorv1.ExportRequest{})
	if err != nil {
		return err
	}
	if !opts.Keys {
		response.Entities = slices.DeleteFunc(response.Entities, func(entity *operatorv1.Entity) bool {
			return entity.GetKey() != nil
		})
	}
	if opts.Format.JSON {
		return output.View(opts.IO, &opts.Format, response)
	}
	_, err = fmt.Fprintf(opts.IO.Out, "# Configuration after change %d.\n\n%s", response.GetSequence(), manifest.Write(response.GetEntities()))
	return err
}
