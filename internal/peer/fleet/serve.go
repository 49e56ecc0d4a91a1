package fleet

import (
	"context"

	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// registerHandlers registers the handlers for the messages of other daemons.
func (f *Fleet) registerHandlers() {
	link.Handle(f.config.Link, message.FleetPing, f.servePing)
	link.Handle(f.config.Link, message.FleetUpdate, f.serveUpdate)
	link.Handle(f.config.Link, message.FleetDocument, f.serveDocument)
	link.Handle(f.config.Link, message.FleetEndpoints, f.serveEndpoints)
	link.Handle(f.config.Link, message.FleetUsage, f.serveUsage)
}

func (f *Fleet) servePing(_ context.Context, _ string, request ping) (pong, error) {
	f.addPeer(request.ID, request.Address)
	now := f.config.Clock.Now()
	answer := pong{ID: f.config.Self.ID}
	if index, confirmed := f.config.Document.Current(); index != nil {
		answer.Version, answer.VersionAge = index.Version(), now-confirmed
	}
	if list := f.config.Roster.State(); list.Known {
		answer.ListRevision, answer.ListDigest, answer.ListAge = list.Revision, list.Digest, now-list.AsOf
	}
	answer.Peers = f.peersUnlessCount(request.Peers)
	return answer, nil
}

// peersUnlessCount returns the peers, or nil if there are known of them: then
// the asking daemon most likely has the same list.
func (f *Fleet) peersUnlessCount(known int) []vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	var peers []vm
	for _, p := range f.peers {
		if p.everAnswered {
			peers = append(peers, vm{ID: p.id, Address: p.address})
		}
	}
	if len(peers) == known {
		return nil
	}
	return peers
}

func (f *Fleet) serveUpdate(_ context.Context, _ string, u update) (struct{}, error) {
	f.config.Scheduler.applyUpdate(u)
	for _, id := range u.Leaving {
		f.config.Roster.MarkLeaving(id)
	}
	for _, id := range u.Gone {
		f.config.Roster.RemoveIfMissing(id)
	}
	f.config.Tally.Merge(u.Usage)
	return struct{}{}, nil
}

func (f *Fleet) serveDocument(_ context.Context, _ string, request documentRequest) (documentAnswer, error) {
	index, confirmed := f.config.Document.Current()
	if index == nil || index.Version() <= request.Version {
		return documentAnswer{}, nil
	}
	return documentAnswer{Raw: f.config.Document.Raw(), Age: f.config.Clock.Now() - confirmed}, nil
}

func (f *Fleet) serveEndpoints(context.Context, string, endpointsRequest) (endpointsAnswer, error) {
	list, revision, asOf, known := f.config.Roster.List()
	if !known {
		return endpointsAnswer{}, nil
	}
	return endpointsAnswer{Endpoints: list, Revision: revision, Age: f.config.Clock.Now() - asOf}, nil
}

func (f *Fleet) serveUsage(_ context.Context, _ string, request usageRequest) (usageAnswer, error) {
	return usageAnswer{Sheets: f.config.Tally.Snapshots(request.First)}, nil
}
