package gateway

import (
	"context"
	"maps"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/guard"
	"github.com/banyanshift/banyanshift/coord/lease"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/decide/supply"
	"github.com/banyanshift/banyanshift/internal/order/leader"
	"github.com/banyanshift/banyanshift/internal/order/reconcile"
	"github.com/banyanshift/banyanshift/internal/platform/rest"
	"github.com/banyanshift/banyanshift/internal/usage/billing"
)

// leaseKey is the key of the lease whose holder reports usage and orders endpoints.
const leaseKey = "Lease/Duties"

const (
	// leaseTTL is the time after which an unrenewed lease can be taken over.
	leaseTTL = 2 * clock.Second
	// settleTime is the longest time for which a call that the previous holder
	// sent just before its lease ended can still be in flight.
	settleTime = 300 * clock.Millisecond
)

// leaseCandidates is the number of daemons that compete for the lease. More would
// only add calls to the store. The daemons with the lowest rank compete; the next
// ones replace those that no longer answer.
const leaseCandidates = 2

// buildLease builds the lease and the work of its holder.
func (d *Daemon) buildLease() {
	d.lease = lease.New(lease.Config{
		Table: d.table, Clock: d.clock, Key: leaseKey, Holder: d.incarnation, TTL: leaseTTL, Rand: d.random(5),
		Candidate:  func() bool { return d.fleet.LeaderRank() < leaseCandidates },
		KnownFence: d.fleet.KnownFence,
	})
	biller := billing.New(billing.Config{
		Table: d.table, Clock: d.clock, Logger: d.logger, Tally: d.tally, CollectUsage: d.fleet.CollectUsage,
		Guard: d.guardLease, Eras: d.eras, Report: d.reportUsage,
	})
	reconciler := reconcile.New(reconcile.Config{Clock: d.clock, Logger: d.logger, Desired: d.desired, Send: d.sendOrder})
	d.leader = leader.New(leader.Config{
		Clock: d.clock, Logger: d.logger, Scope: leaseKey, Lease: d.lease.Valid, SettleTime: settleTime,
		ReacquireDelay: d.settings.Bounds.LeaseTime, Work: []leader.Work{biller.Work, reconciler.Work},
	})
}

// guardLease returns a condition that is true until another daemon acquires the lease. It
// fails unless this daemon holds the lease under the fence now.
func (d *Daemon) guardLease(ctx context.Context, fence uint64) (table.Condition, error) {
	return d.leader.Guard(d.table, leaseKey)(ctx, fence)
}

// holderCall returns the address, the identity and the client for a call under a
// fence. The client refuses to write once the lease is lost.
func (d *Daemon) holderCall(fence uint64) HolderCall {
	g := guard.New(guard.ForFence(d.leader.Lease, fence), d.clock)
	return HolderCall{
		Address: d.settings.Platform.Duties, Holder: d.settings.Daemon.ID, Fence: fence,
		Client: rest.NewHTTPClient(g.Transport(), d.platformLimits(), 0),
	}
}

func (d *Daemon) reportUsage(ctx context.Context, fence uint64, window billing.Window) (err error) {
	started := d.clock.Now()
	defer func() { d.recordHolderCall("Report", started, err) }()
	return d.platform.ReportUsage(ctx, d.holderCall(fence), window)
}

func (d *Daemon) sendOrder(ctx context.Context, fence uint64, order supply.Order) (err error) {
	started := d.clock.Now()
	defer func() { d.recordHolderCall("Order", started, err) }()
	return d.platform.SendOrder(ctx, d.holderCall(fence), order)
}

// desired returns the orders that describe the current desired counts.
func (d *Daemon) desired() []supply.Order {
	index, _ := d.document.Current()
	if index == nil {
		return nil
	}
	var orders []supply.Order
	for _, backend := range index.Backends() {
		promptLoad, serving := d.scheduler.PromptLoad(backend.Name)
		orders = append(orders, d.planner.Decide(d.clock.Now(), supply.Input{
			Backend: backend, Domains: d.domainsOf(backend.Name), PromptLoad: promptLoad, ServingEndpoints: serving,
		})...)
	}
	return orders
}

// domainsOf returns the failure domains of a back end's endpoints, sorted by name,
// with the number of cheap endpoints that serve in each.
func (d *Daemon) domainsOf(backend string) []supply.Domain {
	list := d.endpoints.Load()
	if list == nil {
		return nil
	}
	cheap := make(map[string]int)
	for _, endpoint := range *list {
		if endpoint.Backend != backend {
			continue
		}
		serving := endpoint.Cheap && !endpoint.Leaving && !endpoint.Missing
		cheap[endpoint.FailureDomain] += countIf(serving)
	}
	var domains []supply.Domain
	for _, name := range slices.Sorted(maps.Keys(cheap)) {
		domains = append(domains, supply.Domain{Name: name, CheapEndpoints: cheap[name]})
	}
	return domains
}

func countIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
