package verdict

import (
	"github.com/banyanshift/banyanshift/internal/standin/load"
)

// teamShare is a team's demand and served work, in tokens, within a class of a
// back end.
type teamShare struct {
	weight float64
	wanted float64
	served float64
}

// servedRatios returns served/deserved for every team within every class and back
// end. Deserved is the weighted max-min fair share of what was served in all.
func (e *evaluation) servedRatios() []float64 {
	weights := make(map[string]float64)
	for _, team := range e.in.Scenario.Teams {
		weights[team.Name] = float64(team.Weight)
	}
	pools := make(map[backendClass]map[string]*teamShare)
	for _, call := range e.in.Calls {
		outcome := call.Outcome()
		if !e.expectedToBeServed(call) || call.Team == "" || call.Class == "" || outcome == load.Cancelled || call.Sent() == 0 {
			continue
		}
		key := backendClass{backend: call.Backend, class: call.Class}
		if pools[key] == nil {
			pools[key] = make(map[string]*teamShare)
		}
		if pools[key][call.Team] == nil {
			pools[key][call.Team] = &teamShare{weight: weights[call.Team]}
		}
		work := float64(max(1, call.OutputTokens))
		pools[key][call.Team].wanted += work
		if outcome == load.Completed {
			pools[key][call.Team].served += work
		}
	}
	var ratios []float64
	for _, teams := range pools {
		ratios = append(ratios, poolRatios(teams)...)
	}
	return ratios
}

// poolRatios returns served/deserved for the teams of one class and back end.
func poolRatios(teams map[string]*teamShare) []float64 {
	total := 0.0
	for _, team := range teams {
		total += team.served
	}
	level := fairLevel(teams, total)
	var ratios []float64
	for _, team := range teams {
		deserved := min(team.wanted, level*team.weight)
		if deserved > 0 {
			ratios = append(ratios, min(1, team.served/deserved))
		}
	}
	return ratios
}

// fairLevel returns, by bisection, the level at which the teams' shares add up
// to total. A team's share is the smaller of its demand and level times its
// weight.
func fairLevel(teams map[string]*teamShare, total float64) float64 {
	low, high := 0.0, 0.0
	for _, team := range teams {
		high = max(high, team.wanted/team.weight)
	}
	const rounds = 60
	for range rounds {
		level := (low + high) / 2
		sum := 0.0
		for _, team := range teams {
			sum += min(team.wanted, level*team.weight)
		}
		if sum < total {
			low = level
		} else {
			high = level
		}
	}
	return high
}

// fairness returns the lowest ratio and Jain's fairness index of all ratios.
func fairness(ratios []float64) (worst, jain float64) {
	if len(ratios) == 0 {
		return 0, 0
	}
	worst = ratios[0]
	sum, squares := 0.0, 0.0
	for _, ratio := range ratios {
		worst = min(worst, ratio)
		sum += ratio
		squares += ratio * ratio
	}
	if squares == 0 {
		return worst, 0
	}
	return worst, sum * sum / (float64(len(ratios)) * squares)
}
