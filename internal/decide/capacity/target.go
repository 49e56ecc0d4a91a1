package capacity

import "math"

// target is how many endpoints of a back end should run.
type target struct {
	firm  int
	cheap int
	// top is how many endpoints the top tiers need, after any loss.
	top int
	// all is how many endpoints all tiers need.
	all int
}

// load is the demand for one back end, in slots.
type load struct {
	top float64
	all float64
}

func (l load) max(other load) load {
	return load{top: math.Max(l.top, other.top), all: math.Max(l.all, other.all)}
}

// endpointsFor returns how many endpoints serve a number of slots.
func endpointsFor(slots float64, b Backend, utilization float64) int {
	// The small subtraction keeps rounding errors from asking for one more.
	return int(math.Ceil(slots/(float64(b.Slots)*utilization) - 1e-9))
}

// firmFor returns the least number of endpoints, spread evenly over the domains,
// of which need are left when the domain with the most is lost.
func firmFor(need, domains int) int {
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
		top: endpointsFor(l.top, b, utilization),
		all: endpointsFor(l.all, b, utilization),
	}
	t.firm = max(firmFor(t.top, domains), min(b.MinEndpoints, min(2, domains)))
	total := max(t.all, t.firm, b.MinEndpoints)
	if b.FirmOnly {
		t.firm = total
	}
	t.firm = min(t.firm, b.MaxEndpoints)
	t.cheap = max(0, min(total, b.MaxEndpoints)-t.firm)
	return t
}
