package capacity

import "math"

// target is the desired number of endpoints of a back end.
type target struct {
	firm  int
	cheap int
	// topTiers is how many endpoints the top tiers need after the loss of a domain.
	topTiers int
	// allTiers is how many endpoints all tiers need.
	allTiers int
}

// load is the demand for one back end, in slots.
type load struct {
	topTiers float64
	allTiers float64
}

func (l load) max(other load) load {
	return load{topTiers: math.Max(l.topTiers, other.topTiers), allTiers: math.Max(l.allTiers, other.allTiers)}
}

// endpointsFor returns how many endpoints are needed for a number of slots.
func endpointsFor(slots float64, b Backend, utilization float64) int {
	// Subtracting 1e-9 keeps rounding errors from adding one endpoint.
	return int(math.Ceil(slots/(float64(b.Slots)*utilization) - 1e-9))
}

// firmEndpointsFor returns the smallest number of endpoints, spread evenly over the
// domains, of which need remain after the loss of the domain with the most.
func firmEndpointsFor(need, domains int) int {
	if need == 0 || domains < 2 {
		return need
	}
	firm := need + 1
	for firm-(firm+domains-1)/domains < need {
		firm++
	}
	return firm
}

// targetFor returns how many endpoints a load needs.
func targetFor(l load, b Backend, domains int, utilization float64) target {
	t := target{
		topTiers: endpointsFor(l.topTiers, b, utilization),
		allTiers: endpointsFor(l.allTiers, b, utilization),
	}
	t.firm = max(firmEndpointsFor(t.topTiers, domains), min(b.MinEndpoints, min(2, domains)))
	total := max(t.allTiers, t.firm, b.MinEndpoints)
	if b.FirmOnly {
		t.firm = total
	}
	t.firm = min(t.firm, b.MaxEndpoints)
	t.cheap = max(0, min(total, b.MaxEndpoints)-t.firm)
	return t
}
