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

// fault is one kind of failure. inject starts it, waits for its length and
// reverts it.
type fault struct {
	name      string
	minLength clock.Millis
	maxLength clock.Millis
	inject    func(ctx context.Context, s *injection) error
	// onRequest faults occur once, and only when --faults names them.
	onRequest bool
}

// faults returns all kinds of faults.
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

// faultNames returns the names of all faults.
func faultNames() []string {
	var all []string
	for _, f := range faults() {
		all = append(all, f.name)
	}
	return all
}

// defaultFaults returns the names of the faults that --faults=all selects.
func defaultFaults() []string {
	var all []string
	for _, f := range faults() {
		if !f.onRequest {
			all = append(all, f.name)
		}
	}
	return all
}

func faultByName(name string) (fault, bool) {
	for _, f := range faults() {
		if f.name == name {
			return f, true
		}
	}
	return fault{}, false
}

// burst multiplies the call rate of one class.
func burst(ctx context.Context, s *injection) error {
	classes := s.rig.Scenario.Classes
	class := classes[s.random.IntN(len(classes))].Name
	factor := 4 + 6*s.random.Float64()
	s.logf("%s times %.1f", class, factor)
	s.run.Load.SetRateFactor(class, factor)
	defer s.run.Load.SetRateFactor(class, 1)
	s.wait(ctx)
	return nil
}

var errNoEndpoint = errors.New("no running endpoint of the required type")

// pickEndpoint returns a random endpoint of a type that is not leaving.
func (s *injection) pickEndpoint(ctx context.Context, kind entity.BackendType) (entity.Endpoint, error) {
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

func (s *injection) typeOf(backend string) entity.BackendType {
	for _, b := range s.rig.Scenario.Backends {
		if b.Name == backend {
			return b.Type
		}
	}
	return ""
}

// injectEndpointFault sets a fault on a random endpoint of a type for the length
// of the injection.
func (s *injection) injectEndpointFault(ctx context.Context, kind entity.BackendType, fault host.Fault) error {
	endpoint, err := s.pickEndpoint(ctx, kind)
	if err != nil {
		return err
	}
	s.logf("%s", endpoint.ID)
	if err := s.rig.SetEndpointFault(ctx, endpoint.ID, fault); err != nil {
		return err
	}
	s.wait(ctx)
	return s.rig.SetEndpointFault(ctx, endpoint.ID, host.Fault{})
}

func straggler(ctx context.Context, s *injection) error {
	return s.injectEndpointFault(ctx, entity.Model, host.Fault{Straggle: 3 + 9*s.random.Float64()})
}

func laggingLoads(ctx context.Context, s *injection) error {
	return s.injectEndpointFault(ctx, entity.Model, host.Fault{LoadLag: 5 * clock.Second})
}

func badAnswers(ctx context.Context, s *injection) error {
	kind := entity.Model
	if s.random.IntN(3) == 0 {
		kind = entity.Service
	}
	return s.injectEndpointFault(ctx, kind, host.Fault{Cross: 0.1, Truncate: 0.1, Duplicate: 0.1, Late: 0.2, LateBy: 1500})
}

// crash crashes an endpoint and starts another in its place.
func crash(ctx context.Context, s *injection) error {
	kind := entity.Model
	if s.random.IntN(4) == 0 {
		kind = entity.Service
	}
	endpoint, err := s.pickEndpoint(ctx, kind)
	if err != nil {
		return err
	}
	s.logf("%s", endpoint.ID)
	if err := s.rig.SetEndpointFault(ctx, endpoint.ID, host.Fault{Crash: true}); err != nil {
		return err
	}
	s.wait(ctx)
	return s.restart(ctx, endpoint)
}

func (s *injection) restart(ctx context.Context, endpoint entity.Endpoint) error {
	start := order.Order{
		Kind: order.Start, Backend: endpoint.Backend, FailureDomain: endpoint.FailureDomain,
		Market: endpoint.Market, EndpointID: fmt.Sprintf("%s-r%d", endpoint.ID, s.nextNumber()),
	}
	for _, pool := range s.rig.Scenario.Pools {
		if pool.Backend == endpoint.Backend {
			start.Model = pool.Model
		}
	}
	return s.rig.CallPlatform(ctx, http.MethodPost, "/control/start", start, nil)
}

// cutEndpoint repeatedly breaks the connections to an endpoint.
func cutEndpoint(ctx context.Context, s *injection) error {
	endpoint, err := s.pickEndpoint(ctx, entity.Model)
	if err != nil {
		return err
	}
	s.logf("%s", endpoint.ID)
	link := "endpoint/" + endpoint.ID
	const pause = 700 * clock.Millisecond
	for left := s.length; left > 0; left -= pause {
		cut := verdict.Disconnection{Endpoint: endpoint.ID, From: s.rig.Clock.Wall()}
		if err := s.setLinkFault(ctx, link, faultproxy.Fault{Cut: true}); err != nil {
			return err
		}
		cut.To = s.rig.Clock.Wall()
		s.updateInput(func(in *verdict.Input) { in.Disconnections = append(in.Disconnections, cut) })
		_ = s.rig.Clock.Sleep(ctx, pause)
	}
	return s.setLinkFault(ctx, link, faultproxy.Fault{})
}

func (s *injection) setLinkFault(ctx context.Context, pattern string, fault faultproxy.Fault) error {
	return s.rig.CallProxy(ctx, "/faults", faultproxy.Rule{Pattern: pattern, Fault: fault}, nil)
}

// unavailableTime is how long a reclaimed failure domain has no cheap
// endpoints.
const unavailableTime = 10 * clock.Second

// reclaim makes the platform reclaim the cheap endpoints of a failure domain
// after a notice.
func reclaim(ctx context.Context, s *injection) error {
	domains := s.rig.Scenario.FailureDomains
	notice := platform.Reclaim{
		FailureDomain: domains[s.random.IntN(len(domains))],
		Notice:        s.length, Unavailable: unavailableTime,
	}
	var reclaimed platform.ReclaimResult
	err := s.rig.CallPlatform(ctx, http.MethodPost, "/control/reclaim", notice, &reclaimed)
	s.logf("%s: %v", notice.FailureDomain, reclaimed.EndpointIDs)
	s.wait(ctx)
	return err
}

// injectPlatformFault adds a fault to some of the platform's services for the
// length of the injection. Faults of other injections stay in force.
func (s *injection) injectPlatformFault(ctx context.Context, f platform.Fault, services ...platform.Service) error {
	if err := s.setPlatformFault(ctx, s, f, services); err != nil {
		return err
	}
	s.wait(ctx)
	return s.setPlatformFault(ctx, s, platform.Fault{}, services)
}

// setPlatformFault replaces the fault that one injection sets on services and
// applies the combination of the faults of all injections to them.
func (c *checker) setPlatformFault(ctx context.Context, by *injection, f platform.Fault, services []platform.Service) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, service := range services {
		if c.platformFaults[service] == nil {
			c.platformFaults[service] = make(map[*injection]platform.Fault)
		}
		c.platformFaults[service][by] = f
		sum := platform.Fault{Service: service}
		for _, other := range c.platformFaults[service] {
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

func storeDown(ctx context.Context, s *injection) error {
	services := []platform.Service{platform.Table, platform.Object}
	if s.random.IntN(2) == 0 {
		s.logf("with all services of the platform")
		services = append(services, platform.VMList, platform.Order, platform.Usage)
	}
	outage := verdict.Outage{From: s.rig.Clock.Wall()}
	err := s.injectPlatformFault(ctx, platform.Fault{Down: true}, services...)
	outage.To = s.rig.Clock.Wall()
	s.updateInput(func(in *verdict.Input) { in.Outages = append(in.Outages, outage) })
	return err
}

func storeSlow(ctx context.Context, s *injection) error {
	slow := 200*clock.Millisecond + clock.Millis(s.random.IntN(3000))
	s.logf("by %s", slow)
	return s.injectPlatformFault(ctx, platform.Fault{Slow: slow}, platform.Table, platform.Object)
}

func storeLost(ctx context.Context, s *injection) error {
	f := platform.Fault{LoseAnswers: 0.1 + 0.3*s.random.Float64(), LoseCalls: 0.1}
	return s.injectPlatformFault(ctx, f, platform.Table, platform.Object, platform.Order, platform.Usage)
}
