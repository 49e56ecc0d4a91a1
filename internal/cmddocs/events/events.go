// Package events implements the command "banyanshift docs events".
//
// # Usage
//
//	cmd := events.NewCmdEvents(f, nil)
package events

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/streams"

	// The page is that of both daemons.
	_ "github.com/banyanshift/banyanshift/internal/daemon/gateway"
	"github.com/banyanshift/banyanshift/internal/observe/catalogue"
)

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO *streams.Streams
}

// NewCmdEvents creates the banyanshift docs events command. If runF is not nil,
// it is called with the parsed options instead of running the command.
func NewCmdEvents(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{IO: f.IO}
	return &cobra.Command{
		Use:     "events",
		Short:   "Print the documentation page of the events that a daemon logs",
		Example: `  $ banyanshift docs events > docs/EVENTS.md`,
		Args:    exit.ExactArgs(),
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(opts)
			}
			return eventsRun(opts)
		},
	}
}

func eventsRun(opts *Options) error {
	_, err := fmt.Fprint(opts.IO.Out, catalogue.Events())
	return err
}
