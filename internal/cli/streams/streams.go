// Package streams bundles the standard streams of a command, so that tests can
// replace them.
//
// # Usage
//
//	io := streams.System()
//	fmt.Fprintln(io.Out, "result")
//	if io.OutIsTerminal { ... }
package streams

import (
	"io"
	"os"

	"golang.org/x/term"
)

// Streams are the standard streams of a command.
type Streams struct {
	In     io.Reader
	Out    io.Writer
	ErrOut io.Writer
	// OutIsTerminal reports whether Out is a terminal. Results are then aligned
	// under headings; otherwise they are tab-separated for other programs.
	OutIsTerminal bool
	// Interactive reports whether In is a terminal, so that commands can prompt.
	Interactive bool
}

// System returns the standard streams of the process.
func System() *Streams {
	return &Streams{
		In:            os.Stdin,
		Out:           os.Stdout,
		ErrOut:        os.Stderr,
		OutIsTerminal: term.IsTerminal(int(os.Stdout.Fd())),
		Interactive:   term.IsTerminal(int(os.Stdin.Fd())),
	}
}
