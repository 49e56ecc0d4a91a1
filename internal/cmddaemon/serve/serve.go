// Package serve implements the command "banyanshift serve", which runs the
// daemon.
//
// # Usage
//
//	cmd := serve.NewCmdServe(f, nil)
package serve

import (
	"context"
	"io"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
)

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	IO       *streams.Streams
	Serve    func(ctx context.Context, settings ini.Settings, logger *logrus.Logger) error
	Settings string
}

// NewCmdServe creates the banyanshift serve command. If runF is not nil, it is
// called with the parsed options instead of running the command.
func NewCmdServe(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{IO: f.IO, Serve: f.Serve}
	cmd := &cobra.Command{
		Use:   "serve --settings <file>",
		Short: "Run the daemon",
		Long: `Run the daemon until it receives SIGTERM or SIGINT. It then fails its readiness check,
accepts requests for another Daemon.ReadinessDelay, finishes running requests and exits.`,
		Example: `  $ banyanshift config example > banyanshift.ini
  $ banyanshift serve --settings banyanshift.ini`,
		Args: exit.ExactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.Settings == "" {
				return exit.Usagef("--settings is missing")
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return serveRun(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVar(&opts.Settings, "settings", "", "settings file of the daemon")
	return cmd
}

func serveRun(ctx context.Context, opts *Options) error {
	settings, err := ini.LoadAndCheckAddresses(opts.Settings)
	if err != nil {
		return exit.Usagef("%v", err)
	}
	logger, err := newLogger(settings.Log, opts.IO.ErrOut)
	if err != nil {
		return err
	}
	return opts.Serve(ctx, settings, logger)
}

func newLogger(settings ini.Log, out io.Writer) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(settings.Level)
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	if settings.Format == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	return logger, nil
}
