// Package gateway is the daemon that serves callers on a platform which keeps
// configuration and endpoints in a store that others write.
//
// Every VM runs the same daemon. It follows the store, shares what it knows
// with the other daemons, passes requests on, and competes for the one lease
// under which usage is reported and endpoints are ordered. It keeps nothing on
// its VM.
//
// # Usage
//
//	err := gateway.Run(ctx, settings, gateway.Platform{...}, clock.System(), logger)
//
// Run returns after a graceful shutdown: the readiness check fails first, every
// request is answered, and the lease is released.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/lease"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/daemon/background"
	"github.com/banyanshift/banyanshift/internal/decide/budget"
	"github.com/banyanshift/banyanshift/internal/decide/supply"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
	"github.com/banyanshift/banyanshift/internal/observe/server"
	"github.com/banyanshift/banyanshift/internal/order/leader"
	"github.com/banyanshift/banyanshift/internal/peer/fleet"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/settings/gateway"
	"github.com/banyanshift/banyanshift/internal/usage/billing"
	"github.com/banyanshift/banyanshift/internal/usage/tally"
)

// Platform is what the daemon needs of the platform, translated. All fields
// must be set.
type Platform struct {
	// NewStoreClients returns the access to the store at an address.
	NewStoreClients func(address string, httpClient *http.Client) (table.Client, table.Feed)
	// DocumentPrefix and DocumentKey are where the configuration stands.
	DocumentPrefix string
	DocumentKey    string
	DecodeDocument func(raw []byte) (*document.Index, error)
	// EndpointPrefix is where the entries of endpoints stand.
	EndpointPrefix string
	DecodeEndpoint func(row table.Row) (roster.Endpoint, error)
	EndpointID     func(key string) string
	Wire           relay.Wire
	MatchesRequest func(status int, header http.Header, requestID string) bool
	// ReportUsage and Order make the calls of the lease's holder.
	ReportUsage func(ctx context.Context, call HolderCall, window billing.Window) error
	SendOrder   func(ctx context.Context, call HolderCall, order supply.Order) error
}

// HolderCall is how a call of the lease's holder is made.
type HolderCall struct {
	Address string
	Holder  string
	Fence   uint64
	// Client writes only while the lease is held under the fence.
	Client *http.Client
}

// Daemon is one gateway.
type Daemon struct {
	settings    gateway.Settings
	platform    Platform
	clock       clock.Clock
	logger      logrus.FieldLogger
	incarnation string
	seed        uint64

	table    table.Client
	feed     table.Feed
	document *document.Holder
	roster   *roster.Roster
	board    *fleet.Scheduler
	fleet    *fleet.Fleet
	link     *link.Link
	tally    *tally.Tally
	pool     *http1.Pool
	lease    *lease.Lease
	hold     *leader.Runner
	planner  *supply.Planner
	handler  *relay.Handler
	callers  *http.Server
	ready    *http.Server
	metrics  *server.Server
	stopping atomic.Bool
	// listed is the last list of endpoints that the roster handed out.
	listed atomic.Pointer[[]roster.Endpoint]

	base, duties, candidacy *background.Group
}

// Run serves until the context ends, and then shuts down gracefully.
func Run(ctx context.Context, settings gateway.Settings, platform Platform, clk clock.Clock, logger logrus.FieldLogger) (err error) {
	defer func() { err = oops.Wrapf(err, "run gateway %s", settings.Daemon.ID) }()
	d, err := New(settings, platform, clk, logger)
	if err != nil {
		return err
	}
	if err := d.start(); err != nil {
		return err
	}
	<-ctx.Done()
	return d.shutDown()
}

// New builds a daemon that does nothing yet.
func New(settings gateway.Settings, platform Platform, clk clock.Clock, logger logrus.FieldLogger) (d *Daemon, err error) {
	defer func() { err = oops.Wrapf(err, "build gateway") }()
	d = &Daemon{settings: settings, platform: platform, clock: clk, logger: logger.WithField("Daemon", settings.Daemon.ID), planner: supply.New()}
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, err
	}
	d.incarnation = settings.Daemon.ID + "." + hex.EncodeToString(random[:6])
	d.seed = binary.BigEndian.Uint64(random[8:])
	d.base, d.duties, d.candidacy = background.New(d.logger), background.New(d.logger), background.New(d.logger)
	debug.SetMemoryLimit(settings.Daemon.MemoryLimit * memoryShare / 100)
	d.buildState()
	d.buildPeers()
	d.buildDuties()
	d.buildCallers()
	d.metrics = server.New(settings.Metrics.Listen, d.logger)
	return d, nil
}

const (
	// memoryShare is the part of the memory limit, in hundredths, at which
	// the garbage collector works harder.
	memoryShare = 60
	// storeIdle is how long a connection to the store is kept.
	storeIdle = 30 * clock.Second
	// storeConnections bounds the kept connections to the store.
	storeConnections = 4
)

// random returns a source of randomness of its own for each part.
func (d *Daemon) random(part uint64) *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(d.seed, part))
}

// buildState builds what the daemon believes and how it learns of it.
func (d *Daemon) buildState() {
	storeClient := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: storeConnections, IdleConnTimeout: storeIdle.Duration(), DisableCompression: true,
	}}
	rows, changes := d.platform.NewStoreClients(d.settings.Platform.Store, storeClient)
	d.table, d.feed = rows.Observed(d.clock, noteStoreCall), changes.Observed(d.clock, noteStoreCall)
	d.document = document.NewHolder()
	d.roster = roster.New(d.clock, d.settings.Bounds.DrainTime, d.endpointsChanged)
	d.tally = tally.New(d.incarnation, d.settings.Bounds.UsageWindow)
	rules := budget.Rules{Ratio: d.settings.Bounds.RetryRatio, FixedRetries: d.settings.Bounds.RetryExtra, Window: d.settings.Bounds.RetryWindow}
	d.board = fleet.NewScheduler(d.clock, rules, func() int { return d.fleet.DaemonCount() }, d.random(1))
}

func (d *Daemon) buildPeers() {
	d.link = link.New(link.Config{ID: d.incarnation, Listen: d.settings.Peer.Listen, AllowPlainText: true}, d.clock, d.logger)
	d.fleet = fleet.New(fleet.Config{
		Link: d.link, Clock: d.clock, Logger: d.logger,
		Self:  link.Peer{ID: d.settings.Daemon.ID, Address: d.settings.Peer.Listen},
		Seeds: seedAddresses(d.settings.Peer), Table: d.table, Scheduler: d.board, Roster: d.roster,
		Document: d.document, Decode: d.platform.DecodeDocument, Tally: d.tally, Rand: d.random(2),
	})
}

// seedAddresses gives the hosts of the seeds the port on which daemons listen.
func seedAddresses(settings gateway.Peer) []string {
	_, port, err := net.SplitHostPort(settings.Listen)
	if err != nil {
		return nil
	}
	var addresses []string
	for _, seed := range strings.Split(settings.Seeds, ",") {
		host, _, err := net.SplitHostPort(strings.TrimSpace(seed))
		if err == nil {
			addresses = append(addresses, net.JoinHostPort(host, port))
		}
	}
	return addresses
}

func (d *Daemon) buildCallers() {
	d.pool = http1.New(http1.Config{Clock: d.clock, MatchesRequest: d.platform.MatchesRequest})
	d.handler = relay.New(relay.Config{
		Clock: d.clock, Logger: d.logger, Wire: d.platform.Wire, Pool: d.pool, Scheduler: d.board.RelayScheduler(),
		Configuration: d.configuration, RecordStarted: d.tally.Add, FailureDomain: d.settings.Daemon.FailureDomain,
	})
	caller := d.settings.Caller
	d.callers = &http.Server{
		Handler: d.handler, MaxHeaderBytes: caller.MaxHeaderBytes, ErrorLog: nil,
		ReadHeaderTimeout: caller.HeaderTimeout.Duration(), IdleTimeout: caller.IdleTimeout.Duration(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc(d.settings.Readiness.Path, d.serveReadiness)
	d.ready = &http.Server{Handler: mux, ReadHeaderTimeout: caller.HeaderTimeout.Duration()}
}

// configuration tells the path of a request what is in force.
func (d *Daemon) configuration() relay.Configuration {
	index, _ := d.document.Current()
	current, isolated := d.fleet.ConfigStatus()
	return relay.Configuration{Index: index, Current: current, Isolated: isolated}
}

// serveReadiness answers the balancer.
func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !d.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isReady reports whether new connections are welcome.
func (d *Daemon) isReady() bool {
	config := d.configuration()
	return !d.stopping.Load() && config.Index != nil && !config.Isolated && d.roster.State().Known
}

// start begins to follow the store, to serve peers and to serve callers.
func (d *Daemon) start() error {
	if err := d.link.Start(); err != nil {
		return err
	}
	for _, l := range []struct {
		server  *http.Server
		address string
	}{{d.callers, d.settings.Caller.Listen}, {d.ready, d.settings.Readiness.Listen}} {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", l.address)
		if err != nil {
			return err
		}
		d.base.Start("Listener", (&serving{server: l.server, listener: listener}).run)
	}
	if err := d.metrics.Start(); err != nil {
		return err
	}
	d.base.Start("Configuration", d.followDocument().Run)
	d.base.Start("Endpoints", d.followEndpoints().Run)
	d.base.Start("Roster", d.roster.Run)
	d.base.Start("Fleet", d.fleet.Run)
	d.base.Start("Gauges", d.runGauges)
	d.candidacy.Start("Lease", d.lease.Run)
	d.duties.Start("Duties", d.hold.Run)
	eventStarted.Log(d.logger, logrus.Fields{"Incarnation": d.incarnation, "Callers": d.settings.Caller.Listen, "Peers": d.settings.Peer.Listen})
	return nil
}

// serving runs an HTTP server.
type serving struct {
	server   *http.Server
	listener net.Listener
}

func (s *serving) run(context.Context) error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

const (
	// balancerDelay is how long after SIGTERM new requests are still
	// accepted, so that the balancer can take the daemon out.
	balancerDelay = 2500 * clock.Millisecond
	// exitMargin is how long before the end of the grace time requests are
	// given up.
	exitMargin = 600 * clock.Millisecond
)

// shutDown answers every request, hands over the lease and ends the parts.
func (d *Daemon) shutDown() error {
	began := d.clock.Now()
	eventStopping.Log(d.logger, logrus.Fields{"InFlight": d.handler.InFlight()})
	d.stopping.Store(true)
	d.handler.Drain()
	d.duties.Stop()
	d.candidacy.Stop()
	_ = d.clock.Sleep(context.Background(), balancerDelay)
	left := d.settings.Daemon.Grace - exitMargin - (d.clock.Now() - began)
	ctx, cancel := context.WithTimeout(context.Background(), left.Duration())
	defer cancel()
	err := d.callers.Shutdown(ctx)
	d.fleet.Flush()
	_ = d.callers.Close()
	_ = d.ready.Close()
	d.base.Stop()
	d.link.Close()
	eventStopped.Log(d.logger, logrus.Fields{"Took": int64(d.clock.Now() - began)})
	return errors.Join(err, d.metrics.Close())
}

// Reload takes in changed settings. Only the level of the log can change while
// the daemon runs.
func Reload(settings gateway.Settings, logger *logrus.Logger) {
	level, err := logrus.ParseLevel(settings.Log.Level)
	if err != nil {
		logger.WithError(err).Error("level of the log cannot be set")
		return
	}
	logger.SetLevel(level)
	eventReloaded.Log(logger, logrus.Fields{"Level": settings.Log.Level, "At": time.Now().UTC().Format(time.RFC3339)})
}
