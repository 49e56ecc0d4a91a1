// Package serve builds and runs the router daemon: it connects the components of
// one process, starts them, and shuts them down.
//
// Every VM of the fleet runs the same daemon. Any daemon can take over a role such
// as configuration relay, broker of a cell or holder of a region's lease.
//
// # Usage
//
//	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
//	defer stop()
//	err := serve.Run(ctx, settings, logger)
//
// Run returns after a graceful shutdown: the readiness check fails and the peers
// learn that this daemon is leaving, the daemon stops listening, in-flight requests
// are completed however long their streams last, usage is written, and the lease is
// released.
package serve

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	mathrand "math/rand/v2"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/changelog"
	coordclaim "github.com/banyanshift/banyanshift/coord/claim"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/lease"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/caller/claim"
	"github.com/banyanshift/banyanshift/internal/caller/entry"
	"github.com/banyanshift/banyanshift/internal/config/follow"
	"github.com/banyanshift/banyanshift/internal/config/state"
	"github.com/banyanshift/banyanshift/internal/daemon/background"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/engine"
	"github.com/banyanshift/banyanshift/internal/endpoint/transport"
	"github.com/banyanshift/banyanshift/internal/endpoint/watch"
	"github.com/banyanshift/banyanshift/internal/observe/server"
	"github.com/banyanshift/banyanshift/internal/operator/rpc"
	"github.com/banyanshift/banyanshift/internal/order/demand"
	"github.com/banyanshift/banyanshift/internal/order/dispatch"
	"github.com/banyanshift/banyanshift/internal/order/leader"
	"github.com/banyanshift/banyanshift/internal/order/plan"
	"github.com/banyanshift/banyanshift/internal/peer/broker"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/membership"
	"github.com/banyanshift/banyanshift/internal/platform/rest"
	platformtable "github.com/banyanshift/banyanshift/internal/platform/table"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
	"github.com/banyanshift/banyanshift/internal/usage/meter"
	"github.com/banyanshift/banyanshift/internal/usage/replicate"
	"github.com/banyanshift/banyanshift/internal/usage/report"
	"github.com/banyanshift/banyanshift/internal/wire/response"
)

// flushTimeout is the maximum time for writing claims and usage to the store and
// reporting usage at shutdown.
const flushTimeout = 10 * clock.Second

// platformIdleTimeout is how long connections to the platform stay open that carry no call.
const platformIdleTimeout = 90 * clock.Second

// Daemon is one router process.
type Daemon struct {
	settings    ini.Settings
	clock       clock.Clock
	logger      logrus.FieldLogger
	incarnation string
	requestIDs  atomic.Uint64
	relayTurn   atomic.Uint64
	seed        uint64

	// limits divides the memory of this process, of which memory is what callers and answers of
	// endpoints may take, and platformMemory what answers of the platform may.
	limits                 memory.Limits
	memory, platformMemory *memory.Budget
	platformHTTP           *http.Client
	table                  table.Client
	state                  *state.State
	changeLog              *changelog.Log
	follower               *follow.Follower
	link                   *link.Link
	members                *membership.Membership
	broker                 *broker.Broker
	clients                transport.Clients
	engines                *engine.Client
	watcher                *watch.Watcher
	meter                  *meter.Meter
	claimStore             *coordclaim.Store
	lease                  *lease.Lease
	leader                 *leader.Runner
	dispatcher             *dispatch.Dispatcher
	leaseView              *leaseView
	forwarder              *claim.Forwarder
	counter                *demand.Counter
	demandAggregator       *demand.Aggregator
	demandSender           *demand.Sender
	planner                *plan.Planner
	runningCounts          *runningCounts
	replicator             *replicate.Replicator
	reporter               *report.Reporter
	callers                *entry.Server
	operators              *rpc.Server
	metrics                *server.Server

	// usageTasks write usage, holderTasks do the work of the lease holder, leaseTasks
	// compete for the lease, and baseTasks are all others. They are stopped in this
	// order.
	baseTasks, usageTasks, holderTasks, leaseTasks *background.Group
}

// Run serves until the context ends, and then shuts down gracefully.
func Run(ctx context.Context, settings ini.Settings, logger *logrus.Logger) (err error) {
	defer func() { err = oops.Wrapf(err, "run daemon %s", settings.Daemon.ID) }()
	d, err := New(settings, clock.System(), logger)
	if err != nil {
		return err
	}
	return d.run(ctx)
}

// New builds a daemon without starting it.
func New(settings ini.Settings, clk clock.Clock, logger logrus.FieldLogger) (d *Daemon, err error) {
	defer func() { err = oops.Wrapf(err, "build daemon") }()
	d = &Daemon{
		settings:      settings,
		clock:         clk,
		logger:        logger.WithField("Daemon", settings.Daemon.ID),
		state:         state.New(),
		meter:         meter.New(),
		counter:       demand.NewCounter(clk),
		runningCounts: &runningCounts{counts: make(map[string]int)},
	}
	d.baseTasks, d.usageTasks = background.New(d.logger), background.New(d.logger)
	d.holderTasks, d.leaseTasks = background.New(d.logger), background.New(d.logger)
	d.metrics = server.New(settings.Metrics.Listen, d.logger)
	if err := d.identify(); err != nil {
		return nil, err
	}
	d.limits = memory.LimitsOf(settings.Daemon.MemoryLimit, settings.Daemon.MaxDescriptors)
	d.memory, d.platformMemory = memory.New(d.limits.Held), memory.New(d.limits.Platform)
	debug.SetMemoryLimit(d.limits.Soft)
	steps := []func() error{d.buildPlatform, d.buildPeers, d.buildScheduling, d.buildLease, d.buildCallers, d.buildOperators}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// identify sets a random incarnation and seed for this run of the process.
func (d *Daemon) identify() error {
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return err
	}
	d.incarnation = d.settings.Daemon.ID + "." + hex.EncodeToString(random[:6])
	d.seed = binary.BigEndian.Uint64(random[8:])
	return nil
}

// random returns an independent random source for each stream number, derived from
// the daemon's seed.
func (d *Daemon) random(stream uint64) *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(d.seed, stream))
}

// newRequestID returns a request ID that is unique in the fleet.
func (d *Daemon) newRequestID() string {
	return d.incarnation + "-" + strconv.FormatUint(d.requestIDs.Add(1), 36)
}

// platformLimits returns the budgets for answers of the platform, in which nothing of callers is
// counted: they cannot keep this daemon from reading the table.
func (d *Daemon) platformLimits() response.Limits {
	return response.Limits{Heads: d.platformMemory, Bodies: d.platformMemory}
}

func (d *Daemon) buildPlatform() error {
	d.platformHTTP = rest.NewHTTPClient(&http.Transport{
		Proxy: http.ProxyFromEnvironment, IdleConnTimeout: platformIdleTimeout.Duration(),
	}, d.platformLimits(), d.settings.Platform.CallTimeout)
	d.table = platformtable.New(d.settings.Platform.TableURL, d.platformHTTP)
	return nil
}

// run starts the daemon, waits until ctx ends, and shuts down.
func (d *Daemon) run(ctx context.Context) error {
	if err := d.start(); err != nil {
		return err
	}
	eventStarted.Log(d.logger, logrus.Fields{
		"Callers": d.callers.Address(), "Operators": d.operators.Address(), "Peers": d.link.Address(), "Incarnation": d.incarnation,
	})
	<-ctx.Done()
	err := d.shutDown()
	eventStopped.Log(d.logger, nil)
	return err
}

// start starts the link to peers first and the server for callers last.
func (d *Daemon) start() error {
	if err := d.link.Start(); err != nil {
		return err
	}
	d.broker.Start()
	d.baseTasks.Start("Membership", d.members.Run)
	d.baseTasks.Start("Configuration", d.follower.Run)
	d.baseTasks.Start("Endpoints", d.watcher.Run)
	d.baseTasks.Start("Claims", d.claimStore.Run)
	d.baseTasks.Start("ClaimRelay", d.forwarder.Run)
	d.baseTasks.Start("Holder", d.leaseView.Run)
	d.baseTasks.Start("Demand", d.demandSender.Run)
	d.usageTasks.Start("Usage", d.replicator.Run)
	d.leaseTasks.Start("Lease", d.lease.Run)
	d.holderTasks.Start("Roles", d.leader.Run)
	d.holderTasks.Start("UsageReports", d.reporter.Run)
	for _, start := range []func() error{d.operators.Start, d.metrics.Start, d.callers.Start} {
		if err := start(); err != nil {
			return err
		}
	}
	return nil
}

// shutDown completes in-flight requests, writes usage and claims, releases the
// lease, and stops the other components, in this order.
func (d *Daemon) shutDown() error {
	eventStopping.Log(d.logger, logrus.Fields{"InFlight": d.callers.InFlight()})
	d.members.Leave()
	d.callers.Drain()
	_ = d.clock.Sleep(context.Background(), d.settings.Daemon.ReadinessDelay)
	err := d.callers.Shutdown(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout.Duration())
	defer cancel()
	d.usageTasks.Stop()
	err = errors.Join(err, d.replicator.Flush(ctx), d.claimStore.Flush(ctx))
	d.reporter.Flush(ctx)
	d.holderTasks.Stop()
	d.leaseTasks.Stop()
	d.operators.Close()
	d.broker.Close()
	d.baseTasks.Stop()
	d.link.Close()
	return errors.Join(err, d.metrics.Close())
}
