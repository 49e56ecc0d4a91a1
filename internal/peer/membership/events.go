package membership

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventJoined = event.New(1401, logrus.InfoLevel, "daemon joined the view",
		"The platform's list names the daemon, or a probe reported it.")
	eventState = event.New(1402, logrus.InfoLevel, "daemon changed its state in the view",
		"A suspect daemon did not answer probes. A dead one did not refute the suspicion in time. A leaving one is shutting down.")
	eventGone = event.New(1403, logrus.InfoLevel, "daemon dropped from the view",
		"It was dead or leaving, and the platform's list no longer names it.")
	eventListFailed = event.New(1404, logrus.WarnLevel, "list of VMs could not be read",
		"The last list stays in use. New daemons are discovered through their probes.")
)

var (
	metricLive  = metric.NewCounter("Membership.Live", "Daemons that are alive in this daemon's view, including itself.")
	metricKnown = metric.NewCounter("Membership.Known", "Daemons that are alive or suspect, and dead ones that are still on the platform's list.")
)

// logChanges sets the metrics, logs the difference between the members before and
// now, and closes connections to removed members and replaced addresses.
func (m *Membership) logChanges(before []member.Member) {
	live, known := m.view.MemberCounts()
	metricLive.Set(int64(live))
	metricKnown.Set(int64(known))
	previous := make(map[string]member.Member, len(before))
	for _, b := range before {
		previous[b.ID] = b
	}
	for _, now := range m.members {
		was, found := previous[now.ID]
		delete(previous, now.ID)
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
	for id, last := range previous {
		eventGone.Log(m.config.Logger, logrus.Fields{"Peer": id})
		m.config.Link.Disconnect(last.Address)
	}
}
