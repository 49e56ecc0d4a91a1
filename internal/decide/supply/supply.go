// Package supply decides how many firm and cheap endpoints a back end should
// have in each failure domain.
//
// Load can surge within a second or two, while an endpoint takes several
// seconds to start, so that the endpoints for a surge must already run. Cheap
// endpoints cost a fraction of firm ones, so that as many of them as allowed
// are kept running. Cheap endpoints can be reclaimed, all of a failure domain
// at once, and be unavailable for a while. Firm endpoints replace some of them
// until they are back, and bridge the time until the first cheap ones of a back
// end run.
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
	// firmPerDomain is the regular number of firm endpoints in a failure
	// domain. The most expensive one has none while it has cheap endpoints.
	firmPerDomain = 1
	// cheapPerFirm is the number of missing cheap endpoints that one firm
	// endpoint replaces.
	cheapPerFirm = 2
	// maxExtraFirm limits the number of firm endpoints in a failure domain
	// that replace cheap ones.
	maxExtraFirm = 3
	// loadedShare is the mean share of their time that endpoints spend on
	// prompts above which a back end counts as loaded. Missing cheap endpoints
	// are replaced only in a loaded back end.
	loadedShare = 0.33
	// loadedMemory is how long a back end counts as loaded after its load fell
	// below loadedShare.
	loadedMemory = 8 * clock.Second
	// firmWithoutCheap is the number of firm endpoints in each failure domain
	// for a back end without cheap endpoints.
	firmWithoutCheap = 3
)

// Order is the desired number of firm or cheap endpoints of a back end in a
// failure domain.
type Order struct {
	Backend       string
	FailureDomain string
	Cheap         bool
	Count         int
}

// Domain is a failure domain in which a back end may run.
type Domain struct {
	Name string
	// CheapEndpoints is the number of cheap endpoints that serve there.
	CheapEndpoints int
}

// Input is the state of a back end that a decision depends on.
type Input struct {
	Backend document.Backend
	Domains []Domain
	// PromptLoad is the sum of the endpoints' recent prompt shares (1 is the
	// whole time of one endpoint), and ServingEndpoints the number of
	// endpoints that compute prompts.
	PromptLoad       float64
	ServingEndpoints int
}

// Planner decides about all back ends.
type Planner struct {
	// loaded is the time at which each back end was last loaded.
	loaded map[string]clock.Millis
	// firm is the number of firm endpoints that was last ordered.
	firm map[backendDomain]int
}

// backendDomain is a back end in a failure domain.
type backendDomain struct {
	backend string
	domain  string
}

// New returns a Planner without recorded load.
func New() *Planner {
	return &Planner{loaded: make(map[string]clock.Millis), firm: make(map[backendDomain]int)}
}

// Decide returns the desired numbers of endpoints of the back end, or nil if
// the platform does not scale it. While the back end is loaded, it lowers the
// number of firm endpoints only to stay within the maximum, because requests
// that wait at a removed endpoint are lost.
func (p *Planner) Decide(now clock.Millis, input Input) []Order {
	scaling := input.Backend.Scaling
	if scaling == nil {
		return nil
	}
	var orders []Order
	loaded := p.isLoaded(now, input)
	mostExpensive := input.mostExpensiveDomain()
	for _, domain := range input.Domains {
		baseFirm := firmPerDomain
		if domain.Name == mostExpensive {
			baseFirm = 0
		}
		firm, cheap := domain.desiredCounts(scaling, baseFirm, loaded)
		key := backendDomain{backend: input.Backend.Name, domain: domain.Name}
		if loaded && firm < p.firm[key] {
			firm = min(p.firm[key], scaling.MaxEndpoints-min(domain.CheapEndpoints, cheap))
			cheap = scaling.MaxEndpoints - firm
		}
		p.firm[key] = firm
		orders = append(orders,
			Order{Backend: input.Backend.Name, FailureDomain: domain.Name, Count: firm},
			Order{Backend: input.Backend.Name, FailureDomain: domain.Name, Cheap: true, Count: cheap})
	}
	return orders
}

// desiredCounts returns the numbers of firm and cheap endpoints for one failure
// domain. Their sum stays within the maximum of the back end.
func (d Domain) desiredCounts(scaling *document.Scaling, baseFirm int, loaded bool) (firm, cheap int) {
	if scaling.CheapPriceRatio <= 0 {
		return clamp(firmWithoutCheap, scaling), 0
	}
	firm = min(baseFirm, scaling.MaxEndpoints)
	cheap = scaling.MaxEndpoints - firm
	if d.CheapEndpoints == 0 {
		firm = clamp(firmPerDomain, scaling)
	}
	missing := max(cheap-d.CheapEndpoints, 0)
	extra := 0
	if loaded {
		extra = min(missing/cheapPerFirm, maxExtraFirm)
	}
	// Missing cheap endpoints leave room for firm ones. There may be more cheap ones
	// than the maximum while some are replaced.
	firm = max(min(firm+extra, scaling.MaxEndpoints-d.CheapEndpoints), 0)
	return firm, min(cheap-min(extra, cheap), scaling.MaxEndpoints-firm)
}

// mostExpensiveDomain returns the failure domain with the highest endpoint
// price, or "" if all prices are equal.
func (i Input) mostExpensiveDomain() string {
	name, highest, pricesDiffer := "", 0.0, false
	for _, domain := range i.Domains {
		price := i.Backend.Scaling.DomainPrices[domain.Name]
		pricesDiffer = pricesDiffer || (name != "" && price != highest)
		if price > highest {
			name, highest = domain.Name, price
		}
	}
	if !pricesDiffer {
		return ""
	}
	return name
}

// isLoaded reports whether the serving endpoints could not handle a load surge,
// now or within loadedMemory. The memory keeps replacements from being removed
// before they have started.
func (p *Planner) isLoaded(now clock.Millis, input Input) bool {
	if input.PromptLoad > loadedShare*float64(input.ServingEndpoints) {
		p.loaded[input.Backend.Name] = now
	}
	last, ever := p.loaded[input.Backend.Name]
	return ever && now-last <= loadedMemory
}

func clamp(count int, scaling *document.Scaling) int {
	return min(max(count, scaling.MinEndpoints), scaling.MaxEndpoints)
}
