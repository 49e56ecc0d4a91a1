// Package entity holds the configuration that operators keep: teams, keys,
// request classes, routes and back ends. They are plain data, encoded with
// msgpack under their field names in the configuration log, in snapshots and
// between daemons.
//
// # Usage
//
//	class := entity.Class{Name: "quick-question", Tier: 0, FirstTokenTarget: 780}
//	if err := class.Validate(); err != nil { ... }
package entity

import "github.com/banyanshift/banyanshift/coord/clock"

// Kind names a kind of entity, in logs, audit entries and keys of the store.
type Kind string

// The kinds of entity.
const (
	KindTeam    Kind = "Team"
	KindKey     Kind = "Key"
	KindClass   Kind = "Class"
	KindRoute   Kind = "Route"
	KindBackend Kind = "Backend"
)

// LowestTier is the number of the least important tier; 0 is the most
// important.
const LowestTier = 4

// Team is a customer that is served and billed as one.
type Team struct {
	Name string
	// Weight is the team's part of the capacity relative to other teams, at
	// least 1. The deserved share of a team is its weight divided by the sum
	// of the weights of the teams that have work at the time.
	Weight int
	// Disabled teams are refused.
	Disabled bool
}

// Key admits the callers of one team. The secret itself is not kept.
type Key struct {
	ID   string
	Team string
	// Hash is the SHA-256 digest of the secret.
	Hash [32]byte
	// Withdrawn keys are refused for ever.
	Withdrawn bool
	// Class is used when a request names none; empty means the first class
	// of the route.
	Class string
}

// Class is a service level.
type Class struct {
	Name string
	// Tier is the priority, from 0, served first, to LowestTier.
	Tier int
	// FirstTokenTarget is the time to the first token, or to the end of a
	// plain service's answer, that 95 in 100 requests should meet.
	FirstTokenTarget clock.Millis
	// BetweenTokensTarget is the time between tokens that 95 in 100 should
	// meet; 0 where it does not matter.
	BetweenTokensTarget clock.Millis
	// GuaranteedShare is the part of a pool's capacity, from 0 to 1, that
	// the class gets even while higher tiers are overloaded. Tiers below the
	// top get a small floor when it is 0.
	GuaranteedShare float64
	// RefuseEarly refuses a request as soon as it is predicted to miss its
	// target; otherwise it waits up to MaxWait.
	RefuseEarly bool
	// MaxWait is how long a request may wait for its turn.
	MaxWait clock.Millis
}

// Route connects a model name or a path prefix to a back end.
type Route struct {
	Name string
	// Backend is the name of the back end that serves the route.
	Backend string
	// Prefix is the path prefix of a plain service, such as "/certificates";
	// empty for models, which callers address by the route's name.
	Prefix string
	// Classes are the classes that may use the route; the first is used for
	// requests that name none.
	Classes []string
	// Teams are the teams that may use the route.
	Teams []string
	// OpenToAll admits every caller, with or without a key.
	OpenToAll bool
}

// BackendType says how a back end is spoken to.
type BackendType string

// The types of back end.
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
	// Model is the name of the model that its engines load.
	Model string
	// Version is the version of the model.
	Version string
	// RepeatableMethods are the HTTP methods of a plain service whose calls
	// may be repeated, such as GET and HEAD. Calls by other methods run at
	// most once. Model requests may always be repeated.
	RepeatableMethods []string
	// ChecksFence says that its endpoints refuse orders with an old fence.
	ChecksFence bool
	// MinEndpoints and MaxEndpoints bound how many endpoints may run.
	MinEndpoints int
	MaxEndpoints int
	// FirmOnly keeps the back end off reclaimable endpoints.
	FirmOnly bool
	// Slots is how many requests one endpoint runs at the same time.
	Slots int
}

// Market says on which terms an endpoint runs.
type Market string

// The markets.
const (
	// Firm endpoints run until they are stopped.
	Firm Market = "Firm"
	// Cheap endpoints cost less and can be reclaimed with seconds' notice.
	Cheap Market = "Cheap"
)

// Endpoint is one running replica of a back end, as the platform lists it.
type Endpoint struct {
	ID      string
	Backend string
	// Address is host:port of its HTTP interface.
	Address       string
	Region        string
	FailureDomain string
	Market        Market
	// Incarnation changes whenever the endpoint is started anew.
	Incarnation string
	// Leaving endpoints get no new work.
	Leaving bool
	// ReclaimIn is the time left until a leaving endpoint is taken away; 0
	// when unknown.
	ReclaimIn clock.Millis
	// MilliPrice is the price of an hour in thousandths of the currency.
	MilliPrice int64
}
