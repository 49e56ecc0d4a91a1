// Package supply decides how many firm and cheap endpoints a back end should
// have in each failure domain.
//
// It answers the load of bursts that begin within a second or two, against
// endpoints that take several seconds to start: what a burst needs has to run
// before it comes. Cheap endpoints cost a fraction of firm ones, so that as many
// of them as allowed stand ready. They can be taken away, all of a failure
// domain at once, and be unavailable for a while; firm ones take the place of
// some of them until they are back, and hold the place when a back end starts.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	planner := supply.New()
//	orders := planner.Decide(now, supply.Input{Backend: backend, Domains: domains})
package supply

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/document"
)

const (
	// firmPerDomain is how many firm endpoints a failure domain always has.
	firmPerDomain = 1
	// cheapPerFirm is how many missing cheap endpoints one firm one replaces.
	cheapPerFirm = 2
	// maxExtraFirm bounds the firm endpoints that replace cheap ones.
	maxExtraFirm = 3
	// loadedShare is the part of their time that endpoints may spend on
	// prompts before missing cheap ones are replaced.
	loadedShare = 0.33
	// loadedMemory is for how long a back end counts as loaded.
	loadedMemory = 8 * clock.Second
	// firmWithoutCheap is how many firm endpoints a failure domain has where
	// there are no cheap ones.
	firmWithoutCheap = 3
)

// Order is a wanted number of endpoints.
type Order struct {
	Backend       string
	FailureDomain string
	Cheap         bool
	Count         int
}

// Domain is a failure domain in which a back end may run.
type Domain struct {
	Name string
	// CheapEndpoints counts the cheap endpoints that serve there.
	CheapEndpoints int
}

// Input is what a decision depends on.
type Input struct {
	Backend document.Backend
	Domains []Domain
	// PromptLoad is how many endpoints' worth of time the prompts took lately, and
	// Serving how many endpoints there are to compute them.
	PromptLoad       float64
	ServingEndpoints int
}

// Planner decides about all back ends.
type Planner struct {
	// loaded is when each back end was loaded last.
	loaded map[string]clock.Millis
	// firm is the number of firm endpoints that was wanted last.
	firm map[place]int
}

// place is a back end in a failure domain.
type place struct {
	backend string
	domain  string
}

// New returns a Planner that has seen no load.
func New() *Planner {
	return &Planner{loaded: make(map[string]clock.Millis), firm: make(map[place]int)}
}

// Decide returns the wanted numbers of the back end, none where they are not
// ours to order.
func (p *Planner) Decide(now clock.Millis, input Input) []Order {
	scaling := input.Backend.Scaling
	if scaling == nil {
		return nil
	}
	var orders []Order
	loaded := p.isLoaded(now, input)
	dearest := input.dearest()
	for _, domain := range input.Domains {
		standing := firmPerDomain
		if domain.Name == dearest {
			standing = 0
		}
		firm, cheap := domain.wanted(scaling, standing, loaded)
		at := place{backend: input.Backend.Name, domain: domain.Name}
		if loaded && firm < p.firm[at] {
			// An endpoint that is taken away loses what waits there.
			firm = min(p.firm[at], scaling.Max-min(domain.CheapEndpoints, cheap))
			cheap = scaling.Max - firm
		}
		p.firm[at] = firm
		orders = append(orders,
			Order{Backend: input.Backend.Name, FailureDomain: domain.Name, Count: firm},
			Order{Backend: input.Backend.Name, FailureDomain: domain.Name, Cheap: true, Count: cheap})
	}
	return orders
}

// wanted returns the numbers for one failure domain, which together stay within
// the bounds of the back end.
func (d Domain) wanted(scaling *document.Scaling, standing int, loaded bool) (firm, cheap int) {
	if scaling.CheapPrice <= 0 {
		return clamp(firmWithoutCheap, scaling), 0
	}
	firm = min(standing, scaling.Max)
	cheap = scaling.Max - firm
	if d.CheapEndpoints == 0 {
		firm = clamp(firmPerDomain, scaling)
	}
	missing := max(cheap-d.CheapEndpoints, 0)
	extra := 0
	if loaded {
		extra = min(missing/cheapPerFirm, maxExtraFirm)
	}
	// Cheap ones that are not there leave room for the firm ones.
	return min(firm+extra, scaling.Max-d.CheapEndpoints), cheap - min(extra, cheap)
}

// dearest returns the failure domain in which endpoints cost most, if there are
// several. It gets along without a firm endpoint while it has cheap ones.
func (i Input) dearest() string {
	name, price, others := "", 0.0, false
	for _, domain := range i.Domains {
		p := i.Backend.Scaling.DomainPrices[domain.Name]
		others = others || (name != "" && p != price)
		if p > price {
			name, price = domain.Name, p
		}
	}
	if !others {
		return ""
	}
	return name
}

// isLoaded reports whether the endpoints that serve would not bear a burst, now
// or shortly before: an endpoint that is ordered for a moment serves nobody.
func (p *Planner) isLoaded(now clock.Millis, input Input) bool {
	if input.PromptLoad > loadedShare*float64(input.ServingEndpoints) {
		p.loaded[input.Backend.Name] = now
	}
	last, ever := p.loaded[input.Backend.Name]
	return ever && now-last <= loadedMemory
}

func clamp(count int, scaling *document.Scaling) int {
	return min(max(count, scaling.Min), scaling.Max)
}
