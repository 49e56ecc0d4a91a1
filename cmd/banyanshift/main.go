// Command banyanshift is the router's daemon and its operators' command line.
package main

import (
	"context"
	"net/http"
	"os"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/cli/factory"
	"github.com/banyanshift/banyanshift/internal/cli/root"
	gatewaydaemon "github.com/banyanshift/banyanshift/internal/daemon/gateway"
	"github.com/banyanshift/banyanshift/internal/daemon/serve"
	"github.com/banyanshift/banyanshift/internal/decide/supply"
	"github.com/banyanshift/banyanshift/internal/settings/gateway"
	"github.com/banyanshift/banyanshift/internal/usage/billing"
	"github.com/banyanshift/banyanshift/platform"
)

func main() {
	f := factory.New(serve.Run)
	f.ServeGateway = serveGateway
	os.Exit(root.Main(f, os.Args[1:]))
}

// serveGateway runs the gateway on the users' platform.
func serveGateway(ctx context.Context, settings gateway.Settings, logger *logrus.Logger) error {
	return gatewaydaemon.Run(ctx, settings, translated(), clock.System(), logger)
}

// translated returns the platform as the gateway sees it.
func translated() gatewaydaemon.Platform {
	return gatewaydaemon.Platform{
		Store: func(address string, httpClient *http.Client) (table.Client, table.Feed) {
			store := platform.NewStore(address, httpClient)
			return store.Client(), store.Feed()
		},
		DocumentPrefix: platform.DocumentPrefix,
		DocumentKey:    platform.DocumentKey,
		DecodeDocument: platform.DecodeDocument,
		EndpointPrefix: platform.EndpointPrefix,
		DecodeEndpoint: platform.DecodeEndpoint,
		EndpointID:     platform.EndpointID,
		Wire:           platform.Wire(),
		Belongs:        platform.Belongs,
		Report: func(ctx context.Context, call gatewaydaemon.DutyCall, window billing.Window) error {
			return platform.NewDuties(call.Address, call.Holder, call.Fence, call.Client).Report(ctx, window)
		},
		Order: func(ctx context.Context, call gatewaydaemon.DutyCall, order supply.Order) error {
			return platform.NewDuties(call.Address, call.Holder, call.Fence, call.Client).Order(ctx, order)
		},
	}
}
