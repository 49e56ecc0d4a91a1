package replicate

import (
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var errMalformedCopyRequest = errors.New("malformed usage parcel")

var (
	eventFailed = event.New(1700, logrus.WarnLevel, "usage not copied or not saved",
		"A peer or the table did not accept usage batches. They are kept in memory and retried. Logged at most once per 10 s for each step; see Usage.Failures and Usage.UnsavedBytes.")
	eventRescued = event.New(1701, logrus.InfoLevel, "usage of a lost daemon saved",
		"This daemon had copies of the usage of a daemon that died and wrote them to the table.")
	eventRescueFailed = event.New(1702, logrus.WarnLevel, "usage of a lost daemon not saved yet",
		"The table did not accept the copies. They are kept in memory and retried.")
)

var (
	unsavedBytes   = metric.NewCounter("Usage.UnsavedBytes", "Bytes of this daemon's usage that are not in the table yet.")
	copiedBytes    = metric.NewCounter("Usage.CopiedBytes", "Bytes of other daemons' usage that are kept in memory.")
	failures       = metric.NewMap("Usage.Failures", "Failed attempts to copy or save usage, by step.")
	rescuedBatches = metric.NewCounter("Usage.RescuedBatches", "Batches of dead daemons that this daemon wrote to the table.")
)

// logInterval is the minimum time between two log lines about the same step.
const logInterval = 10 * clock.Second

func (r *Replicator) recordFailure(step string, err error) {
	failures.Add(step, 1)
	if !r.shouldLog(step) {
		return
	}
	eventFailed.Log(r.cfg.Logger, logrus.Fields{"Step": step, "Error": err.Error()})
}

func (r *Replicator) shouldLog(step string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	last, logged := r.lastLogged[step]
	if logged && now-last < logInterval {
		return false
	}
	r.lastLogged[step] = now
	return true
}

func (r *Replicator) recordRescue(incarnation string, batches int, err error) {
	rescuedBatches.Add(int64(batches))
	fields := logrus.Fields{"Incarnation": incarnation, "Batches": batches}
	if err != nil {
		fields["Error"] = err.Error()
		eventRescueFailed.Log(r.cfg.Logger, fields)
		return
	}
	eventRescued.Log(r.cfg.Logger, fields)
}
