// Package request describes one caller request as it passes through the
// filters of the router: authenticate, classify, admit, place, forward, meter.
//
// # Usage
//
// The filters up to classify fill a Request. The scheduler turns it into a
// Grant or a Refusal:
//
//	grant, err := scheduler.Acquire(ctx, req)
//	var refusal *request.Refusal
//	if errors.As(err, &refusal) { ... answer with refusal.Code and refusal.Run ... }
//	defer scheduler.Release(grant, outcome)
package request

import (
	"context"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
)

// PrefixBlockTokens is how many prompt tokens one prefix digest covers.
const PrefixBlockTokens = 64

// Request is the descriptor of one caller request. It never holds the key's
// secret, the prompt or the body.
type Request struct {
	// ID is unique among all requests of the fleet.
	ID      string
	Team    string
	KeyID   string
	Class   string
	Tier    int
	Route   string
	Backend string
	// FirstTokenTarget and MaxWait come from the class.
	FirstTokenTarget clock.Millis
	MaxWait          clock.Millis
	RefuseEarly      bool
	// Arrived is when the request's header was read, on this daemon's clock.
	Arrived clock.Millis
	// PromptTokens estimates the length of the prompt; 1 for plain services.
	PromptTokens int
	// MaxTokens is the caller's limit on generated tokens; 0 when none.
	MaxTokens int
	// PrefixDigests holds one digest for each whole block of
	// PrefixBlockTokens; each digest covers the prompt from its start.
	PrefixDigests []uint64
	// Repeatable requests may be run again elsewhere after a failure.
	Repeatable bool
	// IdempotencyKey as the caller sent it; empty when none.
	IdempotencyKey string
}

// Grant is the right to run a request on one endpoint, until it is released.
type Grant struct {
	RequestID string
	Endpoint  entity.Endpoint
	// Broker is the daemon that gave the grant; empty for a local decision.
	Broker string
	// EnginePriority is passed to the engine; smaller runs first.
	EnginePriority int
}

// Outcome says how a granted request ended.
type Outcome struct {
	// Failed says that the endpoint did not answer as it should.
	Failed bool
	// Preempted says that the scheduler took the slot back.
	Preempted bool
	// PromptTokens and OutputTokens are what the endpoint reported.
	PromptTokens int
	OutputTokens int
	// FirstToken is the time from dispatch to the first token, 0 if none came.
	FirstToken clock.Millis
	// Duration is the time from dispatch to the end.
	Duration clock.Millis
}

// Scheduler decides which request runs next and where. All fields must be set.
type Scheduler struct {
	// Acquire waits for the request's turn. It returns a *Refusal as error
	// when the request is refused, and the context's error when the caller
	// has gone, which frees its place in the queue.
	Acquire func(ctx context.Context, req *Request) (*Grant, error)
	// Reacquire is Acquire for a request that has run already and must go on
	// elsewhere, because its endpoint failed or is leaving, or it was
	// preempted. exclude names endpoints not to choose if others exist.
	Reacquire func(ctx context.Context, req *Request, exclude []string) (*Grant, error)
	// ChargeTokens charges tokens generated since the last call. It is called
	// now and then, not for each token.
	ChargeTokens func(grant *Grant, tokens int)
	// Preempted is closed when the slot is taken back for a higher tier or
	// because the endpoint is leaving within seconds.
	Preempted func(grant *Grant) <-chan struct{}
	// Release ends the grant. It is called exactly once for each grant.
	Release func(grant *Grant, outcome Outcome)
}
