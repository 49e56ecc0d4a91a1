package serve

import (
	"context"

	"github.com/banyanshift/banyanshift/internal/order/dispatch"
	"github.com/banyanshift/banyanshift/internal/platform/order"
)

// sendOrder gives an order over a connection that is guarded by the lease:
// starts and stops to the platform, the others to the engine itself.
func (d *Daemon) sendOrder(ctx context.Context, given order.Order) error {
	client := d.guarded(given.Fence)
	if given.Kind == order.Start || given.Kind == order.Stop {
		return order.New(d.settings.Platform.OrderURL, client).Send(ctx, given)
	}
	address, found := d.endpointAddress(given.EndpointID)
	if !found {
		return dispatch.ErrEndpointGone
	}
	// An engine answers when it has loaded; the dispatcher bounds that.
	client.Timeout = 0
	return order.New("http://"+address, client).Send(ctx, given)
}

// endpointAddress returns host:port of an endpoint that is listed.
func (d *Daemon) endpointAddress(id string) (address string, found bool) {
	for _, endpoint := range d.watcher.Endpoints() {
		if endpoint.ID == id {
			return endpoint.Address, endpoint.Address != ""
		}
	}
	return "", false
}
