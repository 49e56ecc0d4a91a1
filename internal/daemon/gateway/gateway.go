// Package gateway is the daemon that routes callers' requests on a platform whose
// configuration and list of endpoints are in a store that other programs write.
//
// Every VM runs the same daemon. It follows the store, exchanges updates with the
// other daemons, relays requests to endpoints, and competes for the lease whose
// holder reports usage and orders endpoints. It stores nothing on its VM.
//
// # Usage
//
//	err := gateway.Run(ctx, settings, gateway.Platform{...}, clock.System(), logger)
//
// Run returns after a graceful shutdown: the readiness check fails, the lease is
// released, and in-flight requests are completed until the grace time has passed.
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
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/lease"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/caller/keepalive"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/config/drain"
	"github.com/banyanshift/banyanshift/internal/daemon/background"
	"github.com/banyanshift/banyanshift/internal/decide/budget"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/decide/supply"
	"github.com/banyanshift/banyanshift/internal/endpoint/connect"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
	"github.com/banyanshift/banyanshift/internal/endpoint/tcp"
	"github.com/banyanshift/banyanshift/internal/observe/build"
	"github.com/banyanshift/banyanshift/internal/observe/server"
	"github.com/banyanshift/banyanshift/internal/order/leader"
	"github.com/banyanshift/banyanshift/internal/peer/crashnews"
	"github.com/banyanshift/banyanshift/internal/peer/fleet"
	"github.com/banyanshift/banyanshift/internal/peer/forward"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/topology"
	"github.com/banyanshift/banyanshift/internal/peer/walltime"
	"github.com/banyanshift/banyanshift/internal/platform/feed"
	"github.com/banyanshift/banyanshift/internal/platform/rest"
	"github.com/banyanshift/banyanshift/internal/settings/gateway"
	"github.com/banyanshift/banyanshift/internal/usage/billing"
	"github.com/banyanshift/banyanshift/internal/usage/tally"
	"github.com/banyanshift/banyanshift/internal/wire/response"
)

// Platform adapts a platform's store, wire format and calls to the daemon. All
// fields but DialEndpoint must be set.
type Platform struct {
	// NewStoreClients returns a client and a feed of the store at an address.
	NewStoreClients func(address string, httpClient *http.Client) (table.Client, table.Feed)
	// DocumentPrefix is the prefix to follow, and DocumentKey the key of the
	// configuration's row.
	DocumentPrefix string
	DocumentKey    string
	DecodeDocument func(raw []byte) (*document.Index, error)
	// DrainedDomain returns the failure domain that a row under DocumentPrefix drains.
	DrainedDomain func(key string) (domain string, drains bool)
	// EndpointPrefix is the prefix of the keys of the endpoints' entries.
	EndpointPrefix string
	DecodeEndpoint func(row table.Row) (roster.Endpoint, error)
	EndpointID     func(key string) string
	Wire           relay.Wire
	// AnsweredID returns the ID of the request that an endpoint's answer names, empty if it
	// names none.
	AnsweredID func(header http.Header) string
	// ReportUsage and SendOrder are called only by the lease holder.
	ReportUsage func(ctx context.Context, call HolderCall, window billing.Window) error
	SendOrder   func(ctx context.Context, call HolderCall, order supply.Order) error
	// DialEndpoint replaces the dialer of endpoints in tests. It may be nil.
	DialEndpoint func(ctx context.Context, network, address string) (net.Conn, error)
}

// HolderCall is the address, the identity and the client of a lease holder's call.
type HolderCall struct {
	Address string
	Holder  string
	Fence   uint64
	// Client refuses to write unless this daemon holds the lease under Fence.
	Client *http.Client
}

// Daemon is one gateway process.
type Daemon struct {
	settings    gateway.Settings
	platform    Platform
	clock       clock.Clock
	wallTime    *walltime.Estimator
	logger      logrus.FieldLogger
	incarnation string
	seed        uint64
	startedAt   clock.Millis

	storeClient *http.Client
	table       table.Client
	feed        table.Feed
	eras        *billing.EraWatch
	document    *document.Holder
	// confirmations logs how old the confirmation of the document is.
	confirmations *confirmationLog
	drains        *drain.Holder
	// documentFeed and endpointsFeed read the store while this daemon is to.
	documentFeed, endpointsFeed *feed.Follower
	roster                      *roster.Roster
	scheduler                   *fleet.Scheduler
	limits                      memory.Limits
	memory, platformMemory      *memory.Budget
	fleet                       *fleet.Fleet
	crashes                     *crashnews.Exchange
	link                        *link.Link
	tally                       *tally.Tally
	pool                        *http1.Pool
	connector                   *connect.Connector
	forwarding                  *forward.Server
	relayScheduler              relay.Scheduler
	lease                       *lease.Lease
	leader                      *leader.Runner
	planner                     *supply.Planner
	handler                     *relay.Handler
	callers                     *keepalive.Server
	ready                       *http.Server
	metrics                     *server.Server
	stopping                    atomic.Bool
	// endpoints is the last list that the roster passed to handleEndpoints.
	endpoints atomic.Pointer[[]roster.Endpoint]

	baseTasks, holderTasks, leaseTasks *background.Group
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

// New builds a daemon without starting it.
func New(settings gateway.Settings, platform Platform, clk clock.Clock, logger logrus.FieldLogger) (d *Daemon, err error) {
	defer func() { err = oops.Wrapf(err, "build gateway") }()
	wallTime := walltime.New(clk)
	d = &Daemon{settings: settings, platform: platform, clock: wallTime.Clock(), wallTime: wallTime, logger: logger.WithField("Daemon", settings.Daemon.ID), planner: supply.New()}
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, err
	}
	d.startedAt = d.clock.Now()
	d.incarnation = settings.Daemon.ID + "." + hex.EncodeToString(random[:6])
	d.seed = binary.BigEndian.Uint64(random[8:])
	d.baseTasks, d.holderTasks, d.leaseTasks = background.New(d.logger), background.New(d.logger), background.New(d.logger)
	d.limits = memory.LimitsOf(settings.Daemon.MemoryLimit, settings.Daemon.MaxDescriptors)
	debug.SetMemoryLimit(d.limits.Soft)
	d.memory, d.platformMemory = memory.New(d.limits.Held), memory.New(d.limits.Platform)
	d.buildState()
	d.buildPeers()
	d.buildLease()
	d.buildConnections()
	d.buildCrashes()
	d.buildCallers()
	d.metrics = server.New(settings.Metrics.Listen, d.logger)
	return d, nil
}

const (
	// storeIdleTimeout is the time after which an idle connection to the store
	// is closed.
	storeIdleTimeout = 30 * clock.Second
	// maxIdleStoreConnections is the maximum number of idle connections to the store.
	maxIdleStoreConnections = 4
)

// random returns an independent random source for each stream number, derived from
// the daemon's seed.
func (d *Daemon) random(stream uint64) *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(d.seed, stream))
}

// platformLimits returns the budgets for answers of the store and the platform, in which nothing of
// callers is counted: they cannot keep this daemon from reading the store.
func (d *Daemon) platformLimits() response.Limits {
	return response.Limits{Heads: d.platformMemory, Bodies: d.platformMemory}
}

// buildState builds the store clients and the state that is read from the store.
func (d *Daemon) buildState() {
	storeClient := rest.NewHTTPClient(&http.Transport{
		MaxIdleConnsPerHost: maxIdleStoreConnections, IdleConnTimeout: storeIdleTimeout.Duration(), DisableCompression: true,
	}, d.platformLimits(), 0)
	d.storeClient = storeClient
	rows, changes := d.platform.NewStoreClients(d.settings.Platform.Store, storeClient)
	d.eras = billing.NewEraWatch(d.clock, d.settings.Daemon.FirstStart)
	d.table, d.feed = rows.WithObserver(d.clock, d.observeStoreCall), changes.WithObserver(d.clock, d.observeStoreCall)
	d.document, d.drains = document.NewHolder(), drain.NewHolder()
	d.confirmations = &confirmationLog{document: d.document, logger: d.logger}
	d.roster = roster.New(d.clock, d.settings.Bounds.DrainTime, d.handleEndpoints)
	d.tally = tally.New(d.incarnation, d.settings.Bounds.UsageWindow)
	rules := budget.Rules{Ratio: d.settings.Bounds.RetryRatio, FixedRetries: d.settings.Bounds.RetryExtra, Window: d.settings.Bounds.RetryWindow}
	d.documentFeed, d.endpointsFeed = d.followDocument(), d.followEndpoints()
	d.scheduler = fleet.NewScheduler(d.clock, d.logger, rules, func() int { return d.fleet.DaemonCount() }, d.drains.Domains, d.random(1))
}

func (d *Daemon) buildPeers() {
	d.link = link.New(link.Config{ID: d.incarnation, Listen: d.settings.Peer.Listen, AllowPlainText: true}, d.clock, d.logger)
	d.fleet = fleet.New(fleet.Config{
		Link: d.link, Clock: d.clock, Logger: d.logger,
		Self: topology.VM{
			ID: d.settings.Daemon.ID, Address: d.settings.Peer.Listen,
			FailureDomain: d.settings.Daemon.FailureDomain, Capacity: d.settings.Daemon.Capacity,
		},
		Incarnation: d.incarnation, Seeds: seedAddresses(d.settings.Peer), Table: d.table, Scheduler: d.scheduler, Roster: d.roster,
		Document: d.document, Drains: d.drains, Decode: d.platform.DecodeDocument, Tally: d.tally, WallTime: d.wallTime,
		FollowsStore:     func() bool { return d.endpointsMode() == feed.Follow },
		ReadChanges:      d.readChangedEndpoints,
		StoreUnavailable: func() bool { return d.documentFeed.Failing() || d.endpointsFeed.Failing() }, Rand: d.random(2),
		HighestFence: func() uint64 { return d.lease.HighestFence() }, FirstStart: d.settings.Daemon.FirstStart,
		Crashes: fleet.Crashes{
			Fingerprint: func() uint64 { return d.crashes.Fingerprint() },
			Sync: func(ctx context.Context, address string, fingerprint uint64) {
				d.crashes.Sync(ctx, address, fingerprint)
			},
		},
	})
}

// buildCrashes builds the exchange of news of endpoints that crashed.
func (d *Daemon) buildCrashes() {
	seeds := seedAddresses(d.settings.Peer)
	d.crashes = crashnews.New(crashnews.Config{
		Link: d.link, Clock: d.clock, Logger: d.logger, Self: d.settings.Peer.Listen,
		Neighbors: d.fleet.Neighbors, Owners: d.fleet.Owners, Endpoint: d.scheduler.Endpoint,
		IsEvidence: d.isEvidence, IsDown: d.isDown,
		Table: d.table, Rank: d.fleet.LeaderRank, Wall: d.wallTime.Wall,
		ReadsAtStart: len(seeds) == 0 || slices.Contains(seeds, d.settings.Peer.Listen), Rand: d.random(7),
	})
}

// isEvidence reports whether the end of an endpoint says something of its requests.
func (d *Daemon) isEvidence(endpoint roster.Endpoint) bool {
	return d.scheduler.Accepts(endpoint.ID, endpoint.Address) && !d.fleet.IsBrittle(endpoint)
}

// isDown reports whether an endpoint refuses connections.
func (d *Daemon) isDown(ctx context.Context, endpoint roster.Endpoint) bool {
	return d.connector.IsDown(ctx, connect.Target{Endpoint: endpoint.ID, Address: endpoint.Address, FailureDomain: endpoint.FailureDomain})
}

// seedAddresses returns the hosts of the seeds with this daemon's peer port. Seeds
// that are not host:port are left out.
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

// start starts the peer link, the listeners and the background tasks.
func (d *Daemon) start() error {
	if err := d.link.Start(); err != nil {
		return err
	}
	if err := d.startForwarding(); err != nil {
		return err
	}
	callers, err := keepalive.Listen(context.Background(), d.settings.Caller.Listen, d.callerLimits())
	if err != nil {
		return err
	}
	d.baseTasks.Start("Callers", (&httpServer{server: d.callers, listener: callers}).run)
	ready, err := tcp.Listen(context.Background(), d.settings.Readiness.Listen)
	if err != nil {
		return err
	}
	d.baseTasks.Start("Readiness", (&httpServer{server: d.ready, listener: ready}).run)
	if err := d.metrics.Start(); err != nil {
		return err
	}
	d.baseTasks.Start("Configuration", d.documentFeed.Run)
	d.baseTasks.Start("Endpoints", d.endpointsFeed.Run)
	d.baseTasks.Start("Roster", d.roster.Run)
	d.baseTasks.Start("Fleet", d.fleet.Run)
	d.baseTasks.Start("Crashes", d.crashes.Run)
	d.baseTasks.Start("Gauges", d.runGauges)
	d.leaseTasks.Start("Lease", d.lease.Run)
	d.holderTasks.Start("Duties", d.leader.Run)
	eventStarted.Log(d.logger, logrus.Fields{"Build": build.Revision(), "Incarnation": d.incarnation, "Callers": d.settings.Caller.Listen, "Peers": d.settings.Peer.Listen})
	return nil
}

// listenerServer serves the connections of a listener.
type listenerServer interface {
	Serve(listener net.Listener) error
}

// httpServer is an HTTP server with its listener.
type httpServer struct {
	server   listenerServer
	listener net.Listener
}

func (s *httpServer) run(context.Context) error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Reload applies changed settings. Only the log level can change while the daemon
// runs.
func Reload(settings gateway.Settings, logger *logrus.Logger) {
	level, err := logrus.ParseLevel(settings.Log.Level)
	if err != nil {
		logger.WithError(err).Error("cannot set the log level")
		return
	}
	logger.SetLevel(level)
	eventReloaded.Log(logger, logrus.Fields{"Level": settings.Log.Level, "At": time.Now().UTC().Format(time.RFC3339)})
}
