// Package entity defines the configuration entities that operators manage:
// teams, keys, request classes, routes and back ends. It also defines
// Endpoint, which the platform lists. The types are plain data. The
// configuration log, snapshots and messages between daemons encode them with
// msgpack under their Go field names.
//
// # Usage
//
//	class := entity.Class{Name: "quick-question", Tier: 0, FirstTokenTarget: 780}
//	if err := class.Validate(); err != nil { ... }
package entity

import "github.com/banyanshift/banyanshift/coord/clock"

// Kind is the kind of an entity, as written in logs, audit entries and store
// keys.
type Kind string

// Kinds of entities.
const (
	KindTeam    Kind = "Team"
	KindKey     Kind = "Key"
	KindClass   Kind = "Class"
	KindRoute   Kind = "Route"
	KindBackend Kind = "Backend"
)

// LowestTier is the number of the lowest-priority tier. Tier 0 has the highest
// priority.
const LowestTier = 4

// Team is a customer, the unit of fair sharing and billing.
type Team struct {
	Name string
	// Weight is the team's share of the capacity relative to other teams, at
	// least 1. A team's fair share is its weight divided by the sum of the
	// weights of all teams that currently have requests.
	Weight int
	// Disabled rejects all requests of the team.
	Disabled bool
}

// Key authenticates the callers of one team. Only a digest of the secret is
// stored.
type Key struct {
	ID   string
	Team string
	// Hash is the SHA-256 digest of the secret.
	Hash [32]byte
	// Withdrawn rejects the key permanently.
	Withdrawn bool
	// Class is the default class of requests that name none. Empty selects
	// the first class of the route.
	Class string
}

// Class is a service level.
type Class struct {
	Name string
	// Tier is the priority, from 0 (highest) to LowestTier.
	Tier int
	// FirstTokenTarget is the 95th-percentile target for the time to first
	// token. For a plain service it is the target for the complete response.
	FirstTokenTarget clock.Millis
	// BetweenTokensTarget is the 95th-percentile target for the time between
	// tokens; 0 means no target.
	BetweenTokensTarget clock.Millis
	// GuaranteedShare is the share of a pool's capacity, from 0 to 1, that
	// the class gets even while higher tiers are overloaded. If it is 0,
	// tiers below the top one still get a small minimum.
	GuaranteedShare float64
	// RefuseEarly rejects a request as soon as it is predicted to miss its
	// target. Otherwise the request waits up to MaxWait.
	RefuseEarly bool
	// MaxWait is the longest time a request may spend in the queue.
	MaxWait clock.Millis
}

// Route maps a model name or a path prefix to a back end.
type Route struct {
	Name string
	// Backend is the name of the back end that serves the route.
	Backend string
	// Prefix is the path prefix of a plain service, such as "/certificates".
	// It is empty for models, which callers address by the route's name.
	Prefix string
	// Classes are the classes that may use the route. The first one is the
	// default of requests without a class.
	Classes []string
	// Teams are the teams that may use the route.
	Teams []string
	// OpenToAll admits every caller, with or without a key.
	OpenToAll bool
}

// BackendType selects the protocol of a back end.
type BackendType string

// Types of back ends.
const (
	// Model is a language-model engine.
	Model BackendType = "Model"
	// Service is a plain HTTP service.
	Service BackendType = "Service"
)

// Backend is a pool of endpoints that serve the same model or service.
type Backend struct {
	Name string
	Type BackendType
	// Model is the name of the model that the engines load.
	Model string
	// Version is the version of the model.
	Version string
	// RepeatableMethods are the HTTP methods of a plain service whose
	// requests may be retried, such as GET and HEAD. Requests with other
	// methods run at most once. Model requests may always be retried.
	RepeatableMethods []string
	// ChecksFence is set if the endpoints reject orders with an outdated
	// fence.
	ChecksFence bool
	// MinEndpoints and MaxEndpoints limit the number of running endpoints.
	MinEndpoints int
	MaxEndpoints int
	// FirmOnly excludes cheap endpoints, which can be reclaimed.
	FirmOnly bool
	// Slots is the number of requests that one endpoint runs concurrently.
	Slots int
}

// Market is the pricing model of an endpoint.
type Market string

// Markets of endpoints.
const (
	// Firm endpoints run until they are stopped.
	Firm Market = "Firm"
	// Cheap endpoints cost less, but the platform can reclaim them with
	// seconds' notice.
	Cheap Market = "Cheap"
)

// Endpoint is one running replica of a back end, as the platform lists it.
type Endpoint struct {
	ID      string
	Backend string
	// Address is the host:port of the HTTP interface.
	Address       string
	Region        string
	FailureDomain string
	Market        Market
	// Incarnation changes with each start of the endpoint.
	Incarnation string
	// Leaving endpoints are about to stop and get no new requests.
	Leaving bool
	// ReclaimIn is the time left until the platform reclaims a leaving
	// endpoint; 0 if unknown.
	ReclaimIn clock.Millis
	// MilliPrice is the hourly price in thousandths of the currency unit.
	MilliPrice int64
}
