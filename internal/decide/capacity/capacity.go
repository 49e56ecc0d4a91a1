// Package capacity decides which endpoints a region runs: starts and stops by
// failure domain and market, models, adapters and roles.
//
// Firm endpoints carry the top tiers, spread so that they still do when the
// largest failure domain is lost. What the firm ones leave over is carried by
// cheap endpoints; the spare firm capacity that is kept for the loss of a domain
// serves the lower tiers meanwhile. When no domain has cheap endpoints to give,
// firm ones take their place until cheap ones run again.
//
// Starts follow the demand of the moment, stops the greatest demand of the last
// minutes, so that a wave of demand does not stop and start the same endpoints.
// Starts and model changes share a limit, since each loads weights from a store
// of limited rate; the top tiers' go first.
//
// A Planner does no input or output and takes the time from its input. It
// remembers recent peaks only: a new one, after a change of the lease holder,
// starts endpoints at once and stops none before it has watched for as long as
// peaks are held.
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

// Settings tune the decisions.
type Settings struct {
	// TopTiers is how many tiers, from tier 0, firm endpoints carry alone.
	TopTiers int
	// Utilization is the part of an endpoint's slots that is planned for.
	Utilization float64
	// DrainTime is the time in which waiting requests should be served.
	DrainTime clock.Millis
	// PeakWindow is for how long a peak of demand keeps endpoints from being
	// stopped.
	PeakWindow clock.Millis
	// StopInterval is the least time between two stops of a back end.
	StopInterval clock.Millis
	// MaxConcurrentLoads is how many endpoints may load weights at the same time.
	MaxConcurrentLoads int
	// MarketRetryDelay is for how long a failure domain that had no endpoint of a
	// market to give, or has reclaimed one, is not asked again.
	MarketRetryDelay clock.Millis
	// RoleInterval is the least time between two changes of role of a back
	// end, and MinEndpointsForRoles the least number of endpoints that get roles.
	RoleInterval         clock.Millis
	MinEndpointsForRoles int
}

// DefaultSettings returns the settings that suit the deployments of today.
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

// Backend is a back end and what its endpoints should have.
type Backend struct {
	entity.Backend
	// Adapters should be loaded on every endpoint.
	Adapters []string
	// PrefillShare is the part of the endpoints that only computes prompts;
	// 0 leaves the roles alone.
	PrefillShare float64
}

// Demand is the work of one tier for one back end, in requests.
type Demand struct {
	Backend string
	Tier    int
	Running float64
	Waiting float64
	// ServiceTime is the mean time that a request occupies a slot; 0 when
	// unknown, then every waiting request counts as a slot.
	ServiceTime clock.Millis
}

// slots returns how many slots the demand needs.
func (d Demand) slots(drain clock.Millis) float64 {
	part := 1.0
	if d.ServiceTime > 0 && d.ServiceTime < drain {
		part = float64(d.ServiceTime) / float64(drain)
	}
	return d.Running + d.Waiting*part
}

// Endpoint is an endpoint that runs or was ordered.
type Endpoint struct {
	entity.Endpoint
	// Starting endpoints were ordered and do not run yet.
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

// Refusal says that a failure domain had no endpoint of a market to give.
type Refusal struct {
	FailureDomain string
	Market        entity.Market
}

// Input is what a decision is based on.
type Input struct {
	Now      clock.Millis
	Backends []Backend
	Demands  []Demand
	// Endpoints include those that were ordered and those that are leaving.
	Endpoints []Endpoint
	// Domains are the failure domains of the region that endpoints can run in.
	Domains []string
	// Refused are the refusals since the last decision.
	Refused []Refusal
}

// Decision is what to order, and the figures behind it.
type Decision struct {
	// Orders have no ID yet, and starts no EndpointID.
	Orders []order.Order
	Report Report
}

// Report compares money with service.
type Report struct {
	// FirmEndpoints and CheapEndpoints run or were ordered.
	FirmEndpoints  int
	CheapEndpoints int
	// MilliPrice is the price of an hour of them, in thousandths.
	MilliPrice int64
	// CheapShare is the part of the endpoints that is cheap.
	CheapShare float64
	// MissingTop and MissingTotal are the endpoints that the demand of the
	// moment needs beyond those that run, for the top tiers and for all.
	MissingTop   int
	MissingTotal int
	// CheapUnavailable are the domains without cheap endpoints to give.
	CheapUnavailable []string
}
