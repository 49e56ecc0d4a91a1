package replay

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/decide/cell"
)

// The fleet of the tests: 9 endpoints of 8 slots, 20 ms for a token and about
// 100 tokens for an answer, which is 36 requests or 3600 tokens a second.
func fleet(policy Policy) Config {
	return Config{
		Policy: policy, Seed: 1, Daemons: 8, Endpoints: 9, Slots: 8,
		PerToken: 20, Prefill: 8, Hop: 1, Lag: 500,
	}
}

func source(team string, tier int, rate float64) Source {
	return Source{
		Team: team, Weight: 1, Tier: tier, Rate: rate, Prompt: 200, Output: 100,
		Target: 800, MaxWait: 20 * clock.Second, Daemon: -1,
	}
}

func flood() Workload {
	w := Workload{Span: 30 * clock.Second, Daemons: 8, Skew: 0.3}
	for i := range 10 {
		w.Sources = append(w.Sources, source(fmt.Sprint("team", i), 1, 4.5))
	}
	w.Sources[0].Rate *= 10
	w.Sources[0].Daemon = 0
	return w
}

func burst(lower bool) Workload {
	w := Workload{Span: 40 * clock.Second, Daemons: 8, Skew: 0.3}
	for i := range 5 {
		w.Sources = append(w.Sources, source(fmt.Sprint("top", i), 0, 3))
	}
	if lower {
		batch := source("batch", 3, 108)
		batch.From, batch.Until = 10*clock.Second, 30*clock.Second
		batch.Target, batch.MaxWait = 5*clock.Second, 10*clock.Second
		w.Sources = append(w.Sources, batch)
	}
	return w
}

var policies = []Policy{RoundRobin, LeastOutstanding, LocalFair, Brokered}

func settled(t *testing.T, r Result) Result {
	t.Helper()
	if r.Unsettled > 0 {
		t.Fatalf("%d requests were neither answered nor refused", r.Unsettled)
	}
	return r
}

func TestFloodLeavesOthersTheirShare(t *testing.T) {
	for _, policy := range policies {
		config := fleet(policy)
		config.Until = 30 * clock.Second
		r := settled(t, Run(config, Record(1, flood())))
		t.Logf("%-16s worst served %.3f, Jain index %.3f", policy, r.WorstServed, r.JainIndex)
		if policy == Brokered && r.WorstServed < 0.9 {
			t.Errorf("worst served team got %.3f of its share, want at least 0.9", r.WorstServed)
		}
	}
}

func TestLowerBurstLeavesTopTierAlone(t *testing.T) {
	for _, policy := range policies {
		with := settled(t, Run(fleet(policy), Record(1, burst(true))))
		without := settled(t, Run(fleet(policy), Record(1, burst(false))))
		t.Logf("%-16s top tier %.3f, without the burst %.3f; lower done %d of %d",
			policy, with.Attainment[0], without.Attainment[0], with.Completed[3], with.Arrived[3])
		if policy == Brokered && with.Attainment[0] < without.Attainment[0]-0.02 {
			t.Errorf("top tier fell from %.3f to %.3f", without.Attainment[0], with.Attainment[0])
		}
	}
}

func TestStragglerGetsFewRequests(t *testing.T) {
	for _, policy := range policies {
		config := fleet(policy)
		config.Slow, config.SlowFrom = map[int]float64{3: 10}, 5*clock.Second
		r := Run(config, Record(1, burst(false)))
		t.Logf("%-16s top tier %.3f, given to the straggler %.4f", policy, r.Attainment[0], r.OnSlow)
		if policy == Brokered && r.OnSlow > 0.02 {
			t.Errorf("the straggler was given %.3f of the requests, want at most 0.02", r.OnSlow)
		}
	}
}

func TestLongOutputsGainNothing(t *testing.T) {
	long, short := source("long", 1, 20), source("short", 1, 120)
	long.Output, short.Output = 400, 40
	w := Workload{Span: 60 * clock.Second, Daemons: 8, Sources: []Source{long, short}}
	for _, policy := range policies {
		config := fleet(policy)
		config.Until = w.Span
		r := Run(config, Record(1, w))
		got := r.Teams["long"].Served / (r.Teams["long"].Served + r.Teams["short"].Served)
		t.Logf("%-16s the team with long outputs got %.3f of the work", policy, got)
		if policy == Brokered && (got < 0.4 || got > 0.6) {
			t.Errorf("the team with long outputs got %.3f of the work, want about half", got)
		}
	}
}

func TestNoClassStarvesUnderTopOverload(t *testing.T) {
	share := func(class string) float64 {
		return map[string]float64{"tier1": 0.1, "tier3": 0.05}[class]
	}
	top := source("top", 0, 72)
	top.Early = true
	w := Workload{Span: 60 * clock.Second, Daemons: 8, Sources: []Source{
		top, source("middle", 1, 20), source("low", 3, 20),
	}}
	config := fleet(Brokered)
	config.Share, config.Until = share, w.Span
	r := settled(t, Run(config, Record(1, w)))
	total := r.Teams["top"].Served + r.Teams["middle"].Served + r.Teams["low"].Served
	for team, want := range map[string]float64{"middle": 0.1, "low": 0.05} {
		got := r.Teams[team].Served / total
		t.Logf("%s got %.3f of the work, guaranteed %.2f", team, got, want)
		if got < 0.8*want {
			t.Errorf("%s got %.3f of the work, guaranteed %.2f", team, got, want)
		}
	}
	t.Logf("top tier attainment %.3f, completed %d of %d", r.Attainment[0], r.Completed[0], r.Arrived[0])
}

func TestTeamBackFromIdle(t *testing.T) {
	steady, back := source("steady", 1, 60), source("back", 1, 60)
	back.From = 30 * clock.Second
	w := Workload{Span: 60 * clock.Second, Daemons: 8, Sources: []Source{steady, back}}
	config := fleet(Brokered)
	served := map[clock.Millis]float64{}
	for _, until := range []clock.Millis{30, 40, 60} {
		config.Until = until * clock.Second
		r := Run(config, Record(1, w))
		served[until] = r.Teams["back"].Served
		served[-until] = r.Teams["steady"].Served
	}
	early := (served[40] - served[30]) / (served[40] - served[30] + served[-40] - served[-30])
	late := (served[60] - served[40]) / (served[60] - served[40] + served[-60] - served[-40])
	t.Logf("share of the returning team: %.3f in the first 10 s, %.3f afterwards", early, late)
	if early > 0.6 || early < 0.35 || late < 0.45 || late > 0.55 {
		t.Errorf("the returning team got %.3f, then %.3f; want about half", early, late)
	}
}

// violations watches the actions of a cell for what must never happen.
type violations struct {
	found []string
}

func (v *violations) watch(now clock.Millis, c *cell.Cell, action cell.Action, tier int) {
	switch action.Kind {
	case cell.Preempt:
		if action.Reason == cell.HigherTier && c.Queue().WaitingAbove(tier) == 0 {
			v.found = append(v.found, fmt.Sprintf("%d: tier %d preempted for no higher tier", now, tier))
		}
	case cell.Refuse:
		if action.Code != request.CodeOverloaded && action.Code != request.CodeTargetWouldBeMissed {
			return
		}
		for lower := tier + 1; lower <= 4; lower++ {
			if c.Queue().Waiting(lower) > 1 {
				v.found = append(v.found, fmt.Sprintf("%d: tier %d refused while %d of tier %d wait",
					now, tier, c.Queue().Waiting(lower), lower))
			}
		}
	case cell.Grant:
	}
}

func TestTierOrderHoldsOverRandomArrivals(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20)
	parameters.MinSuccessfulTests = 40
	properties := gopter.NewProperties(parameters)
	properties.Property("no higher tier is shed or preempted for a lower, none starves", prop.ForAll(
		checkOrder,
		gen.UInt64(),
		gen.SliceOfN(5, gen.Float64Range(0.5, 60)),
		gen.Bool(),
	))
	properties.TestingRun(t)
}

// checkOrder replays a random workload on a small cell and returns what was
// wrong, or nothing.
func checkOrder(seed uint64, rates []float64, early bool) string {
	w := Workload{Span: 15 * clock.Second, Daemons: 3, Skew: 0.5}
	for tier, rate := range rates {
		s := source(fmt.Sprint("team", tier), tier, rate)
		s.Early = early && tier < 2
		s.MaxWait = 5 * clock.Second
		w.Sources = append(w.Sources, s)
	}
	arrivals := Record(seed, w)
	tiers := make(map[string]int, len(arrivals))
	for i, a := range arrivals {
		tiers[fmt.Sprintf("r%06d", i)] = a.Tier
	}
	v := &violations{}
	config := fleet(Brokered)
	config.Endpoints, config.Slots = 3, 4
	config.Watch = func(now clock.Millis, c *cell.Cell, action cell.Action) {
		v.watch(now, c, action, tiers[action.ID])
	}
	r := Run(config, arrivals)
	switch {
	case len(v.found) > 0:
		return v.found[0]
	case r.Unsettled > 0:
		return fmt.Sprint(r.Unsettled, " requests unsettled")
	}
	for tier, arrived := range r.Arrived {
		if arrived > 20 && r.Completed[tier] == 0 {
			return fmt.Sprintf("tier %d starved: %d arrived, none completed", tier, arrived)
		}
	}
	return ""
}
