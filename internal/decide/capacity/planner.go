package capacity

import (
	"cmp"
	"math"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/platform/order"
)

// Planner makes the decisions of one term of the lease. It is not safe for
// concurrent use.
type Planner struct {
	settings Settings
	begun    bool
	began    clock.Millis
	peaks    map[string]*peak
	stopped  map[string]clock.Millis
	roles    map[string]clock.Millis
	// ordered holds the endpoints that this planner has stopped, which are
	// therefore not reclaimed.
	ordered map[string]bool
	// askFrom is when a domain is asked for endpoints again.
	askFrom map[Refusal]clock.Millis
}

// New returns a Planner.
func New(settings Settings) *Planner {
	return &Planner{
		settings: settings,
		peaks:    make(map[string]*peak),
		stopped:  make(map[string]clock.Millis),
		roles:    make(map[string]clock.Millis),
		ordered:  make(map[string]bool),
		askFrom:  make(map[Refusal]clock.Millis),
	}
}

// round is one decision in the making.
type round struct {
	*Planner
	in     Input
	orders []order.Order
	report Report
	// loads is how many more endpoints may begin to load weights.
	loads int
	pools []*pool
}

// pool is the state of one back end in a round.
type pool struct {
	backend Backend
	// start is the target for the load of the moment, keep that for the peak.
	start target
	keep  target
	// usable endpoints run or start and are not leaving.
	usable []Endpoint
	// firm and cheap count the usable endpoints by domain.
	firm  map[string]int
	cheap map[string]int
}

func total(byDomain map[string]int) (sum int) {
	for _, count := range byDomain {
		sum += count
	}
	return sum
}

// Decide returns the orders that bring the endpoints closer to what the demand
// needs.
func (p *Planner) Decide(in Input) Decision {
	if !p.begun {
		p.begun, p.began = true, in.Now
	}
	r := &round{Planner: p, in: in, loads: p.settings.MaxConcurrentLoads}
	r.noteMarket()
	for _, b := range in.Backends {
		r.pools = append(r.pools, r.pool(b))
	}
	for _, e := range in.Endpoints {
		if e.Starting || e.Loading {
			r.loads--
		}
	}
	r.startTop()
	r.startRest()
	for _, pool := range r.pools {
		r.stop(pool)
		r.loadModel(pool)
		r.loadAdapters(pool)
		r.setRole(pool)
	}
	r.summarize()
	return Decision{Orders: r.orders, Report: r.report}
}

// noteMarket learns which domains have no endpoints to give.
func (r *round) noteMarket() {
	until := r.in.Now + r.settings.MarketRetryDelay
	for _, refusal := range r.in.Refused {
		r.askFrom[refusal] = until
	}
	for _, e := range r.in.Endpoints {
		if e.Leaving && e.Market == entity.Cheap && !r.ordered[e.ID] {
			r.askFrom[Refusal{FailureDomain: e.FailureDomain, Market: entity.Cheap}] = until
		}
	}
}

// domains returns those that may have endpoints of a market to give.
func (r *round) domains(market entity.Market) (domains []string) {
	for _, domain := range r.in.Domains {
		if r.in.Now >= r.askFrom[Refusal{FailureDomain: domain, Market: market}] {
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
		current.all += slots
		if d.Tier < r.settings.TopTiers {
			current.top += slots
		}
	}
	if r.peaks[b.Name] == nil {
		r.peaks[b.Name] = newPeak(r.settings.PeakWindow)
	}
	greatest := r.peaks[b.Name].add(r.in.Now, current)
	domains := len(r.domains(entity.Firm))
	pool.start = targetFor(current, b, domains, r.settings.Utilization)
	pool.keep = targetFor(greatest, b, domains, r.settings.Utilization)
	for _, e := range r.in.Endpoints {
		if e.Backend == b.Name && !e.Leaving {
			pool.add(e)
		}
	}
	return pool
}

func (p *pool) add(e Endpoint) {
	p.usable = append(p.usable, e)
	p.in(e.Market)[e.FailureDomain]++
}

func (p *pool) in(market entity.Market) map[string]int {
	if market == entity.Cheap {
		return p.cheap
	}
	return p.firm
}

// startTop starts the firm endpoints that are missing, one for each back end in
// turn, those first that have the smallest part of what their top tiers need.
func (r *round) startTop() {
	for r.loads > 0 {
		pool := r.neediest(topOf)
		if pool == nil {
			return
		}
		r.start(pool, entity.Firm)
	}
}

// topOf returns how many firm endpoints a pool has and wants. It wants one more
// than its target when they are spread so unevenly that the loss of a domain
// would leave too few.
func topOf(p *pool) (have, want int) {
	have, want = total(p.firm), p.start.firm
	if have >= want && len(p.firm) > 1 && want > p.start.top && have-most(p.firm) < p.start.top {
		return have, have + 1
	}
	return have, want
}

func most(byDomain map[string]int) (greatest int) {
	for _, count := range byDomain {
		greatest = max(greatest, count)
	}
	return greatest
}

// startRest starts what is missing for the other tiers: cheap endpoints, or firm
// ones when no domain has cheap ones to give.
func (r *round) startRest() {
	for r.loads > 0 {
		pool := r.neediest(r.restOf)
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

// restOf returns how many endpoints a pool has and wants beside the firm ones of
// its top tiers. Firm endpoints beyond those stand in for cheap ones as long as
// there are none to have.
func (r *round) restOf(p *pool) (have, want int) {
	extra := max(0, total(p.firm)-p.start.firm)
	if len(r.domains(entity.Cheap)) > 0 {
		extra = 0
	}
	return total(p.cheap) + extra, p.start.cheap
}

// neediest returns the pool that has the smallest part of what it wants; nil when
// none wants more.
func (r *round) neediest(of func(p *pool) (have, want int)) (found *pool) {
	least := math.Inf(1)
	for _, p := range r.pools {
		have, want := of(p)
		if have >= want || total(p.firm)+total(p.cheap) >= p.backend.MaxEndpoints {
			continue
		}
		if part := float64(have) / float64(want); part < least {
			least, found = part, p
		}
	}
	return found
}

// start orders an endpoint in the domain that has the fewest of the pool's.
func (r *round) start(p *pool, market entity.Market) {
	domains := r.domains(market)
	if len(domains) == 0 {
		r.loads = 0
		return
	}
	counts := p.in(market)
	domain := slices.MinFunc(domains, func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[a], counts[b]), cmp.Compare(p.firm[a]+p.cheap[a], p.firm[b]+p.cheap[b]), cmp.Compare(a, b))
	})
	r.orders = append(r.orders, order.Order{
		Kind: order.Start, Backend: p.backend.Name, FailureDomain: domain, Market: market,
		Model: p.backend.Model, Version: p.backend.Version,
	})
	r.loads--
	p.add(Endpoint{
		Endpoint: entity.Endpoint{Backend: p.backend.Name, FailureDomain: domain, Market: market},
		Starting: true,
	})
}

// stop orders at most one endpoint to stop: a firm one that stands in for cheap
// ones that run again, otherwise a cheap one, otherwise a firm one.
func (r *round) stop(p *pool) {
	last, stoppedBefore := r.stopped[p.backend.Name]
	settled := r.in.Now-r.began >= r.settings.PeakWindow
	if !settled || (stoppedBefore && r.in.Now-last < r.settings.StopInterval) {
		return
	}
	firm, cheap := total(p.firm), total(p.cheap)
	surplus := firm + cheap - p.starting() - max(p.keep.firm+p.keep.cheap, p.backend.MinEndpoints)
	if surplus <= 0 {
		return
	}
	market := entity.Cheap
	if firm > p.keep.firm {
		market = entity.Firm
	} else if cheap == 0 {
		return
	}
	victim, found := p.victim(market)
	if !found {
		return
	}
	r.stopped[p.backend.Name] = r.in.Now
	r.ordered[victim.ID] = true
	r.orders = append(r.orders, order.Order{
		Kind: order.Stop, Backend: p.backend.Name, FailureDomain: victim.FailureDomain, Market: market, EndpointID: victim.ID,
	})
}

// starting returns how many endpoints do not run yet. They do not make others
// superfluous.
func (p *pool) starting() (count int) {
	for _, e := range p.usable {
		if e.Starting {
			count++
		}
	}
	return count
}

// victim returns the endpoint of a market to stop: in the domain with the most,
// the one that runs the fewest requests.
func (p *pool) victim(market entity.Market) (victim Endpoint, found bool) {
	counts := p.in(market)
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
		firm, cheap := total(p.firm), total(p.cheap)
		r.report.FirmEndpoints += firm
		r.report.CheapEndpoints += cheap
		running := len(p.usable) - p.starting()
		r.report.MissingTop += max(0, p.start.top-running)
		r.report.MissingTotal += max(0, p.start.all-running)
	}
	if all := r.report.FirmEndpoints + r.report.CheapEndpoints; all > 0 {
		r.report.CheapShare = float64(r.report.CheapEndpoints) / float64(all)
	}
	for _, domain := range r.in.Domains {
		if r.in.Now < r.askFrom[Refusal{FailureDomain: domain, Market: entity.Cheap}] {
			r.report.CheapUnavailable = append(r.report.CheapUnavailable, domain)
		}
	}
}
