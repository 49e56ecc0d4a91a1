package gateway

import (
	"context"
	"errors"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
	"github.com/banyanshift/banyanshift/internal/order/reconcile"
)

var (
	storeCalls = metric.NewMap("Store.Calls", "Calls of the store, by call and outcome.")
	storeTimes = metric.NewHistograms("Store.Time", "Duration of calls of the store in ms, by call; those that wait for changes are left out.")
	dutyCalls  = metric.NewMap("Duty.Calls", "Calls that only the holder of the lease makes, by call and outcome.")
	dutyTimes  = metric.NewHistograms("Duty.Time", "Duration of calls that only the holder of the lease makes, in ms, by call.")
)

// noteStoreCall counts a call of the store.
func noteStoreCall(call table.Call) {
	storeCalls.Add(call.Name+"."+call.Outcome(), 1)
	if call.Name != "Changes" {
		storeTimes.Record(call.Name, call.Duration)
	}
}

// noteDutyCall counts a call of the holder that began at an instant.
func (d *Daemon) noteDutyCall(name string, began clock.Millis, err error) {
	dutyCalls.Add(name+"."+dutyOutcome(err), 1)
	dutyTimes.Record(name, d.clock.Now()-began)
}

// dutyOutcome names what became of a call of the holder.
func dutyOutcome(err error) string {
	switch {
	case err == nil:
		return "Done"
	case errors.Is(err, reconcile.ErrNoneAvailable):
		return "NoneAvailable"
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return "NoAnswer"
	}
	return "Failed"
}
