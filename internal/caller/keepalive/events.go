package keepalive

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventShutdown = event.New(1104, logrus.InfoLevel, "connections of callers are ending",
		"No new connections are accepted. Idle ones end now, those on which no request has come yet a second after they were made, and the others once their request is answered.")
	eventAbandoned = event.New(1105, logrus.WarnLevel, "connections of callers are left at the end of the grace time",
		"Their requests were not answered in time and are cut off.")
	eventUnanswered = event.New(1106, logrus.WarnLevel, "connection of a caller ends before its request was answered",
		"A part of the request was read SinceRead ms ago. Unread are the bytes that had arrived after that.")
	eventEnded = event.New(1107, logrus.InfoLevel, "connections of callers have ended",
		"Accepted are the connections that were waiting when the shutdown began, LastReads the requests that arrived on connections that were about to end.")

	eventYield = event.New(1108, logrus.WarnLevel, "connections of callers yield",
		"As many connections are open as may be, or memory is short. Why says for what the connection yielded, as in the metric Caller.Yielded. Logged at most every 10 s.")

	yields     = metric.NewMap("Caller.Yielded", "Connections and requests that yielded before they had arrived whole, or were idle, by what for; and those for which there was no room.")
	unanswered = metric.NewCounter("Caller.Unanswered", "Connections that were closed after a part of a request was read and before anything was answered.")
)

// connCounts counts open connections by state.
type connCounts struct {
	fresh, idle, busy int
}

// countConnections counts the open connections.
func (s *Server) countConnections() (counts connCounts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.countIn(&counts)
	}
	return counts
}

// countIn adds the connection to the count of its state.
func (c *conn) countIn(counts *connCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.idle:
		counts.busy++
	case c.used:
		counts.idle++
	default:
		counts.fresh++
	}
}

func (c connCounts) fields() logrus.Fields {
	return logrus.Fields{"New": c.fresh, "Idle": c.idle, "Busy": c.busy, "Unanswered": unanswered.Value()}
}
