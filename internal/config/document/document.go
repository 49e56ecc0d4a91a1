// Package document holds a configuration that others write as one versioned
// document, and answers what it says of a request: its route, its back end and
// the team of its key.
//
// A document is immutable once it is built. A newer one replaces it as a
// whole, so that a request sees one version from beginning to end.
//
// # Usage
//
//	index := document.NewIndex(doc)
//	route, found := index.Route("api.example", "/summaries/7")
//	team, known := index.Team(key)
package document

import "github.com/banyanshift/banyanshift/coord/clock"

// Kind says how often a request of a route may run.
type Kind string

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "Idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "NonIdempotent"
	// Streaming requests are answered with a stream of events. They run at
	// most once, unless the route is resumable.
	Streaming Kind = "Streaming"
)

// DefaultTimeout bounds requests of routes that state no timeout.
const DefaultTimeout = 30 * clock.Second

// Document is one version of the configuration.
type Document struct {
	Version  int64
	Routes   []Route
	Backends []Backend
	Teams    []Team
	Limits   Limits
}

// Route connects a host and a path prefix to back ends.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash. The longest one wins.
	Prefix string
	Kind   Kind
	// Timeout is the longest time from the request to the end of its answer.
	Timeout clock.Millis
	// LatencyTarget is the time to the whole answer, or to the first event of a
	// stream, within which the caller is served well.
	LatencyTarget clock.Millis
	// EventGapTarget is the longest pause between events of a stream that is
	// still served well; 0 where none is stated.
	EventGapTarget clock.Millis
	// MaxAttempts is to how many endpoints one request may be sent.
	MaxAttempts int
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint after their last event.
	Resumable bool
	// Backends has the back ends of the route with their weights.
	Backends []WeightedBackend
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// WeightedBackend is the part of a route's requests that a back end gets.
type WeightedBackend struct {
	Backend string
	Weight  int
}

// Backend is a pool of endpoints that serve the same model or service.
type Backend struct {
	Name            string
	ConnectionLimit int
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil where the number of endpoints is not ours to order.
	Scaling *Scaling
}

// Engine describes the model engines of a back end.
type Engine struct {
	// Slots is how many requests one endpoint runs at the same time.
	Slots int
	// CacheTokens is the size of an endpoint's key-value cache.
	CacheTokens int
	// EventTokens is how many tokens one event of a stream holds.
	EventTokens int
}

// Scaling bounds the orders for endpoints in one failure domain.
type Scaling struct {
	MinEndpoints, MaxEndpoints int
	// BootTime is how long a new endpoint takes until it serves.
	BootTime clock.Millis
	// CheapPriceRatio is the price of a cheap endpoint relative to a firm one; 0
	// where there are no cheap ones.
	CheapPriceRatio float64
	// DomainPrices has the price of an endpoint by failure domain.
	DomainPrices map[string]float64
}

// Team is a customer with its keys.
type Team struct {
	Name string
	Keys []string
	// Priority replaces the priority of the route where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  clock.Millis
	IdleTimeout    clock.Millis
}
