// Package plan turns the decisions about capacity into orders while this daemon
// holds the region's lease.
//
// It remembers which starts were carried out and are not listed yet, since the
// platform's list lags and an endpoint takes a while to load its weights, and
// which failure domains refused. After a takeover it learns both from the order
// journal.
//
// # Usage
//
//	p := plan.New(plan.Config{Clock: clk, Logger: logger, Settings: capacity.DefaultSettings(),
//		Submit: d.Submit, Ready: d.Ready, OpenOrders: d.OpenOrders, TakeoverEntries: d.TakeoverEntries,
//		Backends: backends, Demands: aggregator.Demands, Endpoints: watcher.Endpoints, Running: running, Domains: domains})
//	// dispatch.Config.HandleClosedOrder must be p.HandleClosedOrder, and p.Run is work of a hold.Runner.
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
	"github.com/banyanshift/banyanshift/internal/order/hold"
	"github.com/banyanshift/banyanshift/internal/order/journal"
	"github.com/banyanshift/banyanshift/internal/platform/order"
)

const (
	// interval is the time between two decisions.
	interval = 2 * clock.Second
	// startTime is for how long an endpoint that was ordered counts although
	// it is not listed.
	startTime = 5 * clock.Minute
	// stopTime is for how long an endpoint that was ordered to stop does not
	// count although it is listed.
	stopTime = clock.Minute
	// recentOrders is how many orders of the journal tell a new holder what
	// is under way.
	recentOrders = 50
	// maxUnlisted is about how many endpoints that are gone are remembered.
	maxUnlisted = 1000
)

// Config configures a Planner. All fields must be set.
type Config struct {
	Clock    clock.Clock
	Logger   logrus.FieldLogger
	Settings capacity.Settings
	// Submit journals and sends orders, Ready says whether it would, Open
	// returns those that have not ended, and History those found at the
	// takeover; all of a dispatch.Dispatcher.
	Submit          func(ctx context.Context, orders []order.Order) error
	Ready           func() (fence uint64, ready bool)
	OpenOrders      func() []journal.Entry
	TakeoverEntries func() []journal.Entry
	// Backends are those of the configuration that the region should run.
	Backends func() []capacity.Backend
	// Demands is the demand for each of them by tier.
	Demands func() []capacity.Demand
	// Endpoints is the platform's list for the region.
	Endpoints func() []entity.Endpoint
	// Running returns how many requests an endpoint runs.
	Running func(endpoint string) int
	// Domains are the failure domains of the region that endpoints can run in.
	Domains func() []string
}

// Planner decides and orders during the terms of this daemon.
type Planner struct {
	cfg Config

	mu sync.Mutex
	// starting and stopping hold the endpoints whose list entry lags behind
	// an order.
	starting map[string]ordered
	stopping map[string]clock.Millis
	// engines holds what the endpoints have loaded, as far as orders of the
	// journal tell. Of others nothing is known, and nothing is changed.
	engines map[string]engine
	refused []capacity.Refusal
	report  capacity.Report
}

type ordered struct {
	endpoint entity.Endpoint
	until    clock.Millis
}

// engine is what an endpoint has loaded.
type engine struct {
	model    string
	version  string
	adapters []string
	role     string
}

// New returns a Planner.
func New(cfg Config) *Planner {
	return &Planner{
		cfg:      cfg,
		starting: make(map[string]ordered),
		stopping: make(map[string]clock.Millis),
		engines:  make(map[string]engine),
	}
}

// Report returns the figures of the last decision.
func (p *Planner) Report() capacity.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.report
}

// HandleClosedOrder takes note of an order that was carried out or refused.
func (p *Planner) HandleClosedOrder(entry journal.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	given := entry.Order
	if entry.State == journal.Refused {
		if given.Kind == order.Start {
			p.refused = append(p.refused, capacity.Refusal{FailureDomain: given.FailureDomain, Market: given.Market})
		}
		return
	}
	p.noteEngine(given)
	switch given.Kind {
	case order.Start:
		p.starting[given.EndpointID] = ordered{until: p.cfg.Clock.Now() + startTime, endpoint: endpointOf(given)}
	case order.Stop:
		p.stopping[given.EndpointID] = p.cfg.Clock.Now() + stopTime
		delete(p.starting, given.EndpointID)
	}
}

// noteEngine takes note of what an order that was carried out has loaded.
func (p *Planner) noteEngine(given order.Order) {
	e := p.engines[given.EndpointID]
	switch given.Kind {
	case order.Start, order.LoadModel:
		e = engine{model: given.Model, version: given.Version, role: e.role}
	case order.LoadAdapter:
		e.adapters = append(slices.Clone(e.adapters), given.Adapter)
	case order.SetRole:
		e.role = given.Role
	case order.Stop:
		delete(p.engines, given.EndpointID)
		return
	}
	p.engines[given.EndpointID] = e
}

// Run decides and orders during one term, until ctx ends.
func (p *Planner) Run(ctx context.Context, term hold.Term) (err error) {
	defer func() { err = oops.Wrapf(err, "plan capacity") }()
	defer p.forget()
	planner := capacity.New(p.cfg.Settings)
	recalled := false
	for {
		if fence, ready := p.cfg.Ready(); ready && fence == term.Fence {
			if !recalled {
				p.recall()
				recalled = true
			}
			p.decide(ctx, planner)
		}
		if err := p.cfg.Clock.Sleep(ctx, interval); err != nil {
			return err
		}
	}
}

// forget drops what was noted in a term that has ended.
func (p *Planner) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.starting)
	clear(p.stopping)
	clear(p.engines)
	p.refused = nil
}

// recall notes from the journal what the endpoints have loaded, and the recent
// starts and stops.
func (p *Planner) recall() {
	entries := p.cfg.TakeoverEntries()
	recent := max(0, len(entries)-recentOrders)
	for i, entry := range entries {
		if entry.State != journal.Done {
			continue
		}
		if i >= recent {
			p.HandleClosedOrder(entry)
			continue
		}
		p.mu.Lock()
		p.noteEngine(entry.Order)
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
	p.forgetEngines(len(listed), present)
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

// forgetEngines drops what is known of endpoints that are gone, now and then.
func (p *Planner) forgetEngines(listed int, present map[string]bool) {
	if len(p.engines) < 2*listed+maxUnlisted {
		return
	}
	for id := range p.engines {
		if _, starting := p.starting[id]; !present[id] && !starting {
			delete(p.engines, id)
		}
	}
}

// describe returns what is known of a listed endpoint that has an open order of
// some kind, or none.
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

// expire drops notes that the list must have caught up with.
func (p *Planner) expire(now clock.Millis) {
	for id, o := range p.starting {
		if now >= o.until {
			delete(p.starting, id)
		}
	}
	for id, until := range p.stopping {
		if now >= until {
			delete(p.stopping, id)
		}
	}
}

// endpointOf returns the endpoint that a start asks for.
func endpointOf(given order.Order) entity.Endpoint {
	return entity.Endpoint{
		ID: given.EndpointID, Backend: given.Backend, FailureDomain: given.FailureDomain, Market: given.Market,
	}
}
