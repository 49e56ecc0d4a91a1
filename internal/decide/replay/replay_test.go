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

// fleet returns 9 endpoints of 8 slots. With 20 ms per token and about 100 output
// tokens per request, their capacity is 36 requests or 3600 tokens a second.
func fleet(policy Policy) Config {
	return Config{
		Policy: policy, Seed: 1, Daemons: 8, Endpoints: 9, Slots: 8,
		TokenInterval: 20, PrefillRate: 8, MessageDelay: 1, LoadReportDelay: 500,
	}
}

func source(team string, tier int, rate float64) Source {
	return Source{
		Team: team, Weight: 1, Tier: tier, Rate: rate, MeanPromptTokens: 200, MeanOutputTokens: 100,
		Target: 800, MaxWait: 20 * clock.Second, Daemon: -1,
	}
}

// teamOverload returns 10 teams, the first of which sends ten times its rate.
func teamOverload() Workload {
	w := Workload{Duration: 30 * clock.Second, Daemons: 8, FirstDaemonShare: 0.3}
	for i := range 10 {
		w.Sources = append(w.Sources, source(fmt.Sprint("team", i), 1, 4.5))
	}
	w.Sources[0].Rate *= 10
	w.Sources[0].Daemon = 0
	return w
}

// lowTierBurst returns 5 teams of tier 0 and, if withBurst is set, an overload of
// tier 3 from 10 s to 30 s.
func lowTierBurst(withBurst bool) Workload {
	w := Workload{Duration: 40 * clock.Second, Daemons: 8, FirstDaemonShare: 0.3}
	for i := range 5 {
		w.Sources = append(w.Sources, source(fmt.Sprint("top", i), 0, 3))
	}
	if withBurst {
		batch := source("batch", 3, 108)
		batch.Start, batch.End = 10*clock.Second, 30*clock.Second
		batch.Target, batch.MaxWait = 5*clock.Second, 10*clock.Second
		w.Sources = append(w.Sources, batch)
	}
	return w
}

var policies = []Policy{RoundRobin, LeastOutstanding, LocalFair, Brokered}

// requireFinished fails the test if requests are unfinished.
func requireFinished(t *testing.T, r Result) Result {
	t.Helper()
	if r.Unfinished > 0 {
		t.Fatalf("got %d requests that were neither completed nor refused, want none", r.Unfinished)
	}
	return r
}

func TestOverloadOfOneTeamLeavesOthersTheirShare(t *testing.T) {
	for _, policy := range policies {
		config := fleet(policy)
		config.MeasureUntil = 30 * clock.Second
		r := requireFinished(t, Run(config, GenerateArrivals(1, teamOverload())))
		t.Logf("%-16s worst served %.3f, Jain index %.3f", policy, r.MinServedRatio, r.JainIndex)
		if policy == Brokered && r.MinServedRatio < 0.9 {
			t.Errorf("worst served team: got %.3f of its fair share, want at least 0.9", r.MinServedRatio)
		}
	}
}

func TestLowTierBurstDoesNotAffectTopTier(t *testing.T) {
	for _, policy := range policies {
		with := requireFinished(t, Run(fleet(policy), GenerateArrivals(1, lowTierBurst(true))))
		without := requireFinished(t, Run(fleet(policy), GenerateArrivals(1, lowTierBurst(false))))
		t.Logf("%-16s top tier attainment %.3f, without the burst %.3f; completed %d of %d requests of the low tier",
			policy, with.Attainment[0], without.Attainment[0], with.Completed[3], with.Arrived[3])
		if policy == Brokered && with.Attainment[0] < without.Attainment[0]-0.02 {
			t.Errorf("top tier attainment fell from %.3f to %.3f, want a fall of at most 0.02", without.Attainment[0], with.Attainment[0])
		}
	}
}

func TestStragglerGetsFewRequests(t *testing.T) {
	for _, policy := range policies {
		config := fleet(policy)
		config.SlowFactors, config.SlowStart = map[int]float64{3: 10}, 5*clock.Second
		r := Run(config, GenerateArrivals(1, lowTierBurst(false)))
		t.Logf("%-16s top tier attainment %.3f, share of grants to the straggler %.4f", policy, r.Attainment[0], r.SlowShare)
		if policy == Brokered && r.SlowShare > 0.02 {
			t.Errorf("straggler: got %.3f of the grants, want at most 0.02", r.SlowShare)
		}
	}
}

func TestLongOutputsDoNotIncreaseShare(t *testing.T) {
	long, short := source("long", 1, 20), source("short", 1, 120)
	long.MeanOutputTokens, short.MeanOutputTokens = 400, 40
	w := Workload{Duration: 60 * clock.Second, Daemons: 8, Sources: []Source{long, short}}
	for _, policy := range policies {
		config := fleet(policy)
		config.MeasureUntil = w.Duration
		r := Run(config, GenerateArrivals(1, w))
		got := r.Teams["long"].Served / (r.Teams["long"].Served + r.Teams["short"].Served)
		t.Logf("%-16s the team with long outputs got %.3f of the work", policy, got)
		if policy == Brokered && (got < 0.4 || got > 0.6) {
			t.Errorf("team with long outputs: got %.3f of the work, want 0.4 to 0.6", got)
		}
	}
}

func TestNoClassStarvesUnderTopOverload(t *testing.T) {
	share := func(class string) float64 {
		return map[string]float64{"tier1": 0.1, "tier3": 0.05}[class]
	}
	top := source("top", 0, 72)
	top.RefuseEarly = true
	w := Workload{Duration: 60 * clock.Second, Daemons: 8, Sources: []Source{
		top, source("middle", 1, 20), source("low", 3, 20),
	}}
	config := fleet(Brokered)
	config.GuaranteedShare, config.MeasureUntil = share, w.Duration
	r := requireFinished(t, Run(config, GenerateArrivals(1, w)))
	total := r.Teams["top"].Served + r.Teams["middle"].Served + r.Teams["low"].Served
	for team, want := range map[string]float64{"middle": 0.1, "low": 0.05} {
		got := r.Teams[team].Served / total
		t.Logf("%s got %.3f of the work, guaranteed %.2f", team, got, want)
		if got < 0.8*want {
			t.Errorf("%s: got %.3f of the work, want at least 0.8 of the guaranteed %.2f", team, got, want)
		}
	}
	t.Logf("top tier attainment %.3f, completed %d of %d", r.Attainment[0], r.Completed[0], r.Arrived[0])
}

func TestTeamReturnsFromIdle(t *testing.T) {
	steady, returning := source("steady", 1, 60), source("back", 1, 60)
	returning.Start = 30 * clock.Second
	w := Workload{Duration: 60 * clock.Second, Daemons: 8, Sources: []Source{steady, returning}}
	config := fleet(Brokered)
	served := map[clock.Millis]float64{}
	for _, until := range []clock.Millis{30, 40, 60} {
		config.MeasureUntil = until * clock.Second
		r := Run(config, GenerateArrivals(1, w))
		served[until] = r.Teams["back"].Served
		served[-until] = r.Teams["steady"].Served
	}
	early := (served[40] - served[30]) / (served[40] - served[30] + served[-40] - served[-30])
	late := (served[60] - served[40]) / (served[60] - served[40] + served[-60] - served[-40])
	t.Logf("share of the returning team: %.3f in the first 10 s, %.3f afterwards", early, late)
	if early > 0.6 || early < 0.35 || late < 0.45 || late > 0.55 {
		t.Errorf("returning team: got %.3f, then %.3f; want 0.35 to 0.6, then 0.45 to 0.55", early, late)
	}
}

// actionChecker collects actions of a cell that break the order of tiers.
type actionChecker struct {
	violations []string
}

func (v *actionChecker) check(now clock.Millis, c *cell.Cell, action cell.Action, tier int) {
	switch action.Kind {
	case cell.Preempt:
		if action.Reason == cell.HigherTier && c.Queue().WaitingAbove(tier) == 0 {
			v.violations = append(v.violations, fmt.Sprintf("%d: tier %d preempted while no higher tier waits", now, tier))
		}
	case cell.Refuse:
		if action.Code != request.CodeOverloaded && action.Code != request.CodeTargetWouldBeMissed {
			return
		}
		for lower := tier + 1; lower <= 4; lower++ {
			if c.Queue().Waiting(lower) > 1 {
				v.violations = append(v.violations, fmt.Sprintf("%d: tier %d refused while %d of tier %d wait",
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
	properties.Property("no tier is refused or preempted in favor of a lower one, and none starves", prop.ForAll(
		checkTierOrder,
		gen.UInt64(),
		gen.SliceOfN(5, gen.Float64Range(0.5, 60)),
		gen.Bool(),
	))
	properties.TestingRun(t)
}

// checkTierOrder replays a random workload on a small cell and returns the first
// violation, or an empty string.
func checkTierOrder(seed uint64, rates []float64, early bool) string {
	w := Workload{Duration: 15 * clock.Second, Daemons: 3, FirstDaemonShare: 0.5}
	for tier, rate := range rates {
		s := source(fmt.Sprint("team", tier), tier, rate)
		s.RefuseEarly = early && tier < 2
		s.MaxWait = 5 * clock.Second
		w.Sources = append(w.Sources, s)
	}
	arrivals := GenerateArrivals(seed, w)
	tiers := make(map[string]int, len(arrivals))
	for i, a := range arrivals {
		tiers[fmt.Sprintf("r%06d", i)] = a.Tier
	}
	v := &actionChecker{}
	config := fleet(Brokered)
	config.Endpoints, config.Slots = 3, 4
	config.OnAction = func(now clock.Millis, c *cell.Cell, action cell.Action) {
		v.check(now, c, action, tiers[action.ID])
	}
	r := Run(config, arrivals)
	switch {
	case len(v.violations) > 0:
		return v.violations[0]
	case r.Unfinished > 0:
		return fmt.Sprint(r.Unfinished, " requests unfinished")
	}
	for tier, arrived := range r.Arrived {
		if arrived > 20 && r.Completed[tier] == 0 {
			return fmt.Sprintf("tier %d starved: %d arrived, none completed", tier, arrived)
		}
	}
	return ""
}
