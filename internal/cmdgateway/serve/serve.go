// Package serve implements the command "banyangateway", which runs the daemon on
// a platform whose store others write.
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

// SettingsVariable names the settings file where the flag does not.
const SettingsVariable = "BANYANSHIFT_SETTINGS"

// closeTimeout bounds writing the last lines of the log.
const closeTimeout = 300 * time.Millisecond

// Dependencies are what the command depends on. All fields must be set.
type Dependencies struct {
	IO     *streams.Streams
	Getenv func(name string) string
	// Serve runs the daemon until the context ends.
	Serve func(ctx context.Context, settings settings.Settings, logger *logrus.Logger) error
}

// Options are the inputs of the command.
type Options struct {
	Dependencies
	Settings string
}

// NewCmdGateway returns the command. Tests pass runF in place of its execution.
func NewCmdGateway(d Dependencies, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Dependencies: d}
	cmd := &cobra.Command{
		Use:   "banyangateway [--settings <file>]",
		Short: "Run the gateway on a platform",
		Long: `Run the gateway until it gets SIGTERM or SIGINT. It follows the configuration and
the endpoints in the platform's store, passes requests on, and shares the work of
reporting usage and ordering endpoints with the other gateways.`,
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
	lines := logline.New(opts.IO.Out)
	defer lines.Close(closeTimeout)
	logger := logrus.New()
	logger.SetOutput(lines)
	logger.SetFormatter(&logrus.JSONFormatter{})
	daemon.Reload(loaded, logger)
	r := &reloader{path: opts.Settings, logger: logger, signals: make(chan os.Signal, 1)}
	signal.Notify(r.signals, syscall.SIGHUP)
	defer signal.Stop(r.signals)
	go r.loop(ctx)
	return opts.Serve(ctx, loaded, logger)
}

// reloader reads the settings again on SIGHUP.
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
			r.logger.WithError(err).Error("settings cannot be read again; the old ones stay in force")
			continue
		}
		daemon.Reload(loaded, r.logger)
	}
}
