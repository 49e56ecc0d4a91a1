// Package streams holds the input and output of the command line, so that
// tests can capture them.
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
	// OutIsTerminal says that Out is a terminal: results are aligned and have
	// headings. Otherwise they are separated by tabs for other programs.
	OutIsTerminal bool
	// Interactive says that In is a terminal, so that questions can be asked.
	Interactive bool
}

// System returns the streams of this process.
func System() *Streams {
	return &Streams{
		In:            os.Stdin,
		Out:           os.Stdout,
		ErrOut:        os.Stderr,
		OutIsTerminal: term.IsTerminal(int(os.Stdout.Fd())),
		Interactive:   term.IsTerminal(int(os.Stdin.Fd())),
	}
}
