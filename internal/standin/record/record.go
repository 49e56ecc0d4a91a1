// Package record defines the records that the stand-ins keep for an independent
// checker: the requests that ran on each endpoint, the orders and reports
// received, and whether a caller's key was leaked. Every stand-in serves its
// record as JSON at /record. All times are Unix milliseconds of the one machine
// that the stand-ins run on.
//
// # Usage
//
//	listener = record.NewKeyScanner(listener, leaks)
//	http.Serve(listener, handler)
//	...
//	fmt.Println(leaks.Count())
package record

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/platform/order"
	"github.com/banyanshift/banyanshift/internal/platform/usage"
)

// RunState is the state of a run.
type RunState string

// The states of a run.
const (
	// Running means that the run has not ended.
	Running RunState = "Running"
	// Finished means that the whole answer was produced.
	Finished RunState = "Finished"
	// Cancelled means that the run was cancelled or its caller disconnected.
	Cancelled RunState = "Cancelled"
	// Crashed means that the endpoint ended before the run did.
	Crashed RunState = "Crashed"
	// Refused means that the endpoint rejected the request without running it.
	Refused RunState = "Refused"
)

// Run is one request that reached an endpoint.
type Run struct {
	// Nonce identifies the call; the load generator puts it into the prompt or
	// the query.
	Nonce          string
	RequestID      string
	IdempotencyKey string
	Method         string
	Path           string
	Priority       int
	// Received is when the request arrived, Started when it left the queue.
	Received clock.Millis
	Started  clock.Millis
	Ended    clock.Millis
	// FirstTokenAt is when the first token was produced.
	FirstTokenAt clock.Millis
	// FirstToken is the index of the first requested token, greater than 0 for
	// a resumed stream. Tokens is the number of tokens produced.
	FirstToken   int
	Tokens       int
	PromptTokens int
	CachedTokens int
	End          RunState
	// Spoilt is true if the answer was crossed or truncated on purpose. A
	// router that checks answers abandons it.
	Spoilt bool
}

// Order is one order as it was received.
type Order struct {
	order.Order
	Received clock.Millis
	Accepted bool
	// Repeated is true if an order with the same ID was accepted before.
	Repeated bool
	// Overlap is true if the sender had already been succeeded by another
	// holder of the lease, or sent the order under another holder's fence.
	Overlap bool
}

// Endpoint is the record of one endpoint from its start to its end.
type Endpoint struct {
	entity.Endpoint
	// LeavingSince is when the endpoint was marked as leaving; 0 if it was not.
	LeavingSince clock.Millis
	Started      clock.Millis
	Ended        clock.Millis
	Runs         []Run
	Orders       []Order
}

// Host is the record of a process that runs endpoints.
type Host struct {
	Endpoints []Endpoint
	KeyLeaks  int64
}

// UsageReport is one usage report as it was received.
type UsageReport struct {
	Window   usage.Window
	Received clock.Millis
	// Sender and SenderFence are empty if the report does not name them.
	Sender      string
	SenderFence uint64
	// Repeated is true if the same window was received before.
	Repeated bool
	// Conflict is true if the window was received before with other bytes.
	Conflict bool
	// Overlap is true if the sender had already been succeeded.
	Overlap bool
}

// EndpointLifetime holds the times that determine the cost of one endpoint.
type EndpointLifetime struct {
	Endpoint entity.Endpoint
	Ordered  clock.Millis
	Running  clock.Millis
	Ended    clock.Millis
}

// Platform is the record of the platform's services.
type Platform struct {
	Now     clock.Millis
	Orders  []Order
	Reports []UsageReport
	Lives   []EndpointLifetime
	// Spend is the cost of all endpoints so far, in units of the currency.
	Spend float64
	// Commits and Reads are the numbers of calls that the table served.
	Commits  int
	Reads    int
	KeyLeaks int64
}
