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
	storeCalls  = metric.NewMap("Store.Calls", "Calls to the store, by call and outcome.")
	storeTimes  = metric.NewHistograms("Store.Time", "Duration of calls to the store in ms, by call, except for calls that wait for changes.")
	holderCalls = metric.NewMap("Duty.Calls", "Calls that only the lease holder makes, by call and outcome.")
	holderTimes = metric.NewHistograms("Duty.Time", "Duration of calls that only the lease holder makes in ms, by call.")
)

// observeStoreCall notes the store's era and updates its metrics. The duration of "Changes"
// is not recorded, since that call waits for changes.
func (d *Daemon) observeStoreCall(call table.Call) {
	d.eras.Observe(call.Era)
	storeCalls.Add(call.Name+"."+call.Outcome(), 1)
	if call.Name != "Changes" {
		storeTimes.Record(call.Name, call.Duration)
	}
}

// recordHolderCall updates the metrics of the lease holder's calls.
func (d *Daemon) recordHolderCall(name string, started clock.Millis, err error) {
	holderCalls.Add(name+"."+holderCallOutcome(err), 1)
	holderTimes.Record(name, d.clock.Now()-started)
}

// holderCallOutcome returns the outcome of a lease holder's call for the metrics.
func holderCallOutcome(err error) string {
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
