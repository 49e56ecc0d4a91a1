package check

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/verdict"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/platform/order"
	"github.com/banyanshift/banyanshift/internal/standin/faultproxy"
	"github.com/banyanshift/banyanshift/internal/standin/host"
	"github.com/banyanshift/banyanshift/internal/standin/platform"
)

// fault is one kind of failure. act brings it about, waits as long as it
// lasts and takes it back.
type fault struct {
	name     string
	shortest clock.Millis
	longest  clock.Millis
	act      func(ctx context.Context, s *strike) error
	// alone faults come once, and only when they are asked for.
	alone bool
}

// faults returns all kinds of failure.
func faults() []fault {
	return []fault{
		{"burst", 4 * clock.Second, 10 * clock.Second, burst, false},
		{"straggler", 5 * clock.Second, 12 * clock.Second, straggler, false},
		{"crash", 2 * clock.Second, 5 * clock.Second, crash, false},
		{"lagging-loads", 5 * clock.Second, 12 * clock.Second, laggingLoads, false},
		{"bad-answers", 4 * clock.Second, 8 * clock.Second, badAnswers, false},
		{"cut-endpoint", 1 * clock.Second, 4 * clock.Second, cutEndpoint, false},
		{"withdraw", 0, 0, withdraw, false},
		{"reclaim", 4 * clock.Second, 8 * clock.Second, reclaim, false},
		{"store-down", 4 * clock.Second, 15 * clock.Second, storeDown, false},
		{"store-slow", 4 * clock.Second, 12 * clock.Second, storeSlow, false},
		{"store-lost", 4 * clock.Second, 12 * clock.Second, storeLost, false},
		{"pause-holder", 3 * clock.Second, 15 * clock.Second, pauseHolder, false},
		{"operators", 0, 0, racingOperators, false},
		{"scale", 0, 0, scale, false},
		{"partition", 4 * clock.Second, 12 * clock.Second, partition, false},
		{"cut-off", 4 * clock.Second, 12 * clock.Second, cutOff, false},
		{"kill", 0, 2 * clock.Second, kill, false},
		{"rolling", 0, 0, rolling, false},
		{"long-outage", clock.Minute, clock.Minute, storeDown, true},
	}
}

// names returns the names of all faults, usual those of the faults that a
// check has when none are named.
func names() []string {
	var all []string
	for _, f := range faults() {
		all = append(all, f.name)
	}
	return all
}

func usual() []string {
	var all []string
	for _, f := range faults() {
		if !f.alone {
			all = append(all, f.name)
		}
	}
	return all
}

func faultNamed(name string) (fault, bool) {
	for _, f := range faults() {
		if f.name == name {
			return f, true
		}
	}
	return fault{}, false
}

// burst multiplies the calls of one class.
func burst(ctx context.Context, s *strike) error {
	classes := s.rig.Scenario.Classes
	class := classes[s.random.IntN(len(classes))].Name
	factor := 4 + 6*s.random.Float64()
	s.say("%s times %.1f", class, factor)
	s.run.Load.SetRateFactor(class, factor)
	defer s.run.Load.SetRateFactor(class, 1)
	s.hold(ctx)
	return nil
}

var errNoEndpoint = errors.New("no endpoint to choose from")

// endpoint returns a running endpoint of a type.
func (s *strike) endpoint(ctx context.Context, kind entity.BackendType) (entity.Endpoint, error) {
	var listed []entity.Endpoint
	if err := s.rig.CallPlatform(ctx, http.MethodGet, "/endpoints", nil, &listed); err != nil {
		return entity.Endpoint{}, err
	}
	var candidates []entity.Endpoint
	for _, endpoint := range listed {
		if s.typeOf(endpoint.Backend) == kind && !endpoint.Leaving {
			candidates = append(candidates, endpoint)
		}
	}
	if len(candidates) == 0 {
		return entity.Endpoint{}, errNoEndpoint
	}
	return candidates[s.random.IntN(len(candidates))], nil
}

func (s *strike) typeOf(backend string) entity.BackendType {
	for _, b := range s.rig.Scenario.Backends {
		if b.Name == backend {
			return b.Type
		}
	}
	return ""
}

// spoil gives an endpoint of a type a fault for the length of the strike.
func (s *strike) spoil(ctx context.Context, kind entity.BackendType, fault host.Fault) error {
	endpoint, err := s.endpoint(ctx, kind)
	if err != nil {
		return err
	}
	s.say("%s", endpoint.ID)
	if err := s.rig.SetEndpointFault(ctx, endpoint.ID, fault); err != nil {
		return err
	}
	s.hold(ctx)
	return s.rig.SetEndpointFault(ctx, endpoint.ID, host.Fault{})
}

func straggler(ctx context.Context, s *strike) error {
	return s.spoil(ctx, entity.Model, host.Fault{Straggle: 3 + 9*s.random.Float64()})
}

func laggingLoads(ctx context.Context, s *strike) error {
	return s.spoil(ctx, entity.Model, host.Fault{LoadLag: 5 * clock.Second})
}

func badAnswers(ctx context.Context, s *strike) error {
	kind := entity.Model
	if s.random.IntN(3) == 0 {
		kind = entity.Service
	}
	return s.spoil(ctx, kind, host.Fault{Cross: 0.1, Truncate: 0.1, Duplicate: 0.1, Late: 0.2, LateBy: 1500})
}

// crash ends an endpoint and starts another in its place.
func crash(ctx context.Context, s *strike) error {
	kind := entity.Model
	if s.random.IntN(4) == 0 {
		kind = entity.Service
	}
	endpoint, err := s.endpoint(ctx, kind)
	if err != nil {
		return err
	}
	s.say("%s", endpoint.ID)
	if err := s.rig.SetEndpointFault(ctx, endpoint.ID, host.Fault{Crash: true}); err != nil {
		return err
	}
	s.hold(ctx)
	return s.restart(ctx, endpoint)
}

func (s *strike) restart(ctx context.Context, endpoint entity.Endpoint) error {
	given := order.Order{
		Kind: order.Start, Backend: endpoint.Backend, FailureDomain: endpoint.FailureDomain,
		Market: endpoint.Market, EndpointID: fmt.Sprintf("%s-r%d", endpoint.ID, s.next()),
	}
	for _, pool := range s.rig.Scenario.Pools {
		if pool.Backend == endpoint.Backend {
			given.Model = pool.Model
		}
	}
	return s.rig.CallPlatform(ctx, http.MethodPost, "/control/start", given, nil)
}

// cutEndpoint breaks the connections to an endpoint again and again.
func cutEndpoint(ctx context.Context, s *strike) error {
	endpoint, err := s.endpoint(ctx, entity.Model)
	if err != nil {
		return err
	}
	s.say("%s", endpoint.ID)
	link := "endpoint/" + endpoint.ID
	const pause = 700 * clock.Millisecond
	for left := s.length; left > 0; left -= pause {
		cut := verdict.Disconnection{Endpoint: endpoint.ID, From: s.rig.Clock.Wall()}
		if err := s.proxy(ctx, link, faultproxy.Fault{Cut: true}); err != nil {
			return err
		}
		cut.To = s.rig.Clock.Wall()
		s.record(func(in *verdict.Input) { in.Disconnections = append(in.Disconnections, cut) })
		_ = s.rig.Clock.Sleep(ctx, pause)
	}
	return s.proxy(ctx, link, faultproxy.Fault{})
}

func (s *strike) proxy(ctx context.Context, pattern string, fault faultproxy.Fault) error {
	return s.rig.CallProxy(ctx, "/faults", faultproxy.Rule{Pattern: pattern, Fault: fault}, nil)
}

// unavailableTime is how long a reclaimed failure domain has no cheap
// endpoints.
const unavailableTime = 10 * clock.Second

// reclaim takes the cheap endpoints of a failure domain after a notice.
func reclaim(ctx context.Context, s *strike) error {
	domains := s.rig.Scenario.FailureDomains
	notice := platform.Reclaim{
		FailureDomain: domains[s.random.IntN(len(domains))],
		Notice:        s.length, Unavailable: unavailableTime,
	}
	var taken platform.ReclaimResult
	err := s.rig.CallPlatform(ctx, http.MethodPost, "/control/reclaim", notice, &taken)
	s.say("%s: %v", notice.FailureDomain, taken.EndpointIDs)
	s.hold(ctx)
	return err
}

// store sets a fault of some of the platform's services for a while, on top
// of those that are in force.
func (s *strike) store(ctx context.Context, f platform.Fault, services ...platform.Service) error {
	if err := s.stack(ctx, s, f, services); err != nil {
		return err
	}
	s.hold(ctx)
	return s.stack(ctx, s, platform.Fault{}, services)
}

// stack replaces what a strike does to services and puts the sum of all
// strikes in force.
func (c *checker) stack(ctx context.Context, by *strike, f platform.Fault, services []platform.Service) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, service := range services {
		if c.platform[service] == nil {
			c.platform[service] = make(map[*strike]platform.Fault)
		}
		c.platform[service][by] = f
		sum := platform.Fault{Service: service}
		for _, other := range c.platform[service] {
			sum.Down = sum.Down || other.Down
			sum.Slow = max(sum.Slow, other.Slow)
			sum.LoseAnswers = max(sum.LoseAnswers, other.LoseAnswers)
			sum.LoseCalls = max(sum.LoseCalls, other.LoseCalls)
		}
		if err := c.rig.CallPlatform(ctx, http.MethodPost, "/control/fault", sum, nil); err != nil {
			return err
		}
	}
	return nil
}

func storeDown(ctx context.Context, s *strike) error {
	services := []platform.Service{platform.Table, platform.Object}
	if s.random.IntN(2) == 0 {
		s.say("with all services of the platform")
		services = append(services, platform.VMList, platform.Order, platform.Usage)
	}
	outage := verdict.Outage{From: s.rig.Clock.Wall()}
	err := s.store(ctx, platform.Fault{Down: true}, services...)
	outage.To = s.rig.Clock.Wall()
	s.record(func(in *verdict.Input) { in.Outages = append(in.Outages, outage) })
	return err
}

func storeSlow(ctx context.Context, s *strike) error {
	slow := 200*clock.Millisecond + clock.Millis(s.random.IntN(3000))
	s.say("by %s", slow)
	return s.store(ctx, platform.Fault{Slow: slow}, platform.Table, platform.Object)
}

func storeLost(ctx context.Context, s *strike) error {
	f := platform.Fault{LoseAnswers: 0.1 + 0.3*s.random.Float64(), LoseCalls: 0.1}
	return s.store(ctx, f, platform.Table, platform.Object, platform.Order, platform.Usage)
}
