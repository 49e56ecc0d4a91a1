package supply_test

import (
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/decide/supply"
)

var scaling = document.Scaling{MinEndpoints: 1, MaxEndpoints: 6, CheapPriceRatio: 0.2, DomainPrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25}}

// input returns an Input with the numbers of cheap endpoints in the failure
// domains a, b and so on.
func input(promptLoad float64, serving int, cheap ...int) supply.Input {
	in := supply.Input{Backend: document.Backend{Name: "books", Scaling: &scaling}, PromptLoad: promptLoad, ServingEndpoints: serving}
	for i, n := range cheap {
		in.Domains = append(in.Domains, supply.Domain{Name: string(rune('a' + i)), CheapEndpoints: n})
	}
	return in
}

// total returns the sum of the firm or cheap orders. It fails the test if the
// orders for a failure domain exceed the maximum of the back end.
func total(t *testing.T, orders []supply.Order, cheap bool) int {
	t.Helper()
	sum := 0
	domains := map[string]int{}
	for _, order := range orders {
		domains[order.FailureDomain] += order.Count
		if order.Count < 0 || domains[order.FailureDomain] > scaling.MaxEndpoints {
			t.Errorf("got orders %+v, want 0 to 6 endpoints in each failure domain", orders)
		}
		if order.Cheap == cheap {
			sum += order.Count
		}
	}
	return sum
}

func TestMostEndpointsAreCheap(t *testing.T) {
	orders := supply.New().Decide(0, input(1, 15, 5, 5, 5))
	if firm, cheap := total(t, orders, false), total(t, orders, true); firm != 2 || cheap != 16 {
		t.Errorf("got %d firm and %d cheap endpoints, want 2 and 16", firm, cheap)
	}
}

func TestDomainWithoutCheapEndpointsHasFirmOne(t *testing.T) {
	for _, order := range supply.New().Decide(0, input(1, 10, 5, 5, 0)) {
		if order.FailureDomain == "c" && !order.Cheap && order.Count < 1 {
			t.Error("got no endpoint in the most expensive failure domain, want a firm one")
		}
	}
}

func TestReclaimedEndpointsAreReplacedUnderLoad(t *testing.T) {
	idle := supply.New().Decide(0, input(1, 12, 5, 0, 5))
	loaded := supply.New().Decide(0, input(6, 12, 5, 0, 5))
	if total(t, loaded, false) <= total(t, idle, false) {
		t.Errorf("got %d firm endpoints under load and %d without, want more under load", total(t, loaded, false), total(t, idle, false))
	}
}

func TestReplacementsOutlastShortLoad(t *testing.T) {
	p := supply.New()
	loaded := total(t, p.Decide(0, input(6, 12, 5, 0, 5)), false)
	if soon := total(t, p.Decide(2*clock.Second, input(1, 12, 5, 0, 5)), false); soon != loaded {
		t.Errorf("got %d firm endpoints 2 s after the load, want %d", soon, loaded)
	}
	if late := total(t, p.Decide(20*clock.Second, input(1, 12, 5, 0, 5)), false); late >= loaded {
		t.Errorf("got %d firm endpoints 20 s after the load, want fewer than under load", late)
	}
}

// TestFirmEndpointsAreNotRemovedUnderLoad checks that firm endpoints stay under
// load while the cheap ones that they replace come back, because requests that
// wait at a removed endpoint are lost.
func TestFirmEndpointsAreNotRemovedUnderLoad(t *testing.T) {
	p := supply.New()
	before := total(t, p.Decide(0, input(6, 12, 0, 0, 5)), false)
	for now := clock.Second; now < 6*clock.Second; now += clock.Second {
		cheap := int(min(now/clock.Second, 3))
		orders := p.Decide(now, input(6, 12, cheap, cheap, 5))
		if firm := total(t, orders, false); firm < before {
			t.Fatalf("got %d firm endpoints after %v, want at least %d", firm, now, before)
		}
		total(t, orders, true)
	}
}

func TestBackendsWithoutScalingOrCheapEndpoints(t *testing.T) {
	if orders := supply.New().Decide(0, supply.Input{Backend: document.Backend{Name: "desk"}}); len(orders) != 0 {
		t.Errorf("got orders %v for a back end without scaling, want none", orders)
	}
	fixed := document.Scaling{MinEndpoints: 2, MaxEndpoints: 4}
	orders := supply.New().Decide(0, supply.Input{Backend: document.Backend{Name: "books", Scaling: &fixed}, Domains: []supply.Domain{{Name: "a"}}})
	if len(orders) != 2 || orders[0].Count != 3 || orders[1].Count != 0 {
		t.Errorf("got orders %v for a back end without cheap endpoints, want 3 firm and 0 cheap", orders)
	}
}

// TestOrdersStayWithinTheLimits tries all small states of a failure domain, one after
// another at one planner: a platform refuses counts that are negative or exceed the
// maximum together.
func TestOrdersStayWithinTheLimits(t *testing.T) {
	for maximum := 1; maximum <= 6; maximum++ {
		planner := supply.New()
		scaling := &document.Scaling{MinEndpoints: 1, MaxEndpoints: maximum, CheapPriceRatio: 0.2, DomainPrices: map[string]float64{"a": 1, "b": 2}}
		backend := document.Backend{Name: "books", Scaling: scaling}
		for step := range 200 {
			cheapA, cheapB, promptLoad := step%10, step/10%10, float64(step%3)*5
			orders := planner.Decide(clock.Millis(step)*clock.Second, supply.Input{
				Backend: backend, Domains: []supply.Domain{{Name: "a", CheapEndpoints: cheapA}, {Name: "b", CheapEndpoints: cheapB}},
				PromptLoad: promptLoad, ServingEndpoints: 5,
			})
			sums := make(map[string]int)
			for _, order := range orders {
				sums[order.FailureDomain] += order.Count
				if order.Count < 0 {
					t.Fatalf("maximum %d, cheap endpoints %d and %d: order %+v", maximum, cheapA, cheapB, order)
				}
			}
			if sums["a"] > maximum || sums["b"] > maximum {
				t.Fatalf("maximum %d, cheap endpoints %d and %d: orders %+v", maximum, cheapA, cheapB, orders)
			}
		}
	}
}
