// Command banyangateway runs the gateway on the users' platform. It is a separate
// program without the interfaces for operators and model callers, so that it
// starts faster after a machine loses power.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
	gatewayserve "github.com/banyanshift/banyanshift/internal/cmdgateway/serve"
	gatewaydaemon "github.com/banyanshift/banyanshift/internal/daemon/gateway"
	"github.com/banyanshift/banyanshift/internal/settings/gateway"
	"github.com/banyanshift/banyanshift/platform"
)

func main() {
	os.Exit(run())
}

func run() int {
	// A reload has nothing to do until the settings have been read, after which it is handled.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	cmd := gatewayserve.NewCmdGateway(gatewayserve.Dependencies{IO: streams.System(), Getenv: os.Getenv, Serve: serve}, nil)
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	err := cmd.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, exit.Message(err))
	}
	return int(exit.CodeOf(err))
}

// serve runs the gateway on the users' platform.
func serve(ctx context.Context, settings gateway.Settings, logger *logrus.Logger) error {
	return gatewaydaemon.Run(ctx, settings, platform.GatewayPlatform(), clock.System(), logger)
}
