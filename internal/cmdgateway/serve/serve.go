// Package serve implements the command "banyangateway", which runs the gateway
// daemon on a platform whose store is written by other programs.
//
// # Usage
//
//	cmd := serve.NewCmdGateway(serve.Dependencies{IO: streams.System(), Getenv: os.Getenv, Serve: run}, nil)
package serve

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	daemon "github.com/banyanshift/banyanshift/internal/daemon/gateway"
	"github.com/banyanshift/banyanshift/internal/observe/logline"
	settings "github.com/banyanshift/banyanshift/internal/settings/gateway"
)

// SettingsVariable is the environment variable that names the settings file if
// the --settings flag is not given.
const SettingsVariable = "BANYANSHIFT_SETTINGS"

// logFlushTimeout limits the time for writing the remaining log lines at exit.
const logFlushTimeout = 300 * time.Millisecond

// Dependencies holds the streams, environment and daemon that the command uses.
// All fields must be set.
type Dependencies struct {
	IO     *streams.Streams
	Getenv func(name string) string
	// Serve runs the daemon until the context ends.
	Serve func(ctx context.Context, settings settings.Settings, logger *logrus.Logger) error
}

// Options holds the dependencies, arguments and flags of the command.
type Options struct {
	Dependencies
	Settings string
}

// NewCmdGateway creates the banyangateway command. If runF is not nil, it is
// called with the parsed options instead of running the command.
func NewCmdGateway(d Dependencies, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Dependencies: d}
	cmd := &cobra.Command{
		Use:   "banyangateway [--settings <file>]",
		Short: "Run the gateway on a platform",
		Long: `Run the gateway until it receives SIGTERM or SIGINT. It follows the configuration and
the endpoints in the platform's store, forwards requests, and shares usage reporting
and the ordering of endpoints with the other gateways.`,
		Example: `  $ banyangateway --settings gateway.ini`,
		Args:    exit.ExactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.Settings == "" {
				return exit.Usagef("--settings is missing")
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return gatewayRun(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVar(&opts.Settings, "settings", d.Getenv(SettingsVariable), "settings file of the gateway (or "+SettingsVariable+")")
	return cmd
}

func gatewayRun(ctx context.Context, opts *Options) error {
	loaded, err := settings.Load(opts.Settings)
	if err != nil {
		return exit.Usagef("%v", err)
	}
	logWriter := logline.New(opts.IO.Out)
	defer logWriter.Close(logFlushTimeout)
	logger := logrus.New()
	logger.SetOutput(logWriter)
	logger.SetFormatter(&logrus.JSONFormatter{})
	daemon.Reload(loaded, logger)
	r := &reloader{path: opts.Settings, logger: logger, signals: make(chan os.Signal, 1)}
	signal.Notify(r.signals, syscall.SIGHUP)
	defer signal.Stop(r.signals)
	go r.loop(ctx)
	return opts.Serve(ctx, loaded, logger)
}

// reloader reloads the settings file on SIGHUP.
type reloader struct {
	path    string
	logger  *logrus.Logger
	signals chan os.Signal
}

func (r *reloader) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signals:
		}
		loaded, err := settings.Load(r.path)
		if err != nil {
			r.logger.WithError(err).Error("failed to reload settings; keeping the previous ones")
			continue
		}
		daemon.Reload(loaded, r.logger)
	}
}
