package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
)

const (
	// balancerDelay is the time after SIGTERM during which new connections and all
	// requests are still accepted, so that the load balancer can remove the daemon.
	balancerDelay = 2500 * clock.Millisecond
	// exitMargin is the time before the end of the grace time at which the
	// remaining requests are abandoned, and finalAnswerTime the part of it in
	// which their callers are told so.
	exitMargin      = 600 * clock.Millisecond
	finalAnswerTime = 200 * clock.Millisecond
)

// shutDown stops the lease holder's work and releases the lease, completes
// in-flight requests until exitMargin before the end of the grace time, and stops
// the other tasks.
func (d *Daemon) shutDown() error {
	started := d.clock.Now()
	end := started + d.settings.Daemon.Grace - exitMargin
	eventStopping.Log(d.logger, logrus.Fields{"InFlight": d.handler.InFlight()})
	d.stopping.Store(true)
	d.fleet.SetStopping()
	d.handler.Drain(relay.Shutdown{TakeAllUntil: started + balancerDelay, End: end})
	d.forwarding.SetStopping()
	d.holderTasks.Stop()
	d.leaseTasks.Stop()
	_ = d.clock.Sleep(context.Background(), balancerDelay)
	abandon := time.AfterFunc((end - d.clock.Now()).Duration(), d.handler.Abandon)
	defer abandon.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), (end + finalAnswerTime - d.clock.Now()).Duration())
	defer cancel()
	err := d.callers.Shutdown(ctx)
	d.forwarding.Drain(ctx)
	d.forwarding.Close()
	d.fleet.Flush()
	_ = d.callers.Close()
	_ = d.ready.Close()
	d.baseTasks.Stop()
	d.link.Close()
	eventStopped.Log(d.logger, logrus.Fields{"Took": int64(d.clock.Now() - started)})
	return errors.Join(err, d.metrics.Close())
}
