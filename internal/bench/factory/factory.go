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
	// StopContext is closed when the user or a supervisor ends the program.
	StopContext func() context.Context
}

// New returns the factory of the real program.
func New() *Factory {
	return &Factory{
		Out:         os.Stdout,
		ErrOut:      os.Stderr,
		Clock:       clock.System(),
		Executable:  os.Executable,
		StopContext: stopped,
	}
}

func stopped() context.Context {
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return ctx
}

// ReadyMessage is the line that a stand-in prints when it is ready.
type ReadyMessage struct {
	URL string
}

// AnnounceURL prints where a stand-in listens, as one line of JSON.
func (f *Factory) AnnounceURL(url string) error {
	line, err := json.Marshal(ReadyMessage{URL: url})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(f.Out, "%s\n", line)
	return err
}

// ErrInvariantViolated is wrapped by the error of a command that ran to its end and
// found that something that must always hold did not.
var ErrInvariantViolated = errors.New("invariants violated")
