// Package serve is the daemon: it wires the parts of one router process and
// runs them until it is told to stop.
//
// Every VM of the fleet runs the same daemon. Roles such as the relay of
// configuration, the broker of a cell or the holder of a region's lease move
// between the daemons and belong to none.
//
// # Usage
//
//	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
//	defer stop()
//	err := serve.Run(ctx, settings, logger)
//
// Run returns after a graceful shutdown: the readiness check fails first, then
// roles are handed over, the daemon stops listening, every request is answered
// however long its stream, usage is written, and the process may exit.
package serve

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	mathrand "math/rand/v2"
	"net/http"
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
	platformtable "github.com/banyanshift/banyanshift/internal/platform/table"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
	"github.com/banyanshift/banyanshift/internal/usage/meter"
	"github.com/banyanshift/banyanshift/internal/usage/replicate"
	"github.com/banyanshift/banyanshift/internal/usage/report"
)

// flushTimeout bounds the wait for the store at the end.
const flushTimeout = 10 * clock.Second

// Daemon is one router process.
type Daemon struct {
	settings    ini.Settings
	clock       clock.Clock
	logger      logrus.FieldLogger
	incarnation string
	requestIDs  atomic.Uint64
	relayTurn   atomic.Uint64
	seed        uint64

	platformHTTP *http.Client
	table        table.Client
	state        *state.State
	log          *changelog.Log
	follower     *follow.Follower
	link         *link.Link
	members      *membership.Membership
	broker       *broker.Broker
	clients      transport.Clients
	engines      *engine.Client
	watcher      *watch.Watcher
	meter        *meter.Meter
	claimStore   *coordclaim.Store
	lease        *lease.Lease
	hold         *leader.Runner
	dispatcher   *dispatch.Dispatcher
	holder       *holderView
	relays       *claim.Forwarder
	counter      *demand.Counter
	board        *demand.Aggregator
	teller       *demand.Sender
	planner      *plan.Planner
	running      *runningCounts
	replicator   *replicate.Replicator
	reporter     *report.Reporter
	callers      *entry.Server
	operators    *rpc.Server
	metrics      *server.Server

	// base has the parts that end last, usage what writes usage, roles what
	// the holder of the lease does, and candidacy the lease itself.
	base, usage, roles, candidacy *background.Group
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

// New builds a daemon that does nothing yet.
func New(settings ini.Settings, clk clock.Clock, logger logrus.FieldLogger) (d *Daemon, err error) {
	defer func() { err = oops.Wrapf(err, "build daemon") }()
	d = &Daemon{
		settings: settings,
		clock:    clk,
		logger:   logger.WithField("Daemon", settings.Daemon.ID),
		state:    state.New(),
		meter:    meter.New(),
		counter:  demand.NewCounter(clk),
		running:  &runningCounts{counts: make(map[string]int)},
	}
	d.base, d.usage = background.New(d.logger), background.New(d.logger)
	d.roles, d.candidacy = background.New(d.logger), background.New(d.logger)
	d.metrics = server.New(settings.Metrics.Listen, d.logger)
	if err := d.identify(); err != nil {
		return nil, err
	}
	steps := []func() error{d.buildPlatform, d.buildPeers, d.buildScheduling, d.buildRoles, d.buildCallers, d.buildOperators}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// identify draws the name of this start of the process and a seed.
func (d *Daemon) identify() error {
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return err
	}
	d.incarnation = d.settings.Daemon.ID + "." + hex.EncodeToString(random[:6])
	d.seed = binary.BigEndian.Uint64(random[8:])
	return nil
}

// random returns a source of randomness of its own for each part.
func (d *Daemon) random(part uint64) *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(d.seed, part))
}

// newRequestID returns an id that is unique in the fleet.
func (d *Daemon) newRequestID() string {
	return d.incarnation + "-" + strconv.FormatUint(d.requestIDs.Add(1), 36)
}

func (d *Daemon) buildPlatform() error {
	d.platformHTTP = &http.Client{Timeout: d.settings.Platform.CallTimeout.Duration()}
	d.table = platformtable.New(d.settings.Platform.TableURL, d.platformHTTP)
	return nil
}

// run starts everything, waits for the context and shuts down.
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

// start begins to serve peers first and callers last.
func (d *Daemon) start() error {
	if err := d.link.Start(); err != nil {
		return err
	}
	d.broker.Start()
	d.base.Start("Membership", d.members.Run)
	d.base.Start("Configuration", d.follower.Run)
	d.base.Start("Endpoints", d.watcher.Run)
	d.base.Start("Claims", d.claimStore.Run)
	d.base.Start("ClaimRelay", d.relays.Run)
	d.base.Start("Holder", d.holder.Run)
	d.base.Start("Demand", d.teller.Run)
	d.usage.Start("Usage", d.replicator.Run)
	d.candidacy.Start("Lease", d.lease.Run)
	d.roles.Start("Roles", d.hold.Run)
	d.roles.Start("UsageReports", d.reporter.Run)
	for _, start := range []func() error{d.operators.Start, d.metrics.Start, d.callers.Start} {
		if err := start(); err != nil {
			return err
		}
	}
	return nil
}

// shutDown answers every request, writes what must last, hands over the roles
// and ends the parts, in this order.
func (d *Daemon) shutDown() error {
	eventStopping.Log(d.logger, logrus.Fields{"InFlight": d.callers.InFlight()})
	d.members.Leave()
	d.callers.Drain()
	_ = d.clock.Sleep(context.Background(), d.settings.Daemon.ReadinessDelay)
	err := d.callers.Shutdown(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout.Duration())
	defer cancel()
	d.usage.Stop()
	err = errors.Join(err, d.replicator.Flush(ctx), d.claimStore.Flush(ctx))
	d.reporter.Flush(ctx)
	d.roles.Stop()
	d.candidacy.Stop()
	d.operators.Close()
	d.broker.Close()
	d.base.Stop()
	d.link.Close()
	return errors.Join(err, d.metrics.Close())
}
