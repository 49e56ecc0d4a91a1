// Package factory holds the dependencies of the commands of banyanbench, so that
// tests can replace them.
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
	// Executable returns the path of this program, which runs the stand-ins as
	// child processes.
	Executable func() (string, error)
	// StopContext returns a context that is cancelled when the process receives
	// an interrupt or SIGTERM.
	StopContext func() context.Context
}

// New returns the Factory for the real process.
func New() *Factory {
	return &Factory{
		Out:         os.Stdout,
		ErrOut:      os.Stderr,
		Clock:       clock.System(),
		Executable:  os.Executable,
		StopContext: stopContext,
	}
}

func stopContext() context.Context {
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return ctx
}

// ReadyMessage is what a stand-in prints as JSON once it accepts connections.
type ReadyMessage struct {
	URL string
}

// AnnounceURL prints a ReadyMessage with the URL at which a stand-in listens, as
// one line of JSON.
func (f *Factory) AnnounceURL(url string) error {
	line, err := json.Marshal(ReadyMessage{URL: url})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(f.Out, "%s\n", line)
	return err
}

// ErrInvariantViolated is wrapped by the error of a command that completed and
// found a violated invariant.
var ErrInvariantViolated = errors.New("invariants violated")
