// Package record holds what the stand-ins write down for an independent
// checker: what ran where, which orders and reports came, and whether a
// caller's key was ever seen. Every stand-in serves its record as JSON under
// /record. All times are Unix milliseconds of the one machine that they run on.
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

// RunState says how a run ended.
type RunState string

// The ends of a run.
const (
	// Running has not ended yet.
	Running RunState = "Running"
	// Finished produced the whole answer.
	Finished RunState = "Finished"
	// Cancelled was cancelled or lost its caller.
	Cancelled RunState = "Cancelled"
	// Crashed ended with its endpoint.
	Crashed RunState = "Crashed"
	// Refused never ran.
	Refused RunState = "Refused"
)

// Run is one request that reached an endpoint.
type Run struct {
	// Nonce is the mark that the load tool put into the prompt or body.
	Nonce          string
	RequestID      string
	IdempotencyKey string
	Method         string
	Path           string
	Priority       int
	// Received is when the request was read, Started when it began to run.
	Received clock.Millis
	Started  clock.Millis
	Ended    clock.Millis
	// FirstTokenAt is when the first token was produced.
	FirstTokenAt clock.Millis
	// FirstToken is the index of the first token asked for, greater than 0
	// for a resumed stream; Tokens counts those produced.
	FirstToken   int
	Tokens       int
	PromptTokens int
	CachedTokens int
	End          RunState
	// Spoilt says that the answer was crossed or truncated on purpose, so
	// that a router which checks answers gives it up.
	Spoilt bool
}

// Order is one order as it was received.
type Order struct {
	order.Order
	Received clock.Millis
	Accepted bool
	// Repeated says that the same order ID came before.
	Repeated bool
	// Overlap says that the order came from a holder that had been succeeded
	// already, or under the fence of another holder.
	Overlap bool
}

// Endpoint is the record of one endpoint over its life.
type Endpoint struct {
	entity.Endpoint
	// LeavingSince is 0 unless the endpoint was told to leave.
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
	// Sender and SenderFence are empty when the reporter doesn't say.
	Sender      string
	SenderFence uint64
	// Repeated says that the same bytes came before.
	Repeated bool
	// Conflict says that the same window came before with other bytes.
	Conflict bool
	// Overlap says that the sender had been succeeded already.
	Overlap bool
}

// EndpointLifetime is what one endpoint cost.
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
	// Commits and Reads count the calls that the table served.
	Commits  int
	Reads    int
	KeyLeaks int64
}
