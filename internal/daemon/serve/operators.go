package serve

import (
	"context"
	"slices"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/operator/rpc"
	"github.com/banyanshift/banyanshift/internal/usage/report"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// unreportedWindows is how many windows that are sealed and not reported yet
// are shown at most besides those asked for.
const unreportedWindows = 100

// buildOperators builds the operators' interface.
func (d *Daemon) buildOperators() (err error) {
	d.operators, err = rpc.New(rpc.Config{
		Settings: d.settings.Operator,
		State:    d.state,
		Propose:  d.follower.Propose,
		Audit:    d.log.Tail,
		Usage:    d.sealedUsage,
		Fleet:    d.fleet,
	}, d.logger)
	return err
}

// sealedUsage returns the last sealed windows of this region, latest first.
func (d *Daemon) sealedUsage(ctx context.Context, limit int) ([]rpc.SealedWindow, error) {
	region := d.settings.Daemon.Region
	_, reported, err := report.Windows(ctx, d.table, region, 0, 1)
	if err != nil {
		return nil, err
	}
	after := reported - min(reported, uint64(limit))
	windows, reported, err := report.Windows(ctx, d.table, region, after, limit+unreportedWindows)
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
func (d *Daemon) fleet(context.Context) (*operatorv1.FleetStatus, error) {
	status := &operatorv1.FleetStatus{
		AnsweredBy:     d.settings.Daemon.ID,
		ConfigSequence: d.state.Sequence(),
		StoreReachable: d.follower.StoreReachable(),
		PendingChanges: int32(d.follower.Pending()),
		Daemons:        d.daemonStatus(),
		Backends:       d.backendStatus(),
	}
	return status, nil
}

func (d *Daemon) daemonStatus() []*operatorv1.Daemon {
	sequences := d.follower.Sequences()
	sequences[d.settings.Daemon.ID] = d.state.Sequence()
	view := d.roster.View()
	daemons := make([]*operatorv1.Daemon, 0, len(view))
	for _, m := range view {
		daemons = append(daemons, &operatorv1.Daemon{
			ID: m.ID, Address: m.Address, Region: m.Region, FailureDomain: m.FailureDomain,
			State: string(m.State), ConfigSequence: sequences[m.ID],
		})
	}
	return daemons
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
