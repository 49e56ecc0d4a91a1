package compare

import (
	"context"
	"fmt"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/rig"
	"github.com/banyanshift/banyanshift/internal/bench/scenario"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/standin/host"
	"github.com/banyanshift/banyanshift/internal/standin/load"
)

// The fleet of a comparison has nine engines with eight slots each. With all
// slots in use, a token takes 26 ms, so the fleet generates about 2,770 tokens
// per second, which is 69 requests of 40 tokens.
const (
	backend           = "pool"
	modelName         = "compared"
	region            = "region-1"
	enginesPerDomain  = 3
	slots             = 8
	capacityPerSecond = 69.0
	teamCount         = 10
	promptTokens      = 60
	minOutput         = 20
	maxOutput         = 60
)

// workload is one kind of load with an optional fault.
type workload struct {
	name  string
	flows func(duration clock.Millis) []load.Flow
	skew  float64
	// injectFault is called after a quarter of the duration; may be nil.
	injectFault func(ctx context.Context, r *rig.Rig) error
}

func workloads() []workload {
	return []workload{
		{name: "steady", flows: steady},
		{name: "burst", flows: burst},
		{name: "flood", flows: flood},
		{name: "lengths", flows: lengths},
		{name: "straggler", flows: steady, injectFault: straggle},
		{name: "crash", flows: steady, injectFault: crash},
		{name: "domain", flows: steady, injectFault: loseDomain},
		{name: "skew", flows: flood, skew: 0.6},
	}
}

func workloadNames() []string {
	var names []string
	for _, w := range workloads() {
		names = append(names, w.name)
	}
	return names
}

func classes() []entity.Class {
	return []entity.Class{
		{Name: "interactive", Tier: 0, FirstTokenTarget: 800, MaxWait: 20 * clock.Second},
		{Name: "standard", Tier: 1, FirstTokenTarget: 2500, MaxWait: 20 * clock.Second, GuaranteedShare: 0.1},
		{Name: "batch", Tier: 3, FirstTokenTarget: 8000, MaxWait: 20 * clock.Second, GuaranteedShare: 0.05},
	}
}

// scenarioFor returns the scenario of a workload.
func scenarioFor(w workload, duration clock.Millis) scenario.Scenario {
	s := scenario.Scenario{
		Name: w.name, Region: region, FailureDomains: []string{"domain-1", "domain-2", "domain-3"},
		Classes: classes(), Flows: w.flows(duration),
		Pools: []scenario.Pool{{Backend: backend, Model: modelName, FirmPerDomain: enginesPerDomain}},
	}
	endpoints := enginesPerDomain * len(s.FailureDomains)
	s.Backends = []entity.Backend{{
		Name: backend, Type: entity.Model, Model: modelName, Version: "1", ChecksFence: true,
		MinEndpoints: endpoints, MaxEndpoints: endpoints, FirmOnly: true, Slots: slots,
	}}
	route := entity.Route{Name: modelName, Backend: backend}
	for _, class := range s.Classes {
		route.Classes = append(route.Classes, class.Name)
	}
	for i := range teamCount {
		s.Teams = append(s.Teams, entity.Team{Name: team(i), Weight: 1})
		route.Teams = append(route.Teams, team(i))
	}
	s.Routes = []entity.Route{route}
	return s
}

func team(i int) string {
	return fmt.Sprintf("team-%d", i)
}

// flow returns a flow whose rate is a share of the fleet's capacity.
func flow(teamName, class string, capacityShare float64) load.Flow {
	at := slices.IndexFunc(classes(), func(c entity.Class) bool { return c.Name == class })
	return load.Flow{
		Name: class, Team: teamName, Class: class, Route: modelName, Backend: backend, Type: entity.Model,
		PerSecond: capacityShare * capacityPerSecond, FirstTokenTarget: classes()[at].FirstTokenTarget,
		PromptTokens: promptTokens, MinOutputTokens: minOutput, MaxOutputTokens: maxOutput,
	}
}

func steady(clock.Millis) []load.Flow {
	var flows []load.Flow
	for i := range teamCount {
		flows = append(flows,
			flow(team(i), "interactive", 0.03), flow(team(i), "standard", 0.02), flow(team(i), "batch", 0.01))
	}
	return flows
}

// burst combines a steady load of the top tier with a load of the lowest class
// that rises to three times the capacity for half of the duration.
func burst(duration clock.Millis) []load.Flow {
	var flows []load.Flow
	for i := range teamCount {
		flows = append(flows, flow(team(i), "interactive", 0.04))
	}
	low := flow(team(0), "batch", 0.1)
	low.BurstFactor, low.BurstInterval, low.BurstDuration = 30, duration, duration/2
	return append(flows, low)
}

// flood has one team that sends ten times the load of each of nine others.
func flood(clock.Millis) []load.Flow {
	flows := []load.Flow{flow(team(0), "standard", 1.2)}
	for i := 1; i < teamCount; i++ {
		flows = append(flows, flow(team(i), "standard", 0.12))
	}
	return flows
}

// lengths has a team with long answers and one with short answers, each
// demanding more than half of the capacity.
func lengths(clock.Millis) []load.Flow {
	long, short := flow(team(0), "standard", 0.25), flow(team(1), "standard", 2.5)
	long.MinOutputTokens, long.MaxOutputTokens = 120, 200
	short.MinOutputTokens, short.MaxOutputTokens = 12, 20
	return []load.Flow{long, short}
}

func endpointID(domain string, i int) string {
	return fmt.Sprintf("%s-%s-%d", backend, domain, i)
}

func straggle(ctx context.Context, r *rig.Rig) error {
	return r.SetEndpointFault(ctx, endpointID("domain-1", 0), host.Fault{Straggle: 10})
}

func crash(ctx context.Context, r *rig.Rig) error {
	return r.SetEndpointFault(ctx, endpointID("domain-1", 0), host.Fault{Crash: true})
}

func loseDomain(ctx context.Context, r *rig.Rig) error {
	for i := range enginesPerDomain {
		if err := r.SetEndpointFault(ctx, endpointID("domain-1", i), host.Fault{Crash: true}); err != nil {
			return err
		}
	}
	return nil
}
