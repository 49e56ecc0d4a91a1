// Package plan decides every two seconds which endpoints a region needs and
// submits the orders while this daemon holds the region's lease.
//
// It remembers the endpoints whose start or stop was carried out but does not
// show in the platform's list yet: the list lags, and an endpoint takes a while
// to load its weights. It also remembers which failure domains refused starts and
// which model each endpoint has loaded. After a takeover it restores the starts,
// the stops and the loaded models from the order journal.
//
// # Usage
//
//	p := plan.New(plan.Config{Clock: clk, Logger: logger, Settings: capacity.DefaultSettings(),
//		Submit: d.Submit, Ready: d.Ready, OpenOrders: d.OpenOrders, TakeoverEntries: d.TakeoverEntries,
//		Backends: backends, Demands: aggregator.Demands, Endpoints: watcher.Endpoints, Running: running, Domains: domains})
//	// dispatch.Config.HandleClosedOrder must be p.HandleClosedOrder, and p.Run is work of a leader.Runner.
package plan

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/capacity"
	"github.com/banyanshift/banyanshift/internal/order/dispatch"
	"github.com/banyanshift/banyanshift/internal/order/journal"
	"github.com/banyanshift/banyanshift/internal/order/leader"
	"github.com/banyanshift/banyanshift/internal/platform/order"
)

const (
	// interval is the time between two decisions.
	interval = 2 * clock.Second
	// startGrace is how long a started endpoint counts while it is not listed.
	startGrace = 5 * clock.Minute
	// stopGrace is how long a stopped endpoint is left out while it is still
	// listed.
	stopGrace = clock.Minute
	// maxRecentOrders is the number of newest journal entries from which a new
	// holder restores recent starts and stops.
	maxRecentOrders = 50
	// maxUnlisted is the approximate number of endpoints that are no longer
	// listed and still remembered.
	maxUnlisted = 1000
)

// Config configures a Planner. All fields must be set.
type Config struct {
	Clock    clock.Clock
	Logger   logrus.FieldLogger
	Settings capacity.Settings
	// The next four are methods of a dispatch.Dispatcher. Submit journals and
	// sends orders, Ready reports whether Submit accepts them, OpenOrders
	// returns those without a result, and TakeoverEntries those in the journal
	// at the takeover.
	Submit          func(ctx context.Context, orders []order.Order) error
	Ready           func() (fence uint64, ready bool)
	OpenOrders      func() []journal.Entry
	TakeoverEntries func() []journal.Entry
	// Backends returns the configured back ends that the region should run.
	Backends func() []capacity.Backend
	// Demands returns the demand for each back end by tier.
	Demands func() []capacity.Demand
	// Endpoints returns the platform's list for the region.
	Endpoints func() []entity.Endpoint
	// Running returns the number of requests that an endpoint runs.
	Running func(endpoint string) int
	// Domains returns the region's failure domains in which endpoints
	// can run.
	Domains func() []string
}

// Planner decides on capacity and submits orders during the terms of this daemon.
type Planner struct {
	cfg Config

	mu sync.Mutex
	// starting and stopping hold the endpoints whose start or stop does not
	// show in the platform's list yet. The value of stopping is the time at
	// which the note expires.
	starting map[string]startingEndpoint
	stopping map[string]clock.Millis
	// engines maps endpoints to what they have loaded, taken from orders in the
	// journal. Endpoints without an entry are left as they are.
	engines map[string]engineState
	refused []capacity.Refusal
	report  capacity.Report
}

type startingEndpoint struct {
	endpoint  entity.Endpoint
	expiresAt clock.Millis
}

// engineState is what an endpoint has loaded.
type engineState struct {
	model    string
	version  string
	adapters []string
	role     string
}

// New returns a Planner.
func New(cfg Config) *Planner {
	return &Planner{
		cfg:      cfg,
		starting: make(map[string]startingEndpoint),
		stopping: make(map[string]clock.Millis),
		engines:  make(map[string]engineState),
	}
}

// Report returns the figures of the last decision.
func (p *Planner) Report() capacity.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.report
}

// HandleClosedOrder records an order that was carried out or refused.
func (p *Planner) HandleClosedOrder(entry journal.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ord := entry.Order
	if entry.State == journal.Refused {
		if ord.Kind == order.Start {
			p.refused = append(p.refused, capacity.Refusal{FailureDomain: ord.FailureDomain, Market: ord.Market})
		}
		return
	}
	p.recordEngine(ord)
	switch ord.Kind {
	case order.Start:
		p.starting[ord.EndpointID] = startingEndpoint{expiresAt: p.cfg.Clock.Now() + startGrace, endpoint: endpointOf(ord)}
	case order.Stop:
		p.stopping[ord.EndpointID] = p.cfg.Clock.Now() + stopGrace
		delete(p.starting, ord.EndpointID)
	}
}

// recordEngine records what an order that was carried out has loaded.
func (p *Planner) recordEngine(ord order.Order) {
	e := p.engines[ord.EndpointID]
	switch ord.Kind {
	case order.Start, order.LoadModel:
		e = engineState{model: ord.Model, version: ord.Version, role: e.role}
	case order.LoadAdapter:
		e.adapters = append(slices.Clone(e.adapters), ord.Adapter)
	case order.SetRole:
		e.role = ord.Role
	case order.Stop:
		delete(p.engines, ord.EndpointID)
		return
	}
	p.engines[ord.EndpointID] = e
}

// Run decides and submits orders during one term, until ctx is done.
func (p *Planner) Run(ctx context.Context, term leader.Term) (err error) {
	defer func() { err = oops.Wrapf(err, "plan capacity") }()
	defer p.reset()
	planner := capacity.New(p.cfg.Settings)
	restored := false
	for {
		if fence, ready := p.cfg.Ready(); ready && fence == term.Fence {
			if !restored {
				p.restore()
				restored = true
			}
			p.decide(ctx, planner)
		}
		if err := p.cfg.Clock.Sleep(ctx, interval); err != nil {
			return err
		}
	}
}

// reset drops what was recorded during the term.
func (p *Planner) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.starting)
	clear(p.stopping)
	clear(p.engines)
	p.refused = nil
}

// restore restores from the journal what the endpoints have loaded, and the
// recent starts and stops.
func (p *Planner) restore() {
	entries := p.cfg.TakeoverEntries()
	recent := max(0, len(entries)-maxRecentOrders)
	for i, entry := range entries {
		if entry.State != journal.Done {
			continue
		}
		if i >= recent {
			p.HandleClosedOrder(entry)
			continue
		}
		p.mu.Lock()
		p.recordEngine(entry.Order)
		p.mu.Unlock()
	}
}

func (p *Planner) decide(ctx context.Context, planner *capacity.Planner) {
	decision := planner.Decide(p.input())
	p.mu.Lock()
	p.report = decision.Report
	p.mu.Unlock()
	publish(decision.Report)
	if len(decision.Orders) == 0 {
		return
	}
	err := p.cfg.Submit(ctx, decision.Orders)
	if err != nil && !errors.Is(err, dispatch.ErrNotReady) && ctx.Err() == nil {
		eventNotSubmitted.Log(p.cfg.Logger, logrus.Fields{"Orders": len(decision.Orders), "Error": err.Error()})
	}
}

func (p *Planner) input() capacity.Input {
	in := capacity.Input{
		Now:      p.cfg.Clock.Now(),
		Backends: p.cfg.Backends(),
		Demands:  p.cfg.Demands(),
		Domains:  p.cfg.Domains(),
	}
	listed, open := p.cfg.Endpoints(), p.cfg.OpenOrders()
	p.mu.Lock()
	defer p.mu.Unlock()
	in.Refused, p.refused = p.refused, nil
	p.expire(in.Now)
	present, openKinds := make(map[string]bool), make(map[string]order.Kind)
	for _, entry := range open {
		openKinds[entry.Order.EndpointID] = entry.Order.Kind
	}
	for _, e := range listed {
		present[e.ID] = true
		delete(p.starting, e.ID)
		if _, stopped := p.stopping[e.ID]; (stopped || openKinds[e.ID] == order.Stop) && !e.Leaving {
			continue
		}
		in.Endpoints = append(in.Endpoints, p.describe(e, openKinds[e.ID]))
	}
	p.pruneEngines(len(listed), present)
	for id, o := range p.starting {
		present[id] = true
		in.Endpoints = append(in.Endpoints, capacity.Endpoint{Endpoint: o.endpoint, Starting: true})
	}
	for _, entry := range open {
		if entry.Order.Kind == order.Start && !present[entry.Order.EndpointID] {
			in.Endpoints = append(in.Endpoints, capacity.Endpoint{Endpoint: endpointOf(entry.Order), Starting: true})
		}
	}
	return in
}

// pruneEngines drops the state of engines whose endpoints are gone, once there are
// many more engines than listed endpoints.
func (p *Planner) pruneEngines(listed int, present map[string]bool) {
	if len(p.engines) < 2*listed+maxUnlisted {
		return
	}
	for id := range p.engines {
		if _, starting := p.starting[id]; !present[id] && !starting {
			delete(p.engines, id)
		}
	}
}

// describe returns the planner's view of a listed endpoint. open is the kind of
// its open order, or empty.
func (p *Planner) describe(e entity.Endpoint, open order.Kind) capacity.Endpoint {
	known := p.engines[e.ID]
	return capacity.Endpoint{
		Endpoint: e,
		Loading:  open == order.LoadModel || open == order.LoadAdapter,
		Running:  p.cfg.Running(e.ID),
		Model:    known.model,
		Version:  known.version,
		Adapters: known.adapters,
		Role:     known.role,
	}
}

// expire drops starting and stopping endpoints whose grace time is over.
func (p *Planner) expire(now clock.Millis) {
	for id, o := range p.starting {
		if now >= o.expiresAt {
			delete(p.starting, id)
		}
	}
	for id, expiresAt := range p.stopping {
		if now >= expiresAt {
			delete(p.stopping, id)
		}
	}
}

// endpointOf returns the endpoint that a start order creates.
func endpointOf(ord order.Order) entity.Endpoint {
	return entity.Endpoint{
		ID: ord.EndpointID, Backend: ord.Backend, FailureDomain: ord.FailureDomain, Market: ord.Market,
	}
}
