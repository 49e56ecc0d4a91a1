package serve

import (
	"context"

	"github.com/banyanshift/banyanshift/internal/order/dispatch"
	"github.com/banyanshift/banyanshift/internal/platform/order"
)

// sendOrder sends an order over a connection that is guarded by the lease: starts
// and stops go to the platform, other orders to the engine itself.
func (d *Daemon) sendOrder(ctx context.Context, ord order.Order) error {
	client := d.guardedClient(ord.Fence)
	if ord.Kind == order.Start || ord.Kind == order.Stop {
		return order.New(d.settings.Platform.OrderURL, client).Send(ctx, ord)
	}
	address, found := d.endpointAddress(ord.EndpointID)
	if !found {
		return dispatch.ErrEndpointGone
	}
	// An engine answers only after loading; the dispatcher limits the time with ctx.
	client.Timeout = 0
	return order.New("http://"+address, client).Send(ctx, ord)
}

// endpointAddress returns host:port of a listed endpoint.
func (d *Daemon) endpointAddress(id string) (address string, found bool) {
	for _, endpoint := range d.watcher.Endpoints() {
		if endpoint.ID == id {
			return endpoint.Address, endpoint.Address != ""
		}
	}
	return "", false
}
