// Package apply implements the commands "banyanshift apply" and "banyanshift
// config apply".
//
// # Usage
//
//	cmd := apply.NewCmdApply(f, nil)
package apply

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/cli/change"
	"github.com/banyanshift/banyanshift/internal/cli/client"
	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/manifest"
	"github.com/banyanshift/banyanshift/internal/cli/output"
	"github.com/banyanshift/banyanshift/internal/cli/resource"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// standardInput is the file name that selects standard input.
const standardInput = "-"

// maxTransactionChanges is the server's limit on the changes in one transaction.
const maxTransactionChanges = 1000

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO     *streams.Streams
	Clock  clock.Clock
	Client resource.ConnectFunc
	Path   string
	DryRun bool
	// InParts allows the changes to be split into several transactions.
	InParts bool
	Change  change.Options
	Format  output.Format
}

// NewCmdApply creates the banyanshift apply command. If runF is not nil, it is
// called with the parsed options instead of running the command.
func NewCmdApply(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Clock: f.Clock, Client: f.Client}
	cmd := &cobra.Command{
		Use:   "apply -f <file>",
		Short: "Apply a configuration file",
		Long: `Create, edit and delete the entities of a file in one transaction: either all changes
are made or none. Entities that are not in the file stay as they are. If someone else
changes one of the entities in the meantime, nothing is changed. A transaction holds
at most 1000 changes; --in-parts splits a larger file into several transactions.

The file is in INI form. Each section names the kind of an entity and its name:

  [Team everest]
  Weight = 2

  [Class quick-question]
  Tier = 0
  FirstTokenTarget = 780ms
  MaxWait = 2s

  [Backend ledger-70b]
  Type = Model
  Model = ledger-70b
  MaxEndpoints = 9
  Slots = 16

  [Route ledger-chat]
  Backend = ledger-70b
  Classes = quick-question
  Teams = everest

  [Team lhotse]
  Delete = true`,
		Example: `  $ banyanshift apply -f fleet.ini --dry-run
  $ banyanshift apply -f fleet.ini
  $ banyanshift config export | banyanshift apply -f -`,
		Args: exit.ExactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.Path == "" {
				return exit.Usagef("--file is missing")
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return applyRun(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVarP(&opts.Path, "file", "f", "", "file to apply, - for standard input")
	cmd.Flags().BoolVar(&opts.DryRun, "dry-run", false, "show the differences without changing anything")
	cmd.Flags().BoolVar(&opts.InParts, "in-parts", false, "split a large file into several transactions that succeed or fail independently")
	opts.Change.AddRequestIDFlag(cmd)
	opts.Format.AddFlag(cmd, &operatorv1.ApplyResponse{})
	return cmd
}

func applyRun(ctx context.Context, opts *Options) (err error) {
	items, err := readItems(opts)
	if err != nil {
		return err
	}
	c, err := opts.Client()
	if err != nil {
		return err
	}
	defer resource.CloseClient(c, &err)
	changes, err := changesFor(ctx, c, items)
	if err != nil {
		return err
	}
	switch {
	case len(changes) == 0:
		return printDifferences(opts, &operatorv1.ApplyResponse{})
	case opts.DryRun || len(changes) <= maxTransactionChanges:
		return applyTransaction(ctx, opts, c, opts.Change.EnsureRequestID(), changes)
	case !opts.InParts:
		return exit.Usagef("%d changes exceed the limit of %d per transaction; use --in-parts to split them", len(changes), maxTransactionChanges)
	}
	return applyParts(ctx, opts, c, changes)
}

func applyTransaction(ctx context.Context, opts *Options, c *client.Client, requestID string, changes []*operatorv1.EntityChange) error {
	response, err := c.Config.Apply(ctx, &operatorv1.ApplyRequest{
		RequestID: requestID,
		Changes:   changes,
		DryRun:    opts.DryRun,
	})
	if err != nil {
		return opts.Change.AddRetryHint(err)
	}
	if err := printDifferences(opts, response); err != nil {
		return err
	}
	return change.ReportUnconfirmed(opts.IO, response.GetChange())
}

func readItems(opts *Options) ([]manifest.Item, error) {
	data, err := readFile(opts)
	if err != nil {
		return nil, exit.Usagef("failed to read the file: %v", err)
	}
	items, err := manifest.Read(opts.Path, data)
	if err != nil {
		return nil, exit.Usagef("%v", err)
	}
	return items, nil
}

func readFile(opts *Options) ([]byte, error) {
	if opts.Path == standardInput {
		return io.ReadAll(opts.IO.In)
	}
	return os.ReadFile(opts.Path)
}

// changesFor returns the changes that bring the configuration in line with the
// items. Each change expects the revision that was read.
func changesFor(ctx context.Context, c *client.Client, items []manifest.Item) ([]*operatorv1.EntityChange, error) {
	exported, err := c.Config.Export(ctx, &operatorv1.ExportRequest{})
	if err != nil {
		return nil, err
	}
	current := make(map[string]proto.Message, len(exported.GetEntities()))
	for _, entity := range exported.GetEntities() {
		kind, name, message := manifest.Unwrap(entity)
		current[kind+" "+name] = message
	}
	var changes []*operatorv1.EntityChange
	for _, item := range items {
		if entityChange := changeFor(item, current[item.Kind+" "+item.Name]); entityChange != nil {
			changes = append(changes, entityChange)
		}
	}
	return changes, nil
}

// changeFor returns the change for one item, or nil if the current configuration
// already matches the item.
func changeFor(item manifest.Item, current proto.Message) *operatorv1.EntityChange {
	if current == nil {
		if item.Delete {
			return nil
		}
		return &operatorv1.EntityChange{Entity: item.Entity}
	}
	expected := resource.Revision(current)
	if !item.Delete && equalExceptRevision(item.Entity, current) {
		return nil
	}
	return &operatorv1.EntityChange{ExpectedRevision: expected, Entity: item.Entity, Delete: item.Delete}
}

// equalExceptRevision compares all fields except the revision.
func equalExceptRevision(desired *operatorv1.Entity, current proto.Message) bool {
	_, _, message := manifest.Unwrap(desired)
	copied := proto.Clone(current)
	fields := copied.ProtoReflect().Descriptor().Fields()
	copied.ProtoReflect().Clear(fields.ByName("Revision"))
	return proto.Equal(message, copied)
}

func printDifferences(opts *Options, response *operatorv1.ApplyResponse) error {
	if opts.Format.JSON {
		return output.View(opts.IO, &opts.Format, response)
	}
	if len(response.GetDifferences()) == 0 {
		_, err := fmt.Fprintln(opts.IO.ErrOut, "Nothing to change.")
		return err
	}
	rows := make([][]string, len(response.GetDifferences()))
	for i, d := range response.GetDifferences() {
		rows[i] = []string{d.GetAction(), d.GetKind(), d.GetName(), d.GetField(), d.GetBefore(), d.GetAfter()}
	}
	return output.Table(opts.IO, []string{"Action", "Kind", "Name", "Field", "Before", "After"}, rows)
}
