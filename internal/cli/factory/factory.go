// Package factory holds what the commands depend on, so that tests can replace
// it.
//
// # Usage
//
//	f := factory.New()
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
	"github.com/banyanshift/banyanshift/internal/settings/ini"
)

// Defaults and the environment variables that replace them.
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
	// Getenv reads the environment.
	Getenv func(name string) string
	// Client connects to the daemon that the flags and the environment name.
	Client func() (*client.Client, error)
	// Serve runs the daemon until the context ends.
	Serve func(ctx context.Context, settings ini.Settings, logger *logrus.Logger) error
	// Flags are the values of the flags that all commands have.
	Flags *Flags
}

// Flags are the values of the flags that all commands have.
type Flags struct {
	Server    string
	TokenFile string
	CAFile    string
	Timeout   time.Duration
}

// New returns the factory of the real program.
func New(serve func(ctx context.Context, settings ini.Settings, logger *logrus.Logger) error) *Factory {
	f := &Factory{IO: streams.System(), Clock: clock.System(), Getenv: os.Getenv, Serve: serve, Flags: &Flags{}}
	f.Client = f.dial
	return f
}

// AddFlags adds the flags that all commands have.
func (f *Factory) AddFlags(set *pflag.FlagSet) {
	set.StringVar(&f.Flags.Server, "server", f.or(ServerVariable, DefaultServer), "address of a daemon's operators' interface (or "+ServerVariable+")")
	set.StringVar(&f.Flags.TokenFile, "token-file", f.Getenv(TokenFileVariable), "file that holds the operator token (or "+TokenFileVariable+", or the token in "+TokenVariable+")")
	set.StringVar(&f.Flags.CAFile, "ca-file", f.Getenv(CAFileVariable), "PEM file of the authority that signed the daemon's certificate (or "+CAFileVariable+")")
	set.DurationVar(&f.Flags.Timeout, "timeout", DefaultTimeout, "time limit of each call")
}

func (f *Factory) or(variable, standard string) string {
	if value := f.Getenv(variable); value != "" {
		return value
	}
	return standard
}

func (f *Factory) dial() (*client.Client, error) {
	token, err := f.token()
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

func (f *Factory) token() (string, error) {
	if f.Flags.TokenFile == "" {
		if token := f.Getenv(TokenVariable); token != "" {
			return token, nil
		}
		return "", exit.Usagef("there is no operator token: give --token-file, or set %s or %s", TokenFileVariable, TokenVariable)
	}
	data, err := os.ReadFile(f.Flags.TokenFile)
	if err != nil {
		return "", exit.Usagef("the token file cannot be read: %v", err)
	}
	token := strings.TrimSpace(string(data))
	if token == "" || strings.ContainsAny(token, "\r\n") {
		return "", exit.Usagef("the token file %s must hold one line, the token", f.Flags.TokenFile)
	}
	return token, nil
}

// Warnf writes a line to the error stream.
func (f *Factory) Warnf(format string, args ...any) {
	_, _ = fmt.Fprintf(f.IO.ErrOut, format+"\n", args...)
}
