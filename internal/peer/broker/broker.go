// Package broker is the daemon's scheduler. Together with the other daemons it
// decides which request runs next and on which endpoint.
//
// The endpoints of a pool (one back end in one region) are divided into cells
// of about ten. Each cell has one daemon as its broker, picked by rendezvous
// hashing over the live members of the region. A daemon that holds a caller's
// request (the entry) sends a description of it to the broker of a cell and
// runs the request when the grant arrives. Package cell makes the scheduling
// decisions.
//
// Correctness does not depend on a single broker. When two daemons act as
// broker of a cell, or none does, an endpoint may get more requests than it has
// slots, by at most its number of slots for each acting daemon; the endpoint
// queues the excess. When the broker does not answer, the daemon schedules
// locally with its share of the slots. When another daemon becomes the broker,
// all daemons announce their waiting and running requests to it, which rebuilds
// its state in one round trip.
//
// The policies other than Brokered schedule in each daemon alone. They serve as
// baselines.
//
// # Usage
//
//	b := broker.New(broker.Config{Self: "vm-1", Region: "sask-central", Policy: broker.Brokered}, broker.Deps{...})
//	b.Register(l) // before l.Start()
//	b.Start()
//	defer b.Close()
//	b.UpdateEndpoints(endpoints)
//	b.RecordLoad(place.LoadReport{...})
//	scheduler := b.Scheduler()
package broker

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/place"
	"github.com/banyanshift/banyanshift/internal/peer/link"
)

// Policy selects the scheduling algorithm.
type Policy string

// Scheduling policies.
const (
	// Brokered schedules through the broker of each cell, across daemons.
	Brokered Policy = "Broker"
	// LocalFair uses a fair queue in each daemon alone.
	LocalFair Policy = "LocalFair"
	// RoundRobin sends each request at once to the next endpoint in turn.
	RoundRobin Policy = "RoundRobin"
	// LeastOutstanding sends each request at once to the endpoint with the
	// fewest in-flight requests of this daemon.
	LeastOutstanding Policy = "LeastOutstanding"
)

// Defaults of Config.
const (
	// DefaultCellSize is the target size of a cell: a pool gets enough cells
	// that their average size does not exceed it.
	DefaultCellSize = 12
	// DefaultFlushInterval is how long messages to a peer are batched before
	// they are sent.
	DefaultFlushInterval = 2 * clock.Millisecond
	// DefaultReplyTimeout is how long a broker may take to answer before the
	// daemon schedules locally.
	DefaultReplyTimeout = 300 * clock.Millisecond
	// DefaultAnnounceWait is how long a new broker holds back grants while it
	// waits for the announcements of the other daemons.
	DefaultAnnounceWait = 300 * clock.Millisecond
	// DefaultProgressInterval is how often generated tokens are reported.
	DefaultProgressInterval = 1 * clock.Second
	// DefaultHeartbeatInterval is how often a daemon with requests at a broker
	// sends it a heartbeat if it has nothing else to send.
	DefaultHeartbeatInterval = 500 * clock.Millisecond
)

// Config configures a Broker. Zero fields take the defaults.
type Config struct {
	// Self is the ID of this daemon.
	Self   string
	Region string
	// Policy is Brokered when empty.
	Policy            Policy
	Seed              uint64
	CellSize          int
	FlushInterval     clock.Millis
	ReplyTimeout      clock.Millis
	AnnounceWait      clock.Millis
	ProgressInterval  clock.Millis
	HeartbeatInterval clock.Millis
}

func (c Config) withDefaults() Config {
	if c.Policy == "" {
		c.Policy = Brokered
	}
	if c.CellSize == 0 {
		c.CellSize = DefaultCellSize
	}
	if c.FlushInterval == 0 {
		c.FlushInterval = DefaultFlushInterval
	}
	if c.ReplyTimeout == 0 {
		c.ReplyTimeout = DefaultReplyTimeout
	}
	if c.AnnounceWait == 0 {
		c.AnnounceWait = DefaultAnnounceWait
	}
	if c.ProgressInterval == 0 {
		c.ProgressInterval = DefaultProgressInterval
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	return c
}

// Deps holds the dependencies of a Broker.
type Deps struct {
	Clock  clock.Clock
	Logger logrus.FieldLogger
	// Link connects to the other daemons. It is nil when the policy is not
	// Brokered or there are no other daemons.
	Link *link.Link
	// View returns the members of the fleet, including this daemon. If nil, the
	// view is empty.
	View func() []member.Member
	// Class, Team and Backend look up entities in the current configuration.
	Class   func(name string) (entity.Class, bool)
	Team    func(name string) (entity.Team, bool)
	Backend func(name string) (entity.Backend, bool)
}

// Broker is the scheduler of one daemon.
type Broker struct {
	config Config
	deps   Deps
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	// runID distinguishes this run of the daemon from earlier ones.
	runID uint64

	// mu guards the fields below. It may be locked while a host's mutex is
	// held, but a host's mutex must not be locked while mu is held.
	mu          sync.Mutex
	attempts    map[string]*attempt
	grants      map[*request.Grant]*attempt
	preemptions map[string]preemptionRecord
	// attemptCounts holds the number of attempts of each cell.
	attemptCounts map[CellKey]int
	// rejectedAttempts were granted an endpoint that is leaving and have to be
	// submitted again.
	rejectedAttempts []*attempt
	// orphanedGrants are grants for attempts that no longer exist.
	orphanedGrants []orphanedGrant
	// leavingIncarnations maps the ID of each leaving endpoint to its
	// incarnation.
	leavingIncarnations map[string]string
	cellEndpoints       map[CellKey][]entity.Endpoint
	cellByEndpoint      map[string]CellKey
	cellCounts          map[string]int
	endpointsByID       map[string]entity.Endpoint
	hosts               map[CellKey]*cellHost
	fallbackHosts       map[CellKey]*cellHost
	sessions            map[CellKey]*brokerSession
	peers               map[string]*peer
	lastNumber          uint64
}

// preemptionRecord counts how often a request was preempted for a higher tier.
type preemptionRecord struct {
	count    int
	lastSeen clock.Millis
}

// New returns a Broker without endpoints. Call Start to run it.
func New(config Config, deps Deps) *Broker {
	ctx, cancel := context.WithCancel(context.Background())
	if deps.View == nil {
		deps.View = func() []member.Member { return nil }
	}
	return &Broker{
		config:              config.withDefaults(),
		deps:                deps,
		ctx:                 ctx,
		cancel:              cancel,
		runID:               rand.Uint64(),
		attempts:            make(map[string]*attempt),
		grants:              make(map[*request.Grant]*attempt),
		preemptions:         make(map[string]preemptionRecord),
		attemptCounts:       make(map[CellKey]int),
		leavingIncarnations: make(map[string]string),
		cellEndpoints:       make(map[CellKey][]entity.Endpoint),
		cellByEndpoint:      make(map[string]CellKey),
		cellCounts:          make(map[string]int),
		endpointsByID:       make(map[string]entity.Endpoint),
		hosts:               make(map[CellKey]*cellHost),
		fallbackHosts:       make(map[CellKey]*cellHost),
		sessions:            make(map[CellKey]*brokerSession),
		peers:               make(map[string]*peer),
	}
}

// Start runs the background loop until Close.
func (b *Broker) Start() {
	b.tasks.Add(1)
	go b.run()
}

// Close stops all background work. Waiting requests get ErrClosed.
func (b *Broker) Close() {
	b.cancel()
	b.tasks.Wait()
}

// Scheduler returns the functions that the request path calls.
func (b *Broker) Scheduler() request.Scheduler {
	return request.Scheduler{
		Acquire: func(ctx context.Context, req *request.Request) (*request.Grant, error) {
			return b.acquire(ctx, req, nil, false)
		},
		Reacquire: func(ctx context.Context, req *request.Request, exclude []string) (*request.Grant, error) {
			return b.acquire(ctx, req, exclude, true)
		},
		ChargeTokens: b.recordProgress,
		Preempted:    b.revocation,
		Release:      b.release,
	}
}

// RecordLoad passes a load report of an endpoint to the hosts of its cell.
func (b *Broker) RecordLoad(load place.LoadReport) {
	for _, h := range b.hostsForEndpoint(load.Endpoint) {
		h.recordLoad(load)
	}
}

// RecordCacheEvents passes cache events of an endpoint to the hosts of its cell.
// first is the oldest sequence that the endpoint still had.
func (b *Broker) RecordCacheEvents(endpoint, incarnation string, first uint64, events []place.CacheEvent) {
	for _, h := range b.hostsForEndpoint(endpoint) {
		h.recordCacheEvents(endpoint, incarnation, first, events)
	}
}

// MarkEndpointLeaving stops scheduling onto an incarnation of an endpoint at
// once and reports it to the broker of the cell.
func (b *Broker) MarkEndpointLeaving(endpoint, incarnation string) {
	b.mu.Lock()
	b.leavingIncarnations[endpoint] = incarnation
	b.mu.Unlock()
	for _, h := range b.hostsForEndpoint(endpoint) {
		h.markLeaving(endpoint, incarnation)
	}
	b.reportLeaving(endpoint, incarnation)
}

// Schedules reports whether this daemon schedules requests onto the endpoint
// now, as the broker of its cell or as the local fallback while the broker does
// not answer. Only then are the endpoint's reports needed here.
func (b *Broker) Schedules(endpoint string) bool {
	return len(b.hostsForEndpoint(endpoint)) > 0
}

// hostsForEndpoint returns the hosts in this daemon that schedule onto an
// endpoint.
func (b *Broker) hostsForEndpoint(endpoint string) []*cellHost {
	b.mu.Lock()
	defer b.mu.Unlock()
	key, known := b.cellByEndpoint[endpoint]
	if !known {
		return nil
	}
	var found []*cellHost
	if h := b.hosts[key]; h != nil {
		found = append(found, h)
	}
	if h := b.fallbackHosts[key]; h != nil {
		found = append(found, h)
	}
	return found
}

// tickInterval is the interval between ticks of the cells; idleTickInterval
// applies while this daemon has no request and no cell with requests.
const (
	tickInterval     = 20 * clock.Millisecond
	idleTickInterval = 250 * clock.Millisecond
)

// run executes the periodic tasks and ticks the cells.
func (b *Broker) run() {
	defer b.tasks.Done()
	next := taskDeadlines{}
	for b.deps.Clock.Sleep(b.ctx, b.tickDelay()) == nil {
		now := b.deps.Clock.Now()
		if now >= next.progress {
			next.progress = now + b.config.ProgressInterval
			b.flushProgress()
		}
		if now >= next.brokers {
			next.brokers = now + brokerPickInterval
			b.updateBrokers()
			b.expirePreemptions(now)
		}
		if now >= next.gossip {
			next.gossip = now + gossipInterval
			b.gossip()
		}
		b.returnUnusableGrants()
		for _, h := range b.allHosts() {
			h.tick()
		}
	}
}

// tickDelay returns the time until the next tick.
func (b *Broker) tickDelay() clock.Millis {
	b.mu.Lock()
	hasWork := len(b.attempts) > 0 || len(b.rejectedAttempts) > 0 || len(b.orphanedGrants) > 0
	b.mu.Unlock()
	if hasWork {
		return tickInterval
	}
	for _, h := range b.allHosts() {
		if h.busy() {
			return tickInterval
		}
	}
	return idleTickInterval
}

// taskDeadlines holds the time at which each periodic task is next due.
type taskDeadlines struct {
	progress clock.Millis
	brokers  clock.Millis
	gossip   clock.Millis
}

func (b *Broker) allHosts() []*cellHost {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]*cellHost, 0, len(b.hosts)+len(b.fallbackHosts))
	for _, h := range b.hosts {
		all = append(all, h)
	}
	for _, h := range b.fallbackHosts {
		all = append(all, h)
	}
	return all
}
