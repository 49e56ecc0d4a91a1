package capacity

import (
	"cmp"
	"math"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/platform/order"
)

// Planner makes decisions for one term of the lease. It is not safe for concurrent
// use.
type Planner struct {
	settings       Settings
	started        bool
	startedAt      clock.Millis
	peaks          map[string]*peakTracker
	lastStop       map[string]clock.Millis
	lastRoleChange map[string]clock.Millis
	// stoppedHere holds the endpoints that this planner has ordered to stop. When
	// they leave, that doesn't count as a reclaim.
	stoppedHere map[string]bool
	// retryAt is when endpoints of a domain and market may be ordered again.
	retryAt map[Refusal]clock.Millis
}

// New returns a Planner.
func New(settings Settings) *Planner {
	return &Planner{
		settings:       settings,
		peaks:          make(map[string]*peakTracker),
		lastStop:       make(map[string]clock.Millis),
		lastRoleChange: make(map[string]clock.Millis),
		stoppedHere:    make(map[string]bool),
		retryAt:        make(map[Refusal]clock.Millis),
	}
}

// round is the state of one call of Decide.
type round struct {
	*Planner
	in     Input
	orders []order.Order
	report Report
	// remainingLoads is how many more endpoints may start to load weights.
	remainingLoads int
	pools          []*pool
}

// pool is the state of one back end in a round.
type pool struct {
	backend Backend
	// currentTarget is the target for the current load, peakTarget the one for
	// the greatest load in the peak window.
	currentTarget target
	peakTarget    target
	// usable holds the endpoints that run or start and aren't leaving.
	usable []Endpoint
	// firm and cheap count the usable endpoints for each domain.
	firm  map[string]int
	cheap map[string]int
}

func sumCounts(byDomain map[string]int) (sum int) {
	for _, count := range byDomain {
		sum += count
	}
	return sum
}

// Decide returns the orders that bring the endpoints closer to what the demand
// needs.
func (p *Planner) Decide(in Input) Decision {
	if !p.started {
		p.started, p.startedAt = true, in.Now
	}
	r := &round{Planner: p, in: in, remainingLoads: p.settings.MaxConcurrentLoads}
	r.recordUnavailable()
	for _, b := range in.Backends {
		r.pools = append(r.pools, r.pool(b))
	}
	for _, e := range in.Endpoints {
		if e.Starting || e.Loading {
			r.remainingLoads--
		}
	}
	r.startForTopTiers()
	r.startForOtherTiers()
	for _, pool := range r.pools {
		r.stop(pool)
		r.loadModel(pool)
		r.loadAdapters(pool)
		r.setRole(pool)
	}
	r.summarize()
	return Decision{Orders: r.orders, Report: r.report}
}

// recordUnavailable delays further starts in the domains and markets that refused
// an endpoint or reclaimed a cheap one.
func (r *round) recordUnavailable() {
	retryAt := r.in.Now + r.settings.MarketRetryDelay
	for _, refusal := range r.in.Refused {
		r.retryAt[refusal] = retryAt
	}
	for _, e := range r.in.Endpoints {
		if e.Leaving && e.Market == entity.Cheap && !r.stoppedHere[e.ID] {
			r.retryAt[Refusal{FailureDomain: e.FailureDomain, Market: entity.Cheap}] = retryAt
		}
	}
}

// domains returns the domains that may have endpoints of a market available.
func (r *round) domains(market entity.Market) (domains []string) {
	for _, domain := range r.in.Domains {
		if r.in.Now >= r.retryAt[Refusal{FailureDomain: domain, Market: market}] {
			domains = append(domains, domain)
		}
	}
	return domains
}

func (r *round) pool(b Backend) *pool {
	pool := &pool{backend: b, firm: map[string]int{}, cheap: map[string]int{}}
	var current load
	for _, d := range r.in.Demands {
		if d.Backend != b.Name {
			continue
		}
		slots := d.slots(r.settings.DrainTime)
		current.allTiers += slots
		if d.Tier < r.settings.TopTiers {
			current.topTiers += slots
		}
	}
	if r.peaks[b.Name] == nil {
		r.peaks[b.Name] = newPeakTracker(r.settings.PeakWindow)
	}
	greatest := r.peaks[b.Name].record(r.in.Now, current)
	domains := len(r.domains(entity.Firm))
	pool.currentTarget = targetFor(current, b, domains, r.settings.Utilization)
	pool.peakTarget = targetFor(greatest, b, domains, r.settings.Utilization)
	for _, e := range r.in.Endpoints {
		if e.Backend == b.Name && !e.Leaving {
			pool.add(e)
		}
	}
	return pool
}

func (p *pool) add(e Endpoint) {
	p.usable = append(p.usable, e)
	p.countByDomain(e.Market)[e.FailureDomain]++
}

func (p *pool) countByDomain(market entity.Market) map[string]int {
	if market == entity.Cheap {
		return p.cheap
	}
	return p.firm
}

// startForTopTiers starts the missing firm endpoints one by one. Each goes to the
// back end that has the smallest share of what its top tiers need.
func (r *round) startForTopTiers() {
	for r.remainingLoads > 0 {
		pool := r.neediest(topTierNeed)
		if pool == nil {
			return
		}
		r.start(pool, entity.Firm)
	}
}

// topTierNeed returns how many firm endpoints a pool has and how many it wants. It
// wants one more than its target when they are spread so unevenly that too few
// would be left after the loss of a domain.
func topTierNeed(p *pool) (have, want int) {
	have, want = sumCounts(p.firm), p.currentTarget.firm
	if have >= want && len(p.firm) > 1 && want > p.currentTarget.topTiers && have-maxCount(p.firm) < p.currentTarget.topTiers {
		return have, have + 1
	}
	return have, want
}

func maxCount(byDomain map[string]int) (greatest int) {
	for _, count := range byDomain {
		greatest = max(greatest, count)
	}
	return greatest
}

// startForOtherTiers starts the endpoints that the other tiers need: cheap ones, or
// firm ones when no domain has cheap ones available.
func (r *round) startForOtherTiers() {
	for r.remainingLoads > 0 {
		pool := r.neediest(r.otherTierNeed)
		if pool == nil {
			return
		}
		market := entity.Cheap
		if pool.backend.FirmOnly || len(r.domains(entity.Cheap)) == 0 {
			market = entity.Firm
		}
		r.start(pool, market)
	}
}

// otherTierNeed returns how many endpoints a pool has and how many it wants in
// addition to the firm ones of its top tiers. Firm endpoints beyond those replace
// cheap ones as long as no cheap ones are available.
func (r *round) otherTierNeed(p *pool) (have, want int) {
	extra := max(0, sumCounts(p.firm)-p.currentTarget.firm)
	if len(r.domains(entity.Cheap)) > 0 {
		extra = 0
	}
	return sumCounts(p.cheap) + extra, p.currentTarget.cheap
}

// neediest returns the pool that has the smallest share of what it wants, or nil
// when no pool wants more.
func (r *round) neediest(need func(p *pool) (have, want int)) (found *pool) {
	lowestShare := math.Inf(1)
	for _, p := range r.pools {
		have, want := need(p)
		if have >= want || sumCounts(p.firm)+sumCounts(p.cheap) >= p.backend.MaxEndpoints {
			continue
		}
		if share := float64(have) / float64(want); share < lowestShare {
			lowestShare, found = share, p
		}
	}
	return found
}

// start orders an endpoint in the domain that has the fewest endpoints of the pool.
func (r *round) start(p *pool, market entity.Market) {
	domains := r.domains(market)
	if len(domains) == 0 {
		r.remainingLoads = 0
		return
	}
	counts := p.countByDomain(market)
	domain := slices.MinFunc(domains, func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[a], counts[b]), cmp.Compare(p.firm[a]+p.cheap[a], p.firm[b]+p.cheap[b]), cmp.Compare(a, b))
	})
	r.orders = append(r.orders, order.Order{
		Kind: order.Start, Backend: p.backend.Name, FailureDomain: domain, Market: market,
		Model: p.backend.Model, Version: p.backend.Version,
	})
	r.remainingLoads--
	p.add(Endpoint{
		Endpoint: entity.Endpoint{Backend: p.backend.Name, FailureDomain: domain, Market: market},
		Starting: true,
	})
}

// stop orders at most one endpoint to stop: a firm one if there are more than the
// target, such as those that replaced cheap ones, otherwise a cheap one. It stops
// none before the planner has seen the demand for a whole PeakWindow.
func (r *round) stop(p *pool) {
	last, stoppedBefore := r.lastStop[p.backend.Name]
	peakKnown := r.in.Now-r.startedAt >= r.settings.PeakWindow
	if !peakKnown || (stoppedBefore && r.in.Now-last < r.settings.StopInterval) {
		return
	}
	firm, cheap := sumCounts(p.firm), sumCounts(p.cheap)
	surplus := firm + cheap - p.starting() - max(p.peakTarget.firm+p.peakTarget.cheap, p.backend.MinEndpoints)
	if surplus <= 0 {
		return
	}
	market := entity.Cheap
	if firm > p.peakTarget.firm {
		market = entity.Firm
	} else if cheap == 0 {
		return
	}
	victim, found := p.victim(market)
	if !found {
		return
	}
	r.lastStop[p.backend.Name] = r.in.Now
	r.stoppedHere[victim.ID] = true
	r.orders = append(r.orders, order.Order{
		Kind: order.Stop, Backend: p.backend.Name, FailureDomain: victim.FailureDomain, Market: market, EndpointID: victim.ID,
	})
}

// starting returns how many endpoints don't run yet. They don't make running ones
// surplus.
func (p *pool) starting() (count int) {
	for _, e := range p.usable {
		if e.Starting {
			count++
		}
	}
	return count
}

// victim returns the endpoint of a market to stop: in the domain with the most, the
// one with the fewest running requests.
func (p *pool) victim(market entity.Market) (victim Endpoint, found bool) {
	counts := p.countByDomain(market)
	for _, e := range p.usable {
		if e.Market != market || e.Starting || e.Loading {
			continue
		}
		better := cmp.Or(
			cmp.Compare(counts[victim.FailureDomain], counts[e.FailureDomain]),
			cmp.Compare(e.Running, victim.Running),
			cmp.Compare(e.ID, victim.ID),
		)
		if !found || better < 0 {
			victim, found = e, true
		}
	}
	return victim, found
}

func (r *round) summarize() {
	for _, e := range r.in.Endpoints {
		r.report.MilliPrice += e.MilliPrice
	}
	for _, p := range r.pools {
		firm, cheap := sumCounts(p.firm), sumCounts(p.cheap)
		r.report.FirmEndpoints += firm
		r.report.CheapEndpoints += cheap
		running := len(p.usable) - p.starting()
		r.report.MissingTop += max(0, p.currentTarget.topTiers-running)
		r.report.MissingTotal += max(0, p.currentTarget.allTiers-running)
	}
	if all := r.report.FirmEndpoints + r.report.CheapEndpoints; all > 0 {
		r.report.CheapShare = float64(r.report.CheapEndpoints) / float64(all)
	}
	for _, domain := range r.in.Domains {
		if r.in.Now < r.retryAt[Refusal{FailureDomain: domain, Market: entity.Cheap}] {
			r.report.CheapUnavailable = append(r.report.CheapUnavailable, domain)
		}
	}
}
