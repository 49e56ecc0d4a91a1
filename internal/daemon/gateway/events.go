package gateway

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventStarted = event.New(1010, logrus.InfoLevel, "gateway started",
		"The gateway listens. It serves callers once it knows a configuration.")
	eventStopping = event.New(1011, logrus.InfoLevel, "gateway is shutting down",
		"The readiness check fails from now on; requests in flight are answered.")
	eventStopped = event.New(1012, logrus.InfoLevel, "gateway stopped",
		"Every request was answered or the grace time was over.")
	eventReloaded = event.New(1013, logrus.InfoLevel, "settings reloaded",
		"The settings file was read again.")
	eventVersion = event.New(1530, logrus.InfoLevel, "configuration in force",
		"A version of the configuration was read from the store.")
	eventVersionUnreadable = event.New(1531, logrus.ErrorLevel, "configuration cannot be read",
		"The store holds a configuration that cannot be decoded; the last good version stays in force.")
	eventEndpointChanged = event.New(1210, logrus.InfoLevel, "endpoint changed",
		"An endpoint was added, began to leave, is missing after an outage of the store, or is gone.")
	eventEndpointUnreadable = event.New(1211, logrus.WarnLevel, "entry of an endpoint cannot be read",
		"The entry names no endpoint that can be used; it is passed over.")
)

// Gauges of what the daemon believes; they are set each second.
var (
	gaugeVersion  = metric.NewCounter("Gateway.Version", "Version of the configuration in force.")
	gaugeAge      = metric.NewCounter("Gateway.VersionAge", "Milliseconds since the configuration was known to be the newest.")
	gaugeListAge  = metric.NewCounter("Gateway.EndpointsAge", "Milliseconds since the list of endpoints was known to be right.")
	gaugeDaemons  = metric.NewCounter("Gateway.Daemons", "Daemons of the fleet that this one knows, itself included.")
	gaugeInFlight = metric.NewCounter("Gateway.InFlight", "Requests that are being served.")
	gaugeFence    = metric.NewCounter("Gateway.Fence", "Fence of the lease that this daemon holds; 0 when it holds none.")
)

// gaugeInterval is the time between two settings of the gauges.
const gaugeInterval = clock.Second

// runGauges sets the gauges until ctx ends.
func (d *Daemon) runGauges(ctx context.Context) error {
	for {
		now := d.clock.Now()
		if index, confirmed := d.document.Current(); index != nil {
			gaugeVersion.Set(index.Version())
			gaugeAge.Set(int64(now - confirmed))
		}
		if list := d.roster.State(); list.Known {
			gaugeListAge.Set(int64(now - list.AsOf))
		}
		gaugeDaemons.Set(int64(d.fleet.DaemonCount()))
		gaugeInFlight.Set(int64(d.handler.InFlight()))
		fence, _, _ := d.lease.Valid()
		gaugeFence.Set(int64(fence))
		if err := d.clock.Sleep(ctx, gaugeInterval); err != nil {
			return err
		}
	}
}
