package fleet

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
)

const (
	// readyCheckInterval is the time between two counts of the ready endpoints of a back end that
	// get no requests.
	readyCheckInterval = clock.Second
	// unplacedLogInterval is the time between two log entries on a back end.
	unplacedLogInterval = 10 * clock.Second
)

// unplaced is what is known of a back end of which no endpoint may get requests.
type unplaced struct {
	checkedAt clock.Millis
	// ready counts the endpoints that the table lists as ready.
	ready int
	// nextLog is the time from which the log says so again.
	nextLog clock.Millis
}

// recordUnplaced notes that no endpoint may get a request, if the table lists ready ones. A
// request that has been tried, that only some endpoints can run or that none can says nothing of
// the back end. The caller holds mu.
func (s *Scheduler) recordUnplaced(now clock.Millis, request balance.Request) {
	if len(request.Exclude) > 0 || request.Software.Limited || !s.balancer.HasMemory(request) {
		return
	}
	u := s.unplaced[request.Backend]
	if u == nil {
		u = &unplaced{checkedAt: now - readyCheckInterval}
		s.unplaced[request.Backend] = u
	}
	if now-u.checkedAt >= readyCheckInterval {
		u.checkedAt, u.ready = now, s.countReady(request.Backend)
	}
	if u.ready == 0 {
		return
	}
	unplacedRequests.Add(request.Backend, 1)
	if now < u.nextLog {
		return
	}
	u.nextLog = now + unplacedLogInterval
	standings := make(map[string]int)
	for standing, count := range s.balancer.BackendStandings(now, request.Backend) {
		standings[standing.String()] = count
	}
	eventUnplaced.Log(s.logger, logrus.Fields{"Backend": request.Backend, "Ready": u.ready, "Standings": standings})
}

// countReady counts the endpoints of a back end that the table lists as ready, without those of
// drained failure domains. The caller holds mu.
func (s *Scheduler) countReady(backend string) (count int) {
	for _, endpoint := range s.endpoints {
		if endpoint.Backend == backend && !endpoint.Leaving && !endpoint.Missing && !s.balancer.IsDrained(endpoint.FailureDomain) {
			count++
		}
	}
	return count
}
