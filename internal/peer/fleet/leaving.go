package fleet

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/caller/relay"
)

// RecordLeaving records that the endpoint of a placement said in an answer that it is
// leaving. The daemon that first hears of it tells all others.
func (f *Fleet) RecordLeaving(p relay.Placement) {
	if !f.config.Roster.MarkLeaving(p.Endpoint, p.Incarnation) {
		return
	}
	eventEndpointLeaves.Log(f.config.Logger, logrus.Fields{"Endpoint": p.Endpoint, "Source": "Answer"})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newLeaving = append(f.newLeaving, leavingEndpoint{ID: p.Endpoint, Incarnation: p.Incarnation})
}

// applyLeaving records what other daemons heard of endpoints that are leaving.
func (f *Fleet) applyLeaving(list []leavingEndpoint) {
	for _, endpoint := range list {
		if f.config.Roster.MarkLeaving(endpoint.ID, endpoint.Incarnation) {
			eventEndpointLeaves.Log(f.config.Logger, logrus.Fields{"Endpoint": endpoint.ID, "Source": "Peer"})
		}
	}
}
