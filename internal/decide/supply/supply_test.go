package supply_test

import (
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/decide/supply"
)

var scaling = document.Scaling{Min: 1, Max: 6, CheapPrice: 0.2, DomainPrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25}}

func input(busy float64, serving int, cheap ...int) supply.Input {
	in := supply.Input{Backend: document.Backend{Name: "books", Scaling: &scaling}, PromptLoad: busy, ServingEndpoints: serving}
	for i, n := range cheap {
		in.Domains = append(in.Domains, supply.Domain{Name: string(rune('a' + i)), CheapEndpoints: n})
	}
	return in
}

// total sums the orders of a kind, and fails where a failure domain is ordered
// more than the back end may have.
func total(t *testing.T, orders []supply.Order, cheap bool) int {
	t.Helper()
	sum := 0
	domains := map[string]int{}
	for _, order := range orders {
		domains[order.FailureDomain] += order.Count
		if order.Count < 0 || domains[order.FailureDomain] > scaling.Max {
			t.Errorf("ordered %+v", orders)
		}
		if order.Cheap == cheap {
			sum += order.Count
		}
	}
	return sum
}

func TestCheapEndpointsCarryTheBulk(t *testing.T) {
	orders := supply.New().Decide(0, input(1, 15, 5, 5, 5))
	if firm, cheap := total(t, orders, false), total(t, orders, true); firm != 2 || cheap != 16 {
		t.Errorf("ordered %d firm and %d cheap", firm, cheap)
	}
}

func TestEveryDomainKeepsAnEndpointWithoutCheapOnes(t *testing.T) {
	for _, order := range supply.New().Decide(0, input(1, 10, 5, 5, 0)) {
		if order.FailureDomain == "c" && !order.Cheap && order.Count < 1 {
			t.Error("the dearest failure domain must not be left empty")
		}
	}
}

func TestReclaimedEndpointsAreReplacedUnderLoad(t *testing.T) {
	idle := supply.New().Decide(0, input(1, 12, 5, 0, 5))
	loaded := supply.New().Decide(0, input(6, 12, 5, 0, 5))
	if total(t, loaded, false) <= total(t, idle, false) {
		t.Errorf("ordered %d firm endpoints under load, %d without", total(t, loaded, false), total(t, idle, false))
	}
}

func TestReplacementsAreNotOrderedForAMoment(t *testing.T) {
	p := supply.New()
	loaded := total(t, p.Decide(0, input(6, 12, 5, 0, 5)), false)
	if soon := total(t, p.Decide(2*clock.Second, input(1, 12, 5, 0, 5)), false); soon != loaded {
		t.Errorf("%d firm endpoints 2 s after %d", soon, loaded)
	}
	if late := total(t, p.Decide(20*clock.Second, input(1, 12, 5, 0, 5)), false); late >= loaded {
		t.Errorf("still %d firm endpoints when the load is gone", late)
	}
}

// TestNothingIsTakenAwayUnderLoad: firm endpoints stay while the cheap ones that
// they replace come back, since an endpoint that leaves loses what waits there.
func TestNothingIsTakenAwayUnderLoad(t *testing.T) {
	p := supply.New()
	before := total(t, p.Decide(0, input(6, 12, 0, 0, 5)), false)
	for now := clock.Second; now < 6*clock.Second; now += clock.Second {
		cheap := int(min(now/clock.Second, 3))
		orders := p.Decide(now, input(6, 12, cheap, cheap, 5))
		if firm := total(t, orders, false); firm < before {
			t.Fatalf("%d firm endpoints after %v, %d before", firm, now, before)
		}
		total(t, orders, true)
	}
}

func TestOthersScaleNothing(t *testing.T) {
	if orders := supply.New().Decide(0, supply.Input{Backend: document.Backend{Name: "desk"}}); len(orders) != 0 {
		t.Errorf("ordered %v", orders)
	}
	fixed := document.Scaling{Min: 2, Max: 4}
	orders := supply.New().Decide(0, supply.Input{Backend: document.Backend{Name: "books", Scaling: &fixed}, Domains: []supply.Domain{{Name: "a"}}})
	if len(orders) != 2 || orders[0].Count != 3 || orders[1].Count != 0 {
		t.Errorf("without cheap endpoints: %v", orders)
	}
}
