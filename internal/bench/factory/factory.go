// Package factory holds what the commands of banyanbench depend on, so that
// tests can replace it.
//
// # Usage
//
//	f := factory.New()
//	cmd := platform.NewCmdPlatform(f, nil)
package factory

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Factory holds the dependencies of all commands.
type Factory struct {
	Out    io.Writer
	ErrOut io.Writer
	Clock  clock.Clock
	// Executable returns the path of this program, for the stand-ins that it
	// starts as further processes.
	Executable func() (string, error)
	// Stopped is closed when the user or a supervisor ends the program.
	Stopped func() context.Context
}

// New returns the factory of the real program.
func New() *Factory {
	return &Factory{
		Out:        os.Stdout,
		ErrOut:     os.Stderr,
		Clock:      clock.System(),
		Executable: os.Executable,
		Stopped:    stopped,
	}
}

func stopped() context.Context {
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return ctx
}

// Listening is the line that a stand-in prints when it is ready.
type Listening struct {
	URL string
}

// Announce prints where a stand-in listens, as one line of JSON.
func (f *Factory) Announce(url string) error {
	line, err := json.Marshal(Listening{URL: url})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(f.Out, "%s\n", line)
	return err
}

// ErrViolated is wrapped by the error of a command that ran to its end and
// found that something that must always hold did not.
var ErrViolated = errors.New("invariants violated")
