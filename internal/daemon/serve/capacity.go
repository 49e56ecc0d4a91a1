package serve

import (
	"slices"
	"sync"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/capacity"
	"github.com/banyanshift/banyanshift/internal/order/demand"
	"github.com/banyanshift/banyanshift/internal/order/plan"
)

// buildCapacity builds the planner that the lease holder runs, and the aggregator
// and the sender of the demand reports that it plans by.
func (d *Daemon) buildCapacity() {
	d.demandAggregator = demand.NewAggregator(d.clock)
	demand.Register(d.link, d.demandAggregator)
	d.demandSender = demand.NewSender(demand.SenderConfig{
		Link: d.link, Clock: d.clock, ID: d.settings.Daemon.ID, Counter: d.counter, Aggregator: d.demandAggregator,
		Holder: d.leaseView.holder, DaemonCount: func() int { return len(d.regionView()) },
	})
	d.planner = plan.New(plan.Config{
		Clock: d.clock, Logger: d.logger, Settings: capacity.DefaultSettings(),
		Submit: d.dispatcher.Submit, Ready: d.dispatcher.Ready, OpenOrders: d.dispatcher.OpenOrders, TakeoverEntries: d.dispatcher.TakeoverEntries,
		Backends: d.plannedBackends, Demands: d.demandAggregator.Demands, Endpoints: d.regionEndpoints,
		Running: d.runningCounts.get, Domains: d.endpointDomains,
	})
}

// plannedBackends returns the configured back ends that may have endpoints.
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

// endpointDomains returns the failure domains of the region's daemons and endpoints.
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

// runningCounts maps endpoints to the number of running requests in their last load
// report.
type runningCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *runningCounts) set(endpoint string, running int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[endpoint] = running
}

func (r *runningCounts) get(endpoint string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[endpoint]
}

// retain removes the counts of endpoints that are not listed.
func (r *runningCounts) retain(endpoints []entity.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	retained := make(map[string]int, len(endpoints))
	for _, endpoint := range endpoints {
		if count, found := r.counts[endpoint.ID]; found {
			retained[endpoint.ID] = count
		}
	}
	r.counts = retained
}
