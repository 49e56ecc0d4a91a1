// Package capacity decides which endpoints a region runs: it starts and stops
// endpoints by failure domain and market, and assigns models, adapters and roles.
//
// Firm endpoints serve the top tiers. They are spread so that enough of them
// remain when the largest failure domain is lost; until then, this spare firm
// capacity serves the lower tiers. Cheap endpoints serve the rest of the demand.
// When no domain has cheap endpoints available, firm ones replace them until
// cheap ones run again.
//
// Starts follow the current demand, and stops the greatest demand of the last
// minutes, so that fluctuating demand does not stop and start the same endpoints.
// Starts and model changes share a limit, since each loads weights from a store
// with limited bandwidth. Endpoints for the top tiers go first.
//
// A Planner does no I/O and takes the time from its input. Its only history is
// the recent peaks of demand, domains without available endpoints, and its own
// latest orders. After a change of the lease holder, a new Planner starts
// endpoints immediately, but stops none for the first PeakWindow.
//
// # Usage
//
//	planner := capacity.New(capacity.DefaultSettings())
//	decision := planner.Decide(capacity.Input{Now: clk.Now(), Backends: backends, Demands: demands,
//		Endpoints: endpoints, Domains: domains, Refused: refused})
//	err := dispatcher.Submit(ctx, decision.Orders)
package capacity

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/platform/order"
)

// The roles of an engine.
const (
	RoleMixed   = "Mixed"
	RolePrefill = "Prefill"
	RoleDecode  = "Decode"
)

// Settings are the parameters of the decisions.
type Settings struct {
	// TopTiers is the number of tiers, starting with tier 0, that firm endpoints
	// must be able to serve alone.
	TopTiers int
	// Utilization is the share of an endpoint's slots that is planned for use.
	Utilization float64
	// DrainTime is the time within which the waiting requests should be served.
	DrainTime clock.Millis
	// PeakWindow is how long a peak of demand keeps endpoints from being stopped.
	PeakWindow clock.Millis
	// StopInterval is the minimum time between two stops in a back end.
	StopInterval clock.Millis
	// MaxConcurrentLoads is how many endpoints may load weights at the same time.
	MaxConcurrentLoads int
	// MarketRetryDelay is how long no endpoint is started in a failure domain and
	// market that had none available or has reclaimed one.
	MarketRetryDelay clock.Millis
	// RoleInterval is the minimum time between two role changes in a back end, and
	// MinEndpointsForRoles the minimum number of endpoints for distinct roles.
	RoleInterval         clock.Millis
	MinEndpointsForRoles int
}

// DefaultSettings returns the settings for current deployments.
func DefaultSettings() Settings {
	return Settings{
		TopTiers:             2,
		Utilization:          0.8,
		DrainTime:            30 * clock.Second,
		PeakWindow:           5 * clock.Minute,
		StopInterval:         30 * clock.Second,
		MaxConcurrentLoads:   4,
		MarketRetryDelay:     clock.Minute,
		RoleInterval:         clock.Minute,
		MinEndpointsForRoles: 4,
	}
}

// Backend is a back end and the desired state of its endpoints.
type Backend struct {
	entity.Backend
	// Adapters should be loaded on every endpoint.
	Adapters []string
	// PrefillShare is the share of the endpoints that only process prompts;
	// 0 leaves the roles unchanged.
	PrefillShare float64
}

// Demand is the number of requests of one tier for one back end.
type Demand struct {
	Backend string
	Tier    int
	Running float64
	Waiting float64
	// ServiceTime is the mean time that a request occupies a slot. If it is 0
	// (unknown), every waiting request needs a slot of its own.
	ServiceTime clock.Millis
}

// slots returns the number of slots that the demand needs.
func (d Demand) slots(drain clock.Millis) float64 {
	part := 1.0
	if d.ServiceTime > 0 && d.ServiceTime < drain {
		part = float64(d.ServiceTime) / float64(drain)
	}
	return d.Running + d.Waiting*part
}

// Endpoint is an endpoint that runs or has been ordered.
type Endpoint struct {
	entity.Endpoint
	// Starting endpoints have been ordered and don't run yet.
	Starting bool
	// Loading endpoints are changing their model.
	Loading bool
	// Running is how many requests it runs.
	Running int
	// Model, Version, Adapters and Role are what it reports; empty when it
	// does not.
	Model    string
	Version  string
	Adapters []string
	Role     string
}

// Refusal reports that a failure domain had no endpoint of a market available.
type Refusal struct {
	FailureDomain string
	Market        entity.Market
}

// Input is the data that a decision is based on.
type Input struct {
	Now      clock.Millis
	Backends []Backend
	Demands  []Demand
	// Endpoints include ordered and leaving ones.
	Endpoints []Endpoint
	// Domains are the failure domains of the region in which endpoints can run.
	Domains []string
	// Refused are the refusals since the last decision.
	Refused []Refusal
}

// Decision holds the orders to submit and a report on capacity.
type Decision struct {
	// Orders have no ID yet, and start orders no EndpointID.
	Orders []order.Order
	Report Report
}

// Report summarizes the cost and the capacity of the endpoints.
type Report struct {
	// FirmEndpoints and CheapEndpoints count the endpoints that run or have been
	// ordered.
	FirmEndpoints  int
	CheapEndpoints int
	// MilliPrice is their price per hour, in thousandths.
	MilliPrice int64
	// CheapShare is the share of cheap endpoints.
	CheapShare float64
	// MissingTop and MissingTotal are how many more running endpoints the current
	// demand needs, for the top tiers and for all tiers.
	MissingTop   int
	MissingTotal int
	// CheapUnavailable lists the domains that have no cheap endpoints available.
	CheapUnavailable []string
}
