// Package document defines a configuration that is supplied from outside as a
// single versioned document. An Index looks up the route, back end and team of
// a request; a Holder keeps the latest version.
//
// A document is immutable. A newer version replaces it as a whole, so that
// each request sees one version throughout.
//
// # Usage
//
//	index := document.NewIndex(doc)
//	route, found := index.Route("api.example", "/summaries/7")
//	team, known := index.Team(key)
package document

import "github.com/banyanshift/banyanshift/coord/clock"

// Kind determines whether requests of a route may run more than once.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "Idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "NonIdempotent"
	// Streaming requests are answered with a stream of events. They run at
	// most once, unless the route is resumable.
	Streaming Kind = "Streaming"
)

// DefaultTimeout is the timeout of routes that do not set one.
const DefaultTimeout = 30 * clock.Second

// Document is one version of the configuration.
type Document struct {
	Version  int64
	Routes   []Route
	Backends []Backend
	Teams    []Team
	Limits   Limits
}

// Route maps a host and a path prefix to back ends.
type Route struct {
	Name string
	Host string
	// Prefix starts and ends with a slash. The longest matching prefix wins.
	Prefix string
	Kind   Kind
	// Timeout limits the time from the request to the end of the response.
	Timeout clock.Millis
	// LatencyTarget is the target for the time to the complete response, or
	// to the first event of a stream.
	LatencyTarget clock.Millis
	// EventGapTarget is the target for the longest pause between two events
	// of a stream; 0 means no target.
	EventGapTarget clock.Millis
	// MaxAttempts is the number of endpoints to which a request may be sent.
	MaxAttempts int
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Public routes accept requests without a key.
	Public bool
	// Resumable streams can continue on another endpoint after the last
	// event that was received.
	Resumable bool
	// Backends lists the back ends that share the route's requests.
	Backends []WeightedBackend
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// WeightedBackend assigns a back end a share of a route's requests, which is
// its weight divided by the sum of the weights.
type WeightedBackend struct {
	Backend string
	Weight  int
}

// Backend is a pool of endpoints that serve the same model or service.
type Backend struct {
	Name            string
	ConnectionLimit int
	// ColdRate is how many requests a second an endpoint takes from all daemons while it is
	// cold; 0 means that there is no limit.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil if this system does not scale the back end.
	Scaling *Scaling
}

// Engine describes the model engines of a back end.
type Engine struct {
	// Slots is the number of requests that one endpoint runs concurrently.
	Slots int
	// CacheTokens is the capacity of an endpoint's key-value cache in tokens.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// CopyRate is how many tokens of its cache an endpoint copies to another one in a ms, 0 if
	// endpoints do not copy from each other.
	CopyRate float64
}

// Scaling limits the number of endpoints in one failure domain and describes
// their start time and prices.
type Scaling struct {
	MinEndpoints, MaxEndpoints int
	// BootTime is the time from the start of an endpoint until it can serve
	// requests.
	BootTime clock.Millis
	// CheapPriceRatio is the price of a cheap endpoint relative to a firm
	// one; 0 means that there are no cheap endpoints.
	CheapPriceRatio float64
	// DomainPrices maps failure domains to the price of an endpoint.
	DomainPrices map[string]float64
}

// Team is a customer with its keys.
type Team struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits holds size limits and timeouts for the requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  clock.Millis
	IdleTimeout    clock.Millis
}
