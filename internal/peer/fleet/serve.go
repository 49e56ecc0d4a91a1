package fleet

import (
	"context"

	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// registerHandlers registers the handlers for the messages of other daemons.
func (f *Fleet) registerHandlers() {
	link.Handle(f.config.Link, message.FleetContact, f.servePing)
	link.Handle(f.config.Link, message.FleetReports, f.serveReports)
	link.Handle(f.config.Link, message.FleetEndpointChanges, f.serveEndpointChanges)
	link.Handle(f.config.Link, message.FleetNews, f.serveNews)
	link.Handle(f.config.Link, message.FleetDocument, f.serveDocument)
	link.Handle(f.config.Link, message.FleetEndpoints, f.serveEndpoints)
	link.Handle(f.config.Link, message.FleetUsage, f.serveUsage)
	link.Handle(f.config.Link, message.FleetStreams, f.serveStreams)
	link.Handle(f.config.Link, message.FleetStreamOrigin, f.serveOrigin)
}

func (f *Fleet) servePing(_ context.Context, _ string, request ping) (pong, error) {
	now := f.config.Clock.Now()
	f.recordFence(request.Fence)
	crashes := f.config.Crashes.Fingerprint()
	answer := pong{VM: f.config.Self, Wall: f.config.WallTime.Wall(), Fence: f.KnownFence(), Crashes: &crashes, Build: f.build}
	if identity, confirmed, known := f.config.Document.Identity(); known {
		answer.Document = newDocumentState(identity, confirmed, now)
	}
	answer.Drains = &drainState{}
	if drains, known := f.config.Drains.State(now); known {
		answer.Drains = newDrainState(drains, now)
	}
	if list := f.config.Roster.State(); list.Known {
		answer.ListKnown, answer.ListPosition, answer.ListDigest, answer.ListAge = true, list.Position, list.Digest, now-list.AsOf
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.RecordPing(now, request.VM, request.Subscribe, request.Daemons)
	answer.Status, answer.Upstream = f.view.Status(now), f.upstreamVM(now)
	if request.WantList {
		answer.VMs = f.view.List(request.VM.FailureDomain)
	}
	return answer, nil
}

func (f *Fleet) serveEndpointChanges(_ context.Context, _ string, changes endpointChanges) (struct{}, error) {
	f.config.Roster.UpdateFromPeer(changes.Changed, changes.Removed, changes.Position)
	return struct{}{}, nil
}

func (f *Fleet) serveDocument(context.Context, string, documentRequest) (documentAnswer, error) {
	raw, identity, confirmed := f.config.Document.Encoded()
	return documentAnswer{Raw: raw, State: newDocumentState(identity, confirmed, f.config.Clock.Now())}, nil
}

func (f *Fleet) serveEndpoints(context.Context, string, endpointsRequest) (endpointsAnswer, error) {
	list, at, asOf, known := f.config.Roster.List()
	if !known {
		return endpointsAnswer{}, nil
	}
	return endpointsAnswer{Known: true, Endpoints: withColdFor(list, f.config.Clock.Now()), Position: at, Age: f.config.Clock.Now() - asOf}, nil
}

func (f *Fleet) serveUsage(_ context.Context, _ string, request usageRequest) (usageAnswer, error) {
	return usageAnswer{Sheets: f.config.Tally.Snapshots(request.First), Seals: f.config.Tally.Seals(request.First)}, nil
}
