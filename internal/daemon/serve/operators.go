package serve

import (
	"context"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/lease"
	"github.com/banyanshift/banyanshift/internal/caller/openai"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/operator/rpc"
	"github.com/banyanshift/banyanshift/internal/usage/report"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// maxUnreportedWindows is the maximum number of sealed, unreported windows that are
// read in addition to the requested number of windows.
const maxUnreportedWindows = 100

// leaseStatusTimeout bounds the reads of other regions' leases.
const leaseStatusTimeout = 700 * clock.Millisecond

// buildOperators builds the RPC server for operators.
func (d *Daemon) buildOperators() (err error) {
	d.operators, err = rpc.New(rpc.Config{
		Settings:     d.settings.Operator,
		State:        d.state,
		Propose:      d.follower.Propose,
		FindChange:   d.changeLog.FindByRequestID,
		ChangesAfter: d.changeLog.Tail,
		UsageWindows: d.sealedUsage,
		FleetStatus:  d.fleet,
	}, d.logger)
	return err
}

// sealedUsage returns the latest sealed windows of this region, newest first.
func (d *Daemon) sealedUsage(ctx context.Context, limit int) ([]rpc.SealedWindow, error) {
	region := d.settings.Daemon.Region
	_, reported, err := report.ReadWindows(ctx, d.table, region, 0, 1)
	if err != nil {
		return nil, err
	}
	after := reported - min(reported, uint64(limit))
	windows, reported, err := report.ReadWindows(ctx, d.table, region, after, limit+maxUnreportedWindows)
	if err != nil {
		return nil, err
	}
	slices.Reverse(windows)
	sealed := make([]rpc.SealedWindow, 0, limit)
	for _, window := range windows[:min(limit, len(windows))] {
		sealed = append(sealed, rpc.SealedWindow{Window: window, Reported: window.Number <= reported})
	}
	return sealed, nil
}

// fleet describes the fleet as this daemon sees it.
func (d *Daemon) fleet(ctx context.Context) (*operatorv1.FleetStatus, error) {
	status := &operatorv1.FleetStatus{
		AnsweredBy:     d.settings.Daemon.ID,
		ConfigSequence: d.state.Sequence(),
		StoreReachable: d.follower.StoreReachable(),
		PendingChanges: int32(d.follower.PendingWithdrawals()),
		Daemons:        d.daemonStatus(),
		Backends:       d.backendStatus(),
		Classes:        d.classStatus(),
		Leases:         d.leaseStatus(ctx),
	}
	return status, nil
}

func (d *Daemon) daemonStatus() []*operatorv1.Daemon {
	sequences := d.follower.DaemonSequences()
	sequences[d.settings.Daemon.ID] = d.state.Sequence()
	view := d.members.View()
	daemons := make([]*operatorv1.Daemon, 0, len(view))
	for _, m := range view {
		daemons = append(daemons, &operatorv1.Daemon{
			ID: m.ID, Address: m.Address, Region: m.Region, FailureDomain: m.FailureDomain,
			State: string(m.State), ConfigSequence: sequences[m.ID],
		})
	}
	return daemons
}

func (d *Daemon) classStatus() []*operatorv1.ClassStatus {
	var statuses []*operatorv1.ClassStatus
	for _, class := range d.state.Classes() {
		firstTokens, inTime := openai.FirstTokenCounts(class.Name)
		statuses = append(statuses, &operatorv1.ClassStatus{Name: class.Name, Tier: int32(class.Tier), FirstTokens: firstTokens, InTime: inTime})
	}
	return statuses
}

// leaseStatus returns this region's lease as last read, and those other regions'
// leases that can be read from the store within leaseStatusTimeout.
func (d *Daemon) leaseStatus(ctx context.Context) []*operatorv1.Lease {
	ctx, cancel := context.WithTimeout(ctx, leaseStatusTimeout.Duration())
	defer cancel()
	ownRegion := d.settings.Daemon.Region
	regions := []string{ownRegion}
	for _, m := range d.members.View() {
		if !slices.Contains(regions, m.Region) {
			regions = append(regions, m.Region)
		}
	}
	slices.Sort(regions)
	var statuses []*operatorv1.Lease
	for _, region := range regions {
		row := d.leaseView.latest()
		if region != ownRegion {
			var err error
			if row, err = lease.Peek(ctx, d.table, leasePrefix+region); err != nil {
				continue
			}
		}
		statuses = append(statuses, &operatorv1.Lease{Scope: region, Holder: row.Holder, Fence: row.Fence})
	}
	return statuses
}

func (d *Daemon) backendStatus() []*operatorv1.BackendStatus {
	byName := make(map[string]*operatorv1.BackendStatus)
	var statuses []*operatorv1.BackendStatus
	for _, backend := range d.state.Backends() {
		status := &operatorv1.BackendStatus{Name: backend.Name}
		byName[backend.Name] = status
		statuses = append(statuses, status)
	}
	for _, endpoint := range d.watcher.Endpoints() {
		status := byName[endpoint.Backend]
		if status == nil {
			continue
		}
		countEndpoint(status, endpoint)
	}
	return statuses
}

func countEndpoint(status *operatorv1.BackendStatus, endpoint entity.Endpoint) {
	status.MilliPricePerHour += endpoint.MilliPrice
	switch {
	case endpoint.Leaving:
		status.Leaving++
	case endpoint.Market == entity.Cheap:
		status.Cheap++
	default:
		status.Firm++
	}
}
