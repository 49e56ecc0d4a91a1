package gateway

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventDrains = event.New(1532, logrus.InfoLevel, "failure domains drained",
		"The operator has drained failure domains or taken drains back. Endpoints of the stated domains get no new requests; none is drained if the list is empty.")
	eventStarted = event.New(1010, logrus.InfoLevel, "gateway started",
		"The gateway is listening. It serves callers once it has read a configuration.")
	eventStopping = event.New(1011, logrus.InfoLevel, "gateway is shutting down",
		"The readiness check fails from now on; in-flight requests are completed.")
	eventStopped = event.New(1012, logrus.InfoLevel, "gateway stopped",
		"Every request was completed or the grace time had passed.")
	eventReloaded = event.New(1013, logrus.InfoLevel, "settings reloaded",
		"The settings file was read again.")
	eventVersion = event.New(1530, logrus.InfoLevel, "configuration in force",
		"A version of the configuration was read from the store.")
	eventVersionUnreadable = event.New(1531, logrus.ErrorLevel, "configuration cannot be read",
		"The configuration in the store cannot be decoded; the last valid version stays in force.")
	eventEndpointChanged = event.New(1210, logrus.InfoLevel, "endpoint changed",
		"An endpoint was added, started to leave, is missing after an outage of the store, or was removed.")
	eventEndpointsKnown = event.New(1214, logrus.InfoLevel, "endpoints known",
		"The first list of endpoints was received. Later changes are logged one by one.")
	eventEndpointUnreadable = event.New(1211, logrus.WarnLevel, "entry of an endpoint cannot be read",
		"The entry of the endpoint in the store cannot be decoded; the endpoint is not used.")
)

// Gauges of the daemon's state, set by runGauges.
var (
	gaugeVersion      = metric.NewCounter("Gateway.Version", "Version of the configuration in force.")
	gaugeVersionAge   = metric.NewCounter("Gateway.VersionAge", "Milliseconds since the configuration was last confirmed to be the newest.")
	gaugeEndpointsAge = metric.NewCounter("Gateway.EndpointsAge", "Milliseconds since the list of endpoints was last confirmed to be up to date.")
	gaugeDaemons      = metric.NewCounter("Gateway.Daemons", "Known daemons of the fleet, this one included.")
	gaugeInFlight     = metric.NewCounter("Gateway.InFlight", "In-flight requests.")
	gaugeMemoryHeld   = metric.NewCounter("Gateway.MemoryHeld", "Bytes that are reserved for the bodies of requests and for answers.")
	gaugeMemoryLimit  = metric.NewCounter("Gateway.MemoryLimit", "Bytes that may be reserved for them.")
	gaugeMemoryWaits  = metric.NewCounter("Gateway.MemoryWaiting", "Requests that wait for memory.")
	gaugeMemoryDenied = metric.NewCounter("Gateway.MemoryDenied", "Reservations of memory that were refused: requests get 503, and answers are forwarded without being buffered.")
	gaugeFence        = metric.NewCounter("Gateway.Fence", "Fence of the lease that this daemon holds; 0 if it does not hold the lease.")
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = clock.Second

// runGauges updates the gauges until ctx ends.
func (d *Daemon) runGauges(ctx context.Context) error {
	for {
		now := d.clock.Now()
		if index, confirmed := d.document.Current(); index != nil {
			gaugeVersion.Set(index.Version())
			gaugeVersionAge.Set(int64(now - confirmed))
		}
		if list := d.roster.State(); list.Known {
			gaugeEndpointsAge.Set(int64(now - list.AsOf))
		}
		d.confirmations.log(now)
		d.scheduler.UpdateMetrics()
		gaugeDaemons.Set(int64(d.fleet.DaemonCount()))
		gaugeInFlight.Set(int64(d.handler.InFlight()))
		d.updateMemoryGauges()
		fence, _, _ := d.lease.Valid()
		gaugeFence.Set(int64(fence))
		if err := d.clock.Sleep(ctx, gaugeInterval); err != nil {
			return err
		}
	}
}

// updateMemoryGauges updates the gauges of the memory for bodies and answers.
func (d *Daemon) updateMemoryGauges() {
	state := d.memory.State()
	gaugeMemoryHeld.Set(state.Held)
	gaugeMemoryLimit.Set(state.Limit)
	gaugeMemoryWaits.Set(int64(state.Waiting))
	gaugeMemoryDenied.Set(state.Refused)
}
