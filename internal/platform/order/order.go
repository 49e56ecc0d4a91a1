// Package order lists the platform's endpoints and gives it orders to start
// and stop them by failure domain.
//
// # Usage
//
//	client := order.New("http://10.0.0.1:8000", httpClient)
//	endpoints, err := client.Endpoints(ctx)
//	err = client.Send(ctx, order.Order{ID: "sask-central/17", Kind: order.Start, ...})
//
// An order is sent at most once by each call. Over a guarded connection, pass
// an http.Client whose transport dials through the guard. Orders to the engine
// itself are given by a client whose base URL is the engine's.
package order

import "github.com/banyanshift/banyanshift/internal/config/entity"

// Kind says what an order asks for.
type Kind string

// The kinds of order.
const (
	Start Kind = "Start"
	Stop  Kind = "Stop"
	// LoadModel, LoadAdapter and SetRole are given to the engine itself.
	LoadModel   Kind = "LoadModel"
	LoadAdapter Kind = "LoadAdapter"
	SetRole     Kind = "SetRole"
)

// Order asks for one change. Giving an order with the same ID again has no
// further effect.
type Order struct {
	ID string
	// Scope is the region whose lease holder gives the order.
	Scope string
	// Fence is the fencing number of the holder's lease.
	Fence uint64
	// Holder names the daemon that gives the order, for the record.
	Holder        string
	Kind          Kind
	Backend       string
	FailureDomain string
	Market        entity.Market
	// EndpointID is the endpoint that the order is for; for Start the name
	// that the new endpoint gets.
	EndpointID string
	// Model, Version, Adapter and Role are set by the kinds that need them.
	Model   string
	Version string
	Adapter string
	Role    string
}
