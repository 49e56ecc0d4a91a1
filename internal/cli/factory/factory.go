// Package factory holds the dependencies of the commands, so that tests can
// replace them.
//
// # Usage
//
//	f := factory.New(serve, decode)
//	cmd := create.NewCmdCreate(f, nil)
package factory

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/pflag"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/cli/client"
	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
)

// Default values of flags, and the environment variables that are read when a
// flag is not given.
const (
	DefaultServer  = "127.0.0.1:8081"
	DefaultTimeout = 30 * time.Second

	ServerVariable    = "BANYANSHIFT_SERVER"
	TokenVariable     = "BANYANSHIFT_TOKEN"
	TokenFileVariable = "BANYANSHIFT_TOKEN_FILE"
	CAFileVariable    = "BANYANSHIFT_CA_FILE"
)

// Factory holds the dependencies of all commands. All fields must be set.
type Factory struct {
	IO    *streams.Streams
	Clock clock.Clock
	// Getenv returns the value of an environment variable.
	Getenv func(name string) string
	// Client returns a client for the daemon that the flags and the environment
	// variables specify.
	Client func() (*client.Client, error)
	// Serve runs the daemon until the context is done.
	Serve func(ctx context.Context, settings ini.Settings, logger *logrus.Logger) error
	// DecodeDocument reads a gateway's configuration document in the platform's format.
	DecodeDocument func(raw []byte) (*document.Index, error)
	// Flags are the values of the flags that all commands share.
	Flags *Flags
}

// Flags are the values of the flags that all commands share.
type Flags struct {
	Server    string
	TokenFile string
	CAFile    string
	Timeout   time.Duration
}

// New returns the factory for the production program.
func New(serve func(ctx context.Context, settings ini.Settings, logger *logrus.Logger) error, decode func(raw []byte) (*document.Index, error)) *Factory {
	f := &Factory{IO: streams.System(), Clock: clock.System(), Getenv: os.Getenv, Serve: serve, DecodeDocument: decode, Flags: &Flags{}}
	f.Client = f.dial
	return f
}

// AddFlags adds the flags that all commands share.
func (f *Factory) AddFlags(set *pflag.FlagSet) {
	set.StringVar(&f.Flags.Server, "server", f.getenvOr(ServerVariable, DefaultServer), "address of a daemon's operators' interface (or "+ServerVariable+")")
	set.StringVar(&f.Flags.TokenFile, "token-file", f.Getenv(TokenFileVariable), "file that contains the operator token (or "+TokenFileVariable+", or the token in "+TokenVariable+")")
	set.StringVar(&f.Flags.CAFile, "ca-file", f.Getenv(CAFileVariable), "PEM file of the authority that signed the daemon's certificate (or "+CAFileVariable+")")
	set.DurationVar(&f.Flags.Timeout, "timeout", DefaultTimeout, "time limit of each call")
}

func (f *Factory) getenvOr(variable, fallback string) string {
	if value := f.Getenv(variable); value != "" {
		return value
	}
	return fallback
}

func (f *Factory) dial() (*client.Client, error) {
	token, err := f.readToken()
	if err != nil {
		return nil, err
	}
	return client.Dial(client.Options{
		Server:  f.Flags.Server,
		Token:   token,
		CAFile:  f.Flags.CAFile,
		Timeout: f.Flags.Timeout,
	})
}

func (f *Factory) readToken() (string, error) {
	if f.Flags.TokenFile == "" {
		if token := f.Getenv(TokenVariable); token != "" {
			return token, nil
		}
		return "", exit.Usagef("no operator token: give --token-file, or set %s or %s", TokenFileVariable, TokenVariable)
	}
	data, err := os.ReadFile(f.Flags.TokenFile)
	if err != nil {
		return "", exit.Usagef("cannot read the token file: %v", err)
	}
	token := strings.TrimSpace(string(data))
	if token == "" || strings.ContainsAny(token, "\r\n") {
		return "", exit.Usagef("the token file %s must contain exactly one line, the token", f.Flags.TokenFile)
	}
	return token, nil
}

// Warnf writes a line to the error stream.
func (f *Factory) Warnf(format string, args ...any) {
	_, _ = fmt.Fprintf(f.IO.ErrOut, format+"\n", args...)
}
