package replicate

import (
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var errParcel = errors.New("malformed usage parcel")

var (
	eventFailed = event.New(1700, logrus.WarnLevel, "usage not copied or not saved",
		"A peer or the table did not take usage batches. They are kept in memory and tried again. Logged once in 10 s; see Usage.Failures and Usage.UnsavedBytes.")
	eventRescued = event.New(1701, logrus.InfoLevel, "usage of a lost daemon saved",
		"This daemon had copies of the usage of a daemon that died and has written them to the table.")
	eventRescueFailed = event.New(1702, logrus.WarnLevel, "usage of a lost daemon not saved yet",
		"The table did not take the copies. They are kept in memory and tried again.")
)

var (
	unsavedBytes = metric.NewCounter("Usage.UnsavedBytes", "Bytes of this daemon's usage that wait for the table.")
	copiedBytes  = metric.NewCounter("Usage.CopiedBytes", "Bytes of other daemons' usage that are kept in memory.")
	failures     = metric.NewMap("Usage.Failures", "Failed attempts to copy or save usage, by kind.")
	rescues      = metric.NewCounter("Usage.RescuedBatches", "Batches of daemons that died which this daemon has saved.")
)

// logInterval is the least time between two entries about the same step.
const logInterval = 10 * clock.Second

func (r *Replicator) failed(what string, err error) {
	failures.Add(what, 1)
	if !r.worthLogging(what) {
		return
	}
	eventFailed.Log(r.cfg.Logger, logrus.Fields{"Step": what, "Error": err.Error()})
}

func (r *Replicator) worthLogging(what string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	last, logged := r.logged[what]
	if logged && now-last < logInterval {
		return false
	}
	r.logged[what] = now
	return true
}

func (r *Replicator) rescued(incarnation string, batches int, err error) {
	rescues.Add(int64(batches))
	fields := logrus.Fields{"Incarnation": incarnation, "Batches": batches}
	if err != nil {
		fields["Error"] = err.Error()
		eventRescueFailed.Log(r.cfg.Logger, fields)
		return
	}
	eventRescued.Log(r.cfg.Logger, fields)
}
