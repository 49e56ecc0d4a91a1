// Package order lists the platform's endpoints and sends the platform orders to
// start and stop endpoints in a failure domain.
//
// # Usage
//
//	client := order.New("http://10.0.0.1:8000", httpClient)
//	endpoints, err := client.Endpoints(ctx, func(err error) { ... log an entry that is left out ... })
//	err = client.Send(ctx, order.Order{ID: "sask-central/17", Kind: order.Start, ...})
//
// Each call of Send sends its order at most once. For a connection through a
// guard, pass an http.Client whose transport dials the guard. To send orders to an
// engine, use a Client with the engine's base URL.
package order

import "github.com/banyanshift/banyanshift/internal/config/entity"

// Kind is the kind of change that an order requests.
type Kind string

// The kinds of orders.
const (
	Start Kind = "Start"
	Stop  Kind = "Stop"
	// LoadModel, LoadAdapter and SetRole are sent to the engine itself.
	LoadModel   Kind = "LoadModel"
	LoadAdapter Kind = "LoadAdapter"
	SetRole     Kind = "SetRole"
)

// Order requests one change. It is idempotent: sending an order with the same ID
// again has no further effect.
type Order struct {
	ID string
	// Scope is the region whose lease holder sends the order.
	Scope string
	// Fence is the fencing number of the holder's lease.
	Fence uint64
	// Holder is the ID of the daemon that sends the order, for information only.
	Holder        string
	Kind          Kind
	Backend       string
	FailureDomain string
	Market        entity.Market
	// EndpointID is the endpoint that the order applies to; for Start, the ID
	// for the new endpoint.
	EndpointID string
	// Model, Version, Adapter and Role are set for the kinds that need them.
	Model   string
	Version string
	Adapter string
	Role    string
}
