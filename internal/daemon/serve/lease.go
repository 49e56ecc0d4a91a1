package serve

import (
	"context"
	"net/http"

	coordclaim "github.com/banyanshift/banyanshift/coord/claim"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/guard"
	"github.com/banyanshift/banyanshift/coord/lease"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/order/dispatch"
	"github.com/banyanshift/banyanshift/internal/order/journal"
	"github.com/banyanshift/banyanshift/internal/order/leader"
	"github.com/banyanshift/banyanshift/internal/platform/rest"
	"github.com/banyanshift/banyanshift/internal/platform/usage"
	"github.com/banyanshift/banyanshift/internal/usage/replicate"
	"github.com/banyanshift/banyanshift/internal/usage/report"
)

const (
	// leasePrefix starts the keys of the regions' leases.
	leasePrefix = "Lease/"
	// leaseTTL is the time after which a region's unrenewed lease can be taken over.
	leaseTTL = 6 * clock.Second
	// leaseCandidates is the number of daemons of a region that compete for its lease.
	leaseCandidates = 3
	// settleMargin is added to the timeout of platform calls for the time that a new
	// holder waits before it acts, so that no orders or reports of a previous holder
	// are still in flight.
	settleMargin = 1 * clock.Second
	// minClaimEpochs is the minimum number of whole hours for which claims are kept.
	minClaimEpochs = 24
	// claimPageSize is the number of claims that are read and deleted at once.
	claimPageSize = 200
	// minJournalOrders is the minimum number of orders that the journal keeps.
	minJournalOrders = 1000
)

// buildLease builds the region's lease, the work of its holder, and the usage
// replication and reports.
func (d *Daemon) buildLease() error {
	region := d.settings.Daemon.Region
	leaseKey := leasePrefix + region
	d.lease = lease.New(lease.Config{
		Table: d.table, Clock: d.clock, Key: leaseKey, Holder: d.incarnation, TTL: leaseTTL,
		Rand: d.random(4), Candidate: d.leaseCandidate,
	})
	d.replicator = replicate.New(replicate.Config{
		Link: d.link, Clock: d.clock, Logger: d.logger, Table: d.table, Self: d.self(),
		Incarnation: replicate.Incarnation(d.self(), d.incarnation), View: d.members.View, TakePayload: d.meter.TakePayload,
	})
	d.leaseView = &leaseView{daemon: d, key: leaseKey}
	d.dispatcher = dispatch.New(dispatch.Config{
		Journal: journal.New(journal.Config{
			Table: d.table, Clock: d.clock, Scope: region, Holder: d.settings.Daemon.ID,
			Guard: leader.Guard(d.table, leaseKey), Keep: minJournalOrders,
		}),
		Clock: d.clock, Logger: d.logger, Holder: d.settings.Daemon.ID,
		Send: d.sendOrder, HandleClosedOrder: func(entry journal.Entry) { d.planner.HandleClosedOrder(entry) },
	})
	d.buildCapacity()
	d.leader = leader.New(leader.Config{
		Clock: d.clock, Logger: d.logger, Scope: region, Lease: d.lease.Valid,
		SettleTime: d.settings.Platform.CallTimeout + settleMargin,
		Work:       []leader.Work{d.dispatcher.Run, d.planner.Run, d.cleanClaims},
	})
	d.reporter = report.New(report.Config{
		Table: d.table, Clock: d.clock, Logger: d.logger, Region: region, Daemon: d.settings.Daemon.ID,
		Lease: d.leader.Lease, Guard: leader.Guard(d.table, leaseKey),
		NewClient: d.usageClient, WindowLength: d.settings.Daemon.UsageWindow,
	})
	return nil
}

// cleanClaims deletes old claims while this daemon holds the lease; it is a
// leader.Work.
func (d *Daemon) cleanClaims(ctx context.Context, _ leader.Term) error {
	return coordclaim.NewCleaner(coordclaim.CleanerConfig{
		Table: d.table, Clock: d.clock, Prefix: claimPrefix, EpochKey: claimEpochKey,
		EpochLength: clock.Hour, KeepEpochs: minClaimEpochs, PageSize: claimPageSize,
		Active: func() bool { return true },
	}).Run(ctx)
}

// self returns this daemon as a member, with its listen address if no address to
// advertise is configured.
func (d *Daemon) self() member.Member {
	address := d.settings.Peer.Advertise
	if address == "" {
		address = d.settings.Peer.Listen
	}
	return member.Member{
		ID: d.settings.Daemon.ID, Address: address, Region: d.settings.Daemon.Region,
		FailureDomain: d.settings.Daemon.FailureDomain, State: member.Alive,
	}
}

// regionView returns the members of this daemon's region.
func (d *Daemon) regionView() []member.Member {
	var regional []member.Member
	for _, m := range d.members.View() {
		if m.Region == d.settings.Daemon.Region {
			regional = append(regional, m)
		}
	}
	return regional
}

// addressOf returns the address of a member.
func (d *Daemon) addressOf(id string) (address string, found bool) {
	for _, m := range d.members.View() {
		if m.ID == id {
			return m.Address, true
		}
	}
	return "", false
}

// leaseCandidate reports whether this daemon competes for the lease. Only a few
// daemons do, so that the whole fleet doesn't read the row.
func (d *Daemon) leaseCandidate() bool {
	picked := member.Pick(d.regionView(), leasePrefix+d.settings.Daemon.Region, leaseCandidates)
	for _, m := range picked {
		if m.ID == d.settings.Daemon.ID {
			return true
		}
	}
	return len(picked) == 0
}

// guardedClient returns a client whose connections refuse to write unless this
// daemon holds the lease under the fence.
func (d *Daemon) guardedClient(fence uint64) *http.Client {
	g := guard.New(guard.ForFence(d.lease.Valid, fence), d.clock)
	return rest.NewHTTPClient(g.Transport(), d.platformLimits(), d.settings.Platform.CallTimeout)
}

func (d *Daemon) usageClient(fence uint64) usage.Client {
	return usage.New(d.settings.Platform.UsageURL, d.guardedClient(fence))
}
