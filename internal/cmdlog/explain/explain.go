// Package explain implements the command "banyanshift explain", which finds the
// timeline and the outcome of a request in collected log lines.
//
// # Usage
//
//	cmd := explain.NewCmdExplain(f, nil)
package explain

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	"github.com/banyanshift/banyanshift/internal/observe/explain"
)

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO      *streams.Streams
	Request string
}

// NewCmdExplain creates the banyanshift explain command. If runF is not nil, it
// is called with the parsed options instead of running the command.
func NewCmdExplain(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{IO: f.IO}
	return &cobra.Command{
		Use:     "explain <request-id>",
		Short:   "Explain the outcome of a request from log lines",
		Long:    `Read the log lines of all daemons from standard input, in any order, and print the timeline of a request and the cause of its outcome.`,
		Example: `  $ banyanshift explain 9c41d07be2a35f68 < gateways.log`,
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.Request = args[0]
			if runF != nil {
				return runF(opts)
			}
			return explainRun(opts)
		},
	}
}

func explainRun(opts *Options) error {
	report, err := explain.Find(opts.IO.In, opts.Request)
	if err != nil {
		return exit.Usagef("%v", err)
	}
	for _, line := range report.Context {
		printLine(opts.IO.Out, "    ", line)
	}
	for _, line := range report.Timeline {
		printLine(opts.IO.Out, fmt.Sprintf("%7v ", line.After), line)
	}
	_, err = fmt.Fprintf(opts.IO.Out, "cause: %s\n", report.Cause)
	return err
}

// printLine prints a log line and omits empty fields.
func printLine(out io.Writer, when string, line explain.Line) {
	text := when + line.Daemon + " " + line.Message
	if line.Gone {
		text += ", gone"
	}
	if line.Leaving {
		text += ", leaving"
	}
	if line.Late != "" {
		text += ", late: " + line.Late
	}
	for _, field := range []struct{ name, value string }{
		{"endpoint", line.Endpoint}, {"address", line.Address}, {"reason", line.Reason}, {"error", line.Error}, {"route", line.Route}, {"team", line.Team},
	} {
		if field.value != "" {
			text += ", " + field.name + " " + field.value
		}
	}
	if line.Status != 0 {
		text += fmt.Sprintf(", status %d after %v", line.Status, line.Took)
	}
	if line.Try != 0 {
		text += fmt.Sprintf(", try %d, expected in %v, version %d, time left %v", line.Try, line.Expected, line.Version, line.TimeLeft)
	}
	_, _ = fmt.Fprintln(out, text)
}
