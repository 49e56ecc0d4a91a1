// Package request defines the types that describe one caller request on its way
// through the filters of the router: authenticate, classify, admit, place,
// forward, meter.
//
// # Usage
//
// The filters up to classify fill in a Request. The scheduler then returns a
// Grant or a Refusal for it:
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

// PrefixBlockTokens is the number of prompt tokens in one block of a prefix
// digest.
const PrefixBlockTokens = 64

// Request is the descriptor of one caller request. It never holds the key's
// secret, the prompt or the body.
type Request struct {
	// ID is unique among the requests of all daemons.
	ID      string
	Team    string
	KeyID   string
	Class   string
	Tier    int
	Route   string
	Backend string
	// FirstTokenTarget, MaxWait and RefuseEarly are copied from the class.
	FirstTokenTarget clock.Millis
	MaxWait          clock.Millis
	RefuseEarly      bool
	// Arrived is the time at which the request's header was read, on this
	// daemon's clock.
	Arrived clock.Millis
	// PromptTokens is the estimated length of the prompt; 1 for plain
	// services.
	PromptTokens int
	// MaxTokens is the caller's limit on generated tokens; 0 if there is none.
	MaxTokens int
	// PrefixDigests holds one digest for each complete block of
	// PrefixBlockTokens tokens. Each digest covers the prompt from its start
	// to the end of the block.
	PrefixDigests []uint64
	// Repeatable is true if the request may be run again on another endpoint
	// after a failure.
	Repeatable bool
	// IdempotencyKey is the key that the caller sent; empty if there is none.
	IdempotencyKey string
}

// Grant is the permission to run a request on one endpoint. It is valid until it
// is released.
type Grant struct {
	RequestID string
	Endpoint  entity.Endpoint
	// Broker is the ID of the daemon that issued the grant; empty if this
	// daemon did.
	Broker string
	// EnginePriority is passed to the engine, which runs smaller values first.
	EnginePriority int
}

// Outcome describes how a granted request ended.
type Outcome struct {
	// Failed is true if the endpoint gave no valid answer.
	Failed bool
	// Preempted is true if the scheduler took the slot back.
	Preempted bool
	// PromptTokens and OutputTokens are the counts that the endpoint reported.
	PromptTokens int
	OutputTokens int
	// TimeToFirstToken is the time from dispatch to the first token; 0 if there was
	// none.
	TimeToFirstToken clock.Millis
	// Duration is the time from dispatch to the end of the request.
	Duration clock.Millis
}

// Scheduler decides which request runs next and where. All fields must be set.
type Scheduler struct {
	// Acquire queues the request until it is granted. If the request is
	// refused, the error is a *Refusal. If ctx ends first, for example because
	// the caller disconnected, Acquire removes the request from the queue and
	// returns the context's error.
	Acquire func(ctx context.Context, req *Request) (*Grant, error)
	// Reacquire is Acquire for a request that has run already and must
	// continue on another endpoint, because its endpoint failed or is leaving,
	// or because it was preempted. The endpoints in exclude are chosen only if
	// there are no others.
	Reacquire func(ctx context.Context, req *Request, exclude []string) (*Grant, error)
	// ChargeTokens charges the tokens that were generated since the last call.
	// It is called at intervals, not for each token.
	ChargeTokens func(grant *Grant, tokens int)
	// Preempted returns a channel that is closed when the slot is taken back,
	// either for a request of a higher tier or because the endpoint leaves
	// within seconds.
	Preempted func(grant *Grant) <-chan struct{}
	// Release ends the grant. It must be called exactly once for each grant.
	Release func(grant *Grant, outcome Outcome)
}
