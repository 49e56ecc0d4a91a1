package capacity

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/platform/order"
)

// region simulates a platform that executes orders, in steps of one second.
type region struct {
	planner   *Planner
	now       clock.Millis
	domains   []string
	backends  []Backend
	demands   []Demand
	endpoints []Endpoint
	ready     map[string]clock.Millis
	// noCheap holds the domains that have no cheap endpoints available.
	noCheap map[string]bool
	refused []Refusal
	starts  int
	stops   int
	// maxLoading is how many endpoints were loading weights at the same time.
	maxLoading int
	lastReport Report
}

func newRegion(backends ...Backend) *region {
	return &region{
		planner: New(DefaultSettings()), domains: []string{"a", "b", "c"}, backends: backends,
		ready: map[string]clock.Millis{}, noCheap: map[string]bool{},
	}
}

func model(name string) Backend {
	return Backend{Backend: entity.Backend{Name: name, Type: entity.Model, Model: name, Version: "1", Slots: 8, MaxEndpoints: 40}}
}

// step advances the time by a number of seconds, with one decision in each.
func (r *region) step(seconds int) {
	for range seconds {
		r.now += clock.Second
		r.finishStarts()
		decision := r.planner.Decide(Input{
			Now: r.now, Backends: r.backends, Demands: r.demands, Endpoints: r.endpoints, Domains: r.domains, Refused: r.refused,
		})
		r.refused, r.lastReport = nil, decision.Report
		for _, given := range decision.Orders {
			r.execute(given)
		}
		loading := 0
		for _, e := range r.endpoints {
			if e.Starting || e.Loading {
				loading++
			}
		}
		r.maxLoading = max(r.maxLoading, loading)
	}
}

func (r *region) finishStarts() {
	for i := range r.endpoints {
		e := &r.endpoints[i]
		if (e.Starting || e.Loading) && r.now >= r.ready[e.ID] {
			e.Starting, e.Loading = false, false
		}
	}
}

const loadTime = 5 * clock.Second

func (r *region) execute(given order.Order) {
	switch given.Kind {
	case order.Start:
		if given.Market == entity.Cheap && r.noCheap[given.FailureDomain] {
			r.refused = append(r.refused, Refusal{FailureDomain: given.FailureDomain, Market: given.Market})
			return
		}
		r.starts++
		given.EndpointID = fmt.Sprint(given.Backend, "-", r.starts)
		r.ready[given.EndpointID] = r.now + loadTime
		price := int64(4000)
		if given.Market == entity.Cheap {
			price = 1200
		}
		r.endpoints = append(r.endpoints, Endpoint{Starting: true, Model: given.Model, Version: given.Version, Endpoint: entity.Endpoint{
			ID: given.EndpointID, Backend: given.Backend, FailureDomain: given.FailureDomain, Market: given.Market, MilliPrice: price,
		}})
	case order.Stop:
		r.stops++
		r.remove(func(e Endpoint) bool { return e.ID == given.EndpointID })
	case order.LoadModel:
		e := r.find(given.EndpointID)
		e.Loading, e.Model, e.Version = true, given.Model, given.Version
		r.ready[e.ID] = r.now + loadTime
	case order.LoadAdapter:
		e := r.find(given.EndpointID)
		e.Adapters = append(e.Adapters, given.Adapter)
	case order.SetRole:
		r.find(given.EndpointID).Role = given.Role
	}
}

func (r *region) find(id string) *Endpoint {
	for i := range r.endpoints {
		if r.endpoints[i].ID == id {
			return &r.endpoints[i]
		}
	}
	panic("order for unknown endpoint " + id)
}

func (r *region) remove(which func(Endpoint) bool) {
	var kept []Endpoint
	for _, e := range r.endpoints {
		if !which(e) {
			kept = append(kept, e)
		}
	}
	r.endpoints = kept
}

func (r *region) count(market entity.Market) (count int) {
	for _, e := range r.endpoints {
		if e.Market == market && !e.Leaving {
			count++
		}
	}
	return count
}

// serving returns how many endpoints run.
func (r *region) serving() (count int) {
	for _, e := range r.endpoints {
		if !e.Starting && !e.Leaving {
			count++
		}
	}
	return count
}

func (r *region) survivors(market entity.Market) int {
	byDomain := map[string]int{}
	for _, e := range r.endpoints {
		if e.Market == market {
			byDomain[e.FailureDomain]++
		}
	}
	return sumCounts(byDomain) - maxCount(byDomain)
}

func demandsFor(backend string, top, rest float64) []Demand {
	return []Demand{{Backend: backend, Tier: 0, Running: top}, {Backend: backend, Tier: 3, Running: rest}}
}

func TestFirmEndpointsFor(t *testing.T) {
	for _, c := range []struct{ need, domains, want int }{
		{0, 3, 0}, {1, 3, 2}, {2, 3, 3}, {4, 3, 6}, {5, 3, 8}, {4, 2, 8}, {3, 1, 3}, {100, 4, 134},
	} {
		if got := firmEndpointsFor(c.need, c.domains); got != c.want {
			t.Errorf("firmEndpointsFor(%d, %d) = %d, want %d", c.need, c.domains, got, c.want)
		}
	}
}

func TestTopTiersSurviveLossOfLargestDomainAndCheapServesTheRest(t *testing.T) {
	r := newRegion(model("m"))
	r.demands = demandsFor("m", 25, 38) // 4 endpoints for the top, 10 for all
	r.step(60)
	if r.survivors(entity.Firm) < 4 || r.count(entity.Firm) != 6 || r.count(entity.Cheap) != 4 {
		t.Fatalf("%d firm and %d cheap endpoints, %d firm after the loss of a domain; want 6, 4 and at least 4", r.count(entity.Firm), r.count(entity.Cheap), r.survivors(entity.Firm))
	}
	if r.maxLoading > r.planner.settings.MaxConcurrentLoads {
		t.Errorf("%d endpoints loaded weights at the same time, want at most MaxConcurrentLoads", r.maxLoading)
	}
	if r.lastReport.CheapShare != 0.4 || r.lastReport.MilliPrice != 6*4000+4*1200 {
		t.Errorf("report %+v, want CheapShare 0.4 and the price of 6 firm and 4 cheap endpoints", r.lastReport)
	}
}

func TestNothingChangesUnderSteadyDemand(t *testing.T) {
	r := newRegion(model("m"), model("n"))
	r.demands = append(demandsFor("m", 25, 38), demandsFor("n", 3, 0)...)
	r.step(60)
	starts := r.starts
	r.step(1800)
	if r.starts != starts || r.stops != 0 {
		t.Fatalf("%d more starts and %d stops, want none", r.starts-starts, r.stops)
	}
}

// TestWavesDoNotFlap checks that demand that rises and falls every two minutes
// doesn't stop and start endpoints.
func TestWavesDoNotFlap(t *testing.T) {
	r := newRegion(model("m"))
	for wave := range 10 {
		r.demands = demandsFor("m", 20, float64(20+40*(wave%2)))
		r.step(120)
	}
	if r.starts != 13 || r.stops != 0 { // 13 endpoints serve the greatest demand
		t.Fatalf("%d starts and %d stops, want 13 and 0", r.starts, r.stops)
	}
	r.demands = demandsFor("m", 0, 0)
	r.step(1200)
	if len(r.endpoints) != 0 {
		t.Fatalf("%d endpoints run without demand, want none", len(r.endpoints))
	}
}

func TestReclaimedDomainIsReplacedElsewhere(t *testing.T) {
	r := newRegion(model("m"))
	r.demands = demandsFor("m", 25, 60)
	r.step(60)
	for i := range r.endpoints {
		if e := &r.endpoints[i]; e.Market == entity.Cheap && e.FailureDomain == "a" {
			e.Leaving, e.ReclaimIn = true, 5*clock.Second
		}
	}
	r.noCheap["a"] = true
	r.step(5)
	r.remove(func(e Endpoint) bool { return e.Leaving })
	r.step(20)
	for _, e := range r.endpoints {
		if e.Market == entity.Cheap && e.FailureDomain == "a" {
			t.Fatalf("cheap endpoint %s started in domain a, which reclaimed endpoints", e.ID)
		}
	}
	if got := r.count(entity.Cheap) + r.count(entity.Firm); got != 14 || r.count(entity.Firm) != 6 {
		t.Fatalf("%d endpoints, %d of them firm; want 14 and 6", got, r.count(entity.Firm))
	}
}

func TestFirmReplacesCheapWhileNoneAreAvailable(t *testing.T) {
	r := newRegion(model("m"))
	for _, domain := range r.domains {
		r.noCheap[domain] = true
	}
	r.demands = demandsFor("m", 25, 38)
	r.step(60)
	if r.count(entity.Firm) != 10 || r.count(entity.Cheap) != 0 || len(r.lastReport.CheapUnavailable) != 3 {
		t.Fatalf("%d firm and %d cheap endpoints, cheap unavailable in %v; want 10, 0 and all 3 domains", r.count(entity.Firm), r.count(entity.Cheap), r.lastReport.CheapUnavailable)
	}
	clear(r.noCheap)
	lowest := 100
	for range 900 {
		r.step(1)
		lowest = min(lowest, r.serving())
	}
	if r.count(entity.Firm) != 6 || r.count(entity.Cheap) != 4 || lowest < 10 {
		t.Fatalf("%d firm and %d cheap endpoints, at least %d running; want 6, 4 and 10", r.count(entity.Firm), r.count(entity.Cheap), lowest)
	}
}

func TestLostDomainIsReplacedAndBalancedAgain(t *testing.T) {
	r := newRegion(model("m"))
	r.demands = demandsFor("m", 25, 0)
	r.step(60)
	r.remove(func(e Endpoint) bool { return e.FailureDomain == "a" })
	r.domains = []string{"b", "c"}
	r.step(60)
	if r.survivors(entity.Firm) < 4 {
		t.Fatalf("%d firm endpoints left after the loss of a second domain, want at least 4", r.survivors(entity.Firm))
	}
	r.domains = []string{"a", "b", "c"}
	r.step(1800)
	if r.survivors(entity.Firm) < 4 || r.count(entity.Firm) != 6 {
		t.Fatalf("%d firm endpoints, %d after the loss of a domain; want 6 and at least 4", r.count(entity.Firm), r.survivors(entity.Firm))
	}
}

func TestBackendLimits(t *testing.T) {
	small, firmOnly := model("small"), model("firm")
	small.MinEndpoints, small.MaxEndpoints = 3, 5
	firmOnly.FirmOnly, firmOnly.MinEndpoints = true, 1
	r := newRegion(small, firmOnly)
	r.step(60)
	if len(r.endpoints) != 4 {
		t.Fatalf("%d endpoints without demand, want 4", len(r.endpoints))
	}
	r.demands = append(demandsFor("small", 60, 60), demandsFor("firm", 0, 40)...)
	r.step(60)
	count := map[string]int{}
	for _, e := range r.endpoints {
		count[e.Backend]++
		if e.Backend == "firm" && e.Market == entity.Cheap {
			t.Errorf("cheap endpoint started for a FirmOnly back end")
		}
	}
	if count["small"] != 5 || count["firm"] != 7 {
		t.Fatalf("endpoints by back end: %v, want 5 of small and 7 of firm", count)
	}
}

func TestWaitingRequestsCountByTheirServiceTime(t *testing.T) {
	d := Demand{Running: 4, Waiting: 90, ServiceTime: 2 * clock.Second}
	if got := d.slots(30 * clock.Second); got != 10 {
		t.Errorf("%g slots, want 10", got)
	}
	d.ServiceTime = 0
	if got := d.slots(30 * clock.Second); got != 94 {
		t.Errorf("%g slots with unknown service time, want 94", got)
	}
}

func TestModelChangesOneEndpointAtATime(t *testing.T) {
	r := newRegion(model("m"))
	r.demands = demandsFor("m", 25, 38)
	r.step(60)
	r.backends[0].Version = "2"
	r.backends[0].Adapters = []string{"ledger", "grain"}
	r.maxLoading = 0
	r.step(200)
	for _, e := range r.endpoints {
		if e.Version != "2" || len(e.Adapters) != 2 {
			t.Errorf("%s has version %s and adapters %v, want version 2 and 2 adapters", e.ID, e.Version, e.Adapters)
		}
	}
	if r.maxLoading != 1 {
		t.Errorf("%d endpoints changed their model at the same time, want 1", r.maxLoading)
	}
}

func TestRoles(t *testing.T) {
	r := newRegion(model("m"))
	r.backends[0].PrefillShare = 0.25
	r.demands = demandsFor("m", 25, 38)
	r.step(1200)
	roles := map[string]int{}
	for _, e := range r.endpoints {
		roles[e.Role]++
	}
	if roles[RolePrefill] != 3 || roles[RoleDecode] != 7 { // a quarter of 10, rounded
		t.Fatalf("endpoints by role: %v, want 3 Prefill and 7 Decode", roles)
	}
	r.demands = demandsFor("m", 5, 0)
	r.step(3600)
	for _, e := range r.endpoints {
		if e.Role != RoleMixed {
			t.Errorf("%s of %d endpoints has role %s, want Mixed", e.ID, len(r.endpoints), e.Role)
		}
	}
}

func TestNewPlannerStopsNothingDuringPeakWindow(t *testing.T) {
	r := newRegion(model("m"))
	r.demands = demandsFor("m", 25, 38)
	r.step(60)
	r.planner = New(DefaultSettings())
	r.demands = nil // the brokers have not reported their demand yet
	r.step(290)
	if r.stops != 0 {
		t.Fatalf("%d stops, want none", r.stops)
	}
}

// TestCapacityUnderRandomEvents changes demand, markets and domains at random. The
// concurrent loads and the endpoints of each back end must always stay within their
// limits. In the end, the numbers of firm and cheap endpoints must match the demand.
func TestCapacityUnderRandomEvents(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 15
	properties := gopter.NewProperties(parameters)
	properties.Property("stays within limits and reaches the targets", prop.ForAll(func(seed uint64) string {
		rng := rand.New(rand.NewPCG(seed, 4))
		r := newRegion(model("m"), model("n"))
		for range 30 {
			r.event(rng)
			r.step(1 + rng.IntN(60))
			if r.maxLoading > r.planner.settings.MaxConcurrentLoads+2 { // one model change for each back end
				return fmt.Sprintf("%d concurrent loads", r.maxLoading)
			}
			for _, b := range r.backends {
				if n := r.countOf(b.Name); n > b.MaxEndpoints {
					return fmt.Sprintf("%d endpoints of %s, more than MaxEndpoints", n, b.Name)
				}
			}
		}
		clear(r.noCheap)
		r.domains = []string{"a", "b", "c"}
		r.demands = append(demandsFor("m", 25, 38), demandsFor("n", 10, 30)...)
		r.step(2000)
		if r.count(entity.Firm) != 6+3 || r.count(entity.Cheap) != 4+4 {
			return fmt.Sprintf("%d firm and %d cheap endpoints in the end, want 9 and 8", r.count(entity.Firm), r.count(entity.Cheap))
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func (r *region) countOf(backend string) (count int) {
	for _, e := range r.endpoints {
		if e.Backend == backend {
			count++
		}
	}
	return count
}

func (r *region) event(rng *rand.Rand) {
	domain := []string{"a", "b", "c"}[rng.IntN(3)]
	switch rng.IntN(5) {
	case 0, 1:
		r.demands = append(demandsFor("m", float64(rng.IntN(100)), float64(rng.IntN(200))), demandsFor("n", float64(rng.IntN(30)), float64(rng.IntN(300)))...)
	case 2:
		r.noCheap[domain] = !r.noCheap[domain]
	case 3:
		r.remove(func(e Endpoint) bool { return e.Market == entity.Cheap && e.FailureDomain == domain })
	case 4:
		r.remove(func(e Endpoint) bool { return e.FailureDomain == domain })
	}
}

func BenchmarkDecide(b *testing.B) {
	var backends []Backend
	var demands []Demand
	for i := range 13 {
		backends = append(backends, model(fmt.Sprint("m", i)))
		backends[i].MaxEndpoints = 400
		demands = append(demands, demandsFor(backends[i].Name, 200, 300)...)
	}
	r := newRegion(backends...)
	r.planner.settings.MaxConcurrentLoads = 100
	r.demands = demands
	r.step(200)
	b.Logf("%d endpoints", len(r.endpoints))
	b.ReportAllocs()
	for b.Loop() {
		r.now += clock.Second
		r.planner.Decide(Input{Now: r.now, Backends: r.backends, Demands: r.demands, Endpoints: r.endpoints, Domains: r.domains})
	}
}
