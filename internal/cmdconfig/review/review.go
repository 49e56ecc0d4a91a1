// Package review implements the command "banyanshift config review".
//
// # Usage
//
//	cmd := review.NewCmdReview(f, nil)
package review

import (
	"fmt"
	"os"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/config/review"
)

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO *streams.Streams
	// Decode reads a configuration document in the platform's format.
	Decode  func(raw []byte) (*document.Index, error)
	Path    string
	InForce string
}

// NewCmdReview creates the banyanshift config review command. If runF is not nil, it is called
// with the parsed options instead of running the command.
func NewCmdReview(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Decode: f.DecodeDocument}
	cmd := &cobra.Command{
		Use:   "review <file>",
		Short: "Check a gateway's configuration document before it is sent",
		Long: `Check a configuration document of the gateways before it is sent to the platform's store:
errors, entries that can never match, limits that contradict each other and, with --in-force,
what differs from the version in force. Keys are not shown. The command fails if there are
errors; warnings alone do not fail it.`,
		Example: `  $ banyanshift config review next.json
  $ banyanshift config review next.json --in-force current.json`,
		Args: exit.ExactArgs("file"),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.Path = args[0]
			if runF != nil {
				return runF(opts)
			}
			return reviewRun(opts)
		},
	}
	cmd.Flags().StringVar(&opts.InForce, "in-force", "", "`file` with the version in force, to list what differs")
	return cmd
}

func reviewRun(opts *Options) error {
	doc, err := load(opts, opts.Path)
	if err != nil {
		return exit.Usagef("%v", err)
	}
	failed, err := printFindings(opts, review.Check(doc))
	if err != nil {
		return err
	}
	if opts.InForce != "" {
		inForce, err := load(opts, opts.InForce)
		if err != nil {
			return exit.Usagef("%v", err)
		}
		if err := printChanges(opts, review.Diff(inForce, doc)); err != nil {
			return err
		}
	}
	if failed > 0 {
		return exit.Usagef("%s has %d errors", opts.Path, failed)
	}
	return nil
}

// load reads a document from a file.
func load(opts *Options, path string) (doc document.Document, err error) {
	defer func() { err = oops.Wrapf(err, "read the configuration document %s", path) }()
	raw, err := os.ReadFile(path)
	if err != nil {
		return doc, err
	}
	index, err := opts.Decode(raw)
	if err != nil {
		return doc, err
	}
	return index.Document(), nil
}

// printFindings lists the findings, and returns how many are errors.
func printFindings(opts *Options, findings []review.Finding) (failed int, err error) {
	if len(findings) == 0 {
		_, err = fmt.Fprintf(opts.IO.Out, "%s has no problems\n", opts.Path)
		return 0, err
	}
	for _, finding := range findings {
		if finding.Severity == review.Error {
			failed++
		}
		if _, err := fmt.Fprintf(opts.IO.Out, "%s\t%s\t%s\n", finding.Severity, finding.Entry, finding.Problem); err != nil {
			return failed, err
		}
	}
	return failed, nil
}

// printChanges lists the differences from the version in force.
func printChanges(opts *Options, changes []review.Change) error {
	for _, change := range changes {
		if _, err := fmt.Fprintf(opts.IO.Out, "changed\t%s\t%s\n", change.Entry, change.What); err != nil {
			return err
		}
	}
	return nil
}
