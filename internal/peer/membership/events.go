package membership

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventJoined = event.New(1401, logrus.InfoLevel, "daemon joined the view",
		"A daemon was listed, or introduced itself.")
	eventState = event.New(1402, logrus.InfoLevel, "daemon changed its state in the view",
		"Suspect daemons did not answer; dead ones did not refute that in time; leaving ones shut down.")
	eventGone = event.New(1403, logrus.InfoLevel, "daemon dropped from the view",
		"It was dead or leaving, and the platform's list does not name it any more.")
	eventListFailed = event.New(1404, logrus.WarnLevel, "list of VMs could not be read",
		"The last list stays in use. New daemons are found through their probes.")
)

var (
	metricLive  = metric.NewCounter("Membership.Live", "Daemons that this one believes to be alive, itself included.")
	metricKnown = metric.NewCounter("Membership.Known", "Daemons that are alive or suspect, and dead ones that the platform still lists.")
)

// report logs what changed since the members before, and lets the connections
// to those that are gone go.
func (m *Membership) report(before []member.Member) {
	live, known := m.view.Reach()
	metricLive.Set(int64(live))
	metricKnown.Set(int64(known))
	old := make(map[string]member.Member, len(before))
	for _, b := range before {
		old[b.ID] = b
	}
	for _, now := range m.members {
		was, found := old[now.ID]
		delete(old, now.ID)
		switch {
		case !found:
			eventJoined.Log(m.config.Logger, logrus.Fields{"Peer": now.ID, "Address": now.Address, "FailureDomain": now.FailureDomain})
		case was.State != now.State:
			eventState.Log(m.config.Logger, logrus.Fields{"Peer": now.ID, "Before": was.State, "State": now.State})
		}
		if found && was.Address != now.Address {
			m.config.Link.Disconnect(was.Address)
		}
	}
	for id, gone := range old {
		eventGone.Log(m.config.Logger, logrus.Fields{"Peer": id})
		m.config.Link.Disconnect(gone.Address)
	}
}
