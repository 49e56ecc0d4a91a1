package serve

import (
	"slices"
	"sync"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/capacity"
	"github.com/banyanshift/banyanshift/internal/order/demand"
	"github.com/banyanshift/banyanshift/internal/order/plan"
)

// buildCapacity builds what the holder of the lease decides by: the demand of
// all daemons, and the planner.
func (d *Daemon) buildCapacity() {
	d.board = demand.NewAggregator(d.clock)
	demand.Register(d.link, d.board)
	d.teller = demand.NewSender(demand.SenderConfig{
		Link: d.link, Clock: d.clock, ID: d.settings.Daemon.ID, Counter: d.counter, Aggregator: d.board,
		Holder: d.holder.peer, DaemonCount: func() int { return len(d.regionView()) },
	})
	d.planner = plan.New(plan.Config{
		Clock: d.clock, Logger: d.logger, Settings: capacity.DefaultSettings(),
		Submit: d.dispatcher.Submit, Ready: d.dispatcher.Ready, OpenOrders: d.dispatcher.OpenOrders, TakeoverEntries: d.dispatcher.TakeoverEntries,
		Backends: d.plannedBackends, Demands: d.board.Demands, Endpoints: d.regionEndpoints,
		Running: d.running.of, Domains: d.endpointDomains,
	})
}

// plannedBackends returns the back ends that the region should run: those of
// the configuration that may have endpoints.
func (d *Daemon) plannedBackends() []capacity.Backend {
	var planned []capacity.Backend
	for _, backend := range d.state.Backends() {
		if backend.MaxEndpoints > 0 {
			planned = append(planned, capacity.Backend{Backend: backend})
		}
	}
	return planned
}

// regionEndpoints returns the endpoints of this daemon's region.
func (d *Daemon) regionEndpoints() []entity.Endpoint {
	endpoints := d.watcher.Endpoints()
	return slices.DeleteFunc(endpoints, func(e entity.Endpoint) bool { return e.Region != d.settings.Daemon.Region })
}

// endpointDomains returns the failure domains of the region: those of its
// daemons and of its endpoints.
func (d *Daemon) endpointDomains() []string {
	var domains []string
	for _, m := range d.regionView() {
		domains = append(domains, m.FailureDomain)
	}
	for _, endpoint := range d.regionEndpoints() {
		domains = append(domains, endpoint.FailureDomain)
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// runningCounts holds how many requests each endpoint last reported to run.
type runningCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *runningCounts) put(endpoint string, running int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[endpoint] = running
}

func (r *runningCounts) of(endpoint string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[endpoint]
}

// keep forgets all but the listed endpoints.
func (r *runningCounts) keep(endpoints []entity.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := make(map[string]int, len(endpoints))
	for _, endpoint := range endpoints {
		if count, found := r.counts[endpoint.ID]; found {
			kept[endpoint.ID] = count
		}
	}
	r.counts = kept
}
