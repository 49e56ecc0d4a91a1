package gateway

import (
	"context"
	"maps"
	"net/http"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/guard"
	"github.com/banyanshift/banyanshift/coord/lease"
	"github.com/banyanshift/banyanshift/internal/decide/supply"
	"github.com/banyanshift/banyanshift/internal/order/leader"
	"github.com/banyanshift/banyanshift/internal/order/reconcile"
	"github.com/banyanshift/banyanshift/internal/usage/billing"
)

// leaseKey is the row of the lease under which usage is reported and endpoints
// are ordered.
const leaseKey = "Lease/Duties"

const (
	// leaseTTL is how long the lease stands without a renewal.
	leaseTTL = 2 * clock.Second
	// settleTime is how long a call that the predecessor sent just before its
	// lease ended may be under way.
	settleTime = 300 * clock.Millisecond
)

// candidates is how many daemons compete for the lease. The others would only
// add to the calls of the store; they step in when these no longer answer.
const candidates = 2

// buildDuties builds the lease and what its holder does.
func (d *Daemon) buildDuties() {
	d.lease = lease.New(lease.Config{
		Table: d.table, Clock: d.clock, Key: leaseKey, Holder: d.incarnation, TTL: leaseTTL, Rand: d.random(5),
		Candidate: func() bool { return d.fleet.Rank() < candidates },
	})
	biller := billing.New(billing.Config{
		Table: d.table, Clock: d.clock, Logger: d.logger, Tally: d.tally, CollectUsage: d.fleet.CollectUsage,
		Guard: leader.Guard(d.table, leaseKey), Report: d.report,
	})
	keeper := reconcile.New(reconcile.Config{Clock: d.clock, Logger: d.logger, Desired: d.wanted, Send: d.order})
	d.hold = leader.New(leader.Config{
		Clock: d.clock, Logger: d.logger, Scope: leaseKey, Lease: d.lease.Valid, SettleTime: settleTime,
		ReacquireDelay: d.settings.Bounds.LeaseTime, Work: []leader.Work{biller.Work, keeper.Work},
	})
}

// dutyCall describes a call of the holder under a fence. Its client refuses to
// write once the lease has passed on.
func (d *Daemon) dutyCall(fence uint64) HolderCall {
	g := guard.New(guard.ForFence(d.hold.Lease, fence), d.clock)
	return HolderCall{
		Address: d.settings.Platform.Duties, Holder: d.settings.Daemon.ID, Fence: fence,
		Client: &http.Client{Transport: g.Transport()},
	}
}

func (d *Daemon) report(ctx context.Context, fence uint64, window billing.Window) (err error) {
	began := d.clock.Now()
	defer func() { d.noteDutyCall("Report", began, err) }()
	return d.platform.ReportUsage(ctx, d.dutyCall(fence), window)
}

func (d *Daemon) order(ctx context.Context, fence uint64, order supply.Order) (err error) {
	began := d.clock.Now()
	defer func() { d.noteDutyCall("Order", began, err) }()
	return d.platform.SendOrder(ctx, d.dutyCall(fence), order)
}

// wanted returns the orders that should stand now.
func (d *Daemon) wanted() []supply.Order {
	index, _ := d.document.Current()
	if index == nil {
		return nil
	}
	var orders []supply.Order
	for _, backend := range index.Backends() {
		busy, serving := d.board.PromptLoad(backend.Name)
		orders = append(orders, d.planner.Decide(d.clock.Now(), supply.Input{
			Backend: backend, Domains: d.domainsOf(backend.Name), PromptLoad: busy, ServingEndpoints: serving,
		})...)
	}
	return orders
}

// domainsOf returns the failure domains in which a back end runs, in the order
// of their names.
func (d *Daemon) domainsOf(backend string) []supply.Domain {
	list := d.listed.Load()
	if list == nil {
		return nil
	}
	cheap := make(map[string]int)
	for _, endpoint := range *list {
		if endpoint.Backend != backend {
			continue
		}
		serving := endpoint.Cheap && !endpoint.Leaving && !endpoint.Missing
		cheap[endpoint.FailureDomain] += count(serving)
	}
	var domains []supply.Domain
	for _, name := range slices.Sorted(maps.Keys(cheap)) {
		domains = append(domains, supply.Domain{Name: name, CheapEndpoints: cheap[name]})
	}
	return domains
}

func count(holds bool) int {
	if holds {
		return 1
	}
	return 0
}
