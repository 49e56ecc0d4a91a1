// Package broker is the daemon's scheduler: it decides, together with the
// other daemons, which request runs next and on which endpoint.
//
// The endpoints of a pool (one back end in one region) are divided into cells
// of about ten. For each cell one daemon is the broker, picked by rendezvous
// hash over the live view. A daemon that holds a caller's request announces
// its descriptor to the broker of a cell and runs the request when the grant
// comes. The decisions themselves are those of package cell.
//
// The broker of a cell is advice, never safety. When two daemons act for one
// cell, or none, more is sent to an endpoint than it has slots for, by at most
// the number of slots for each acting daemon, and the endpoint queues it. When
// the broker gives no answer, the daemon decides by itself with its share of
// the slots. When the broker moves, the daemons announce everything that waits
// and runs to the new one, which rebuilds its state in one round trip.
//
// The policies other than Brokered decide in each daemon alone. They serve as
// baselines.
//
// # Usage
//
//	b := broker.New(broker.Config{Self: "vm-1", Region: "sask-central", Policy: broker.Brokered}, broker.Deps{...})
//	b.Register(l) // before l.Start()
//	b.Start()
//	defer b.Close()
//	b.UpdateEndpoints(endpoints)
//	b.UpdateLoad(place.Load{...})
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

// Policy is a way to decide.
type Policy string

// The policies.
const (
	// Brokered decides together with the other daemons.
	Brokered Policy = "Broker"
	// LocalFair queues fairly in each daemon alone.
	LocalFair Policy = "LocalFair"
	// RoundRobin sends each request to the next endpoint at once.
	RoundRobin Policy = "RoundRobin"
	// LeastOutstanding sends each request at once to the endpoint with the
	// fewest requests of this daemon.
	LeastOutstanding Policy = "LeastOutstanding"
)

// Defaults of Config.
const (
	// DefaultCellSize is how many endpoints a cell has at most.
	DefaultCellSize = 12
	// DefaultFlushInterval is how long messages to a peer are gathered.
	DefaultFlushInterval = 2 * clock.Millisecond
	// DefaultReplyTimeout is how long a broker may take to answer before the
	// daemon decides by itself.
	DefaultReplyTimeout = 300 * clock.Millisecond
	// DefaultAnnounceWait is how long a new broker waits for announcements.
	DefaultAnnounceWait = 300 * clock.Millisecond
	// DefaultProgressInterval is how long generated tokens are gathered.
	DefaultProgressInterval = 1 * clock.Second
	// DefaultHeartbeatInterval is how often a daemon with requests at a broker
	// shows that it is alive.
	DefaultHeartbeatInterval = 500 * clock.Millisecond
)

// Config holds the rules of a Broker. Zero fields take the defaults.
type Config struct {
	// Self is the name of this daemon.
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

// Deps are what a Broker works with.
type Deps struct {
	Clock  clock.Clock
	Logger logrus.FieldLogger
	// Link reaches the other daemons; nil when the policy is not Brokered or
	// there are none.
	Link *link.Link
	// View returns the live members, this daemon included; nil for none.
	View func() []member.Member
	// Class, Team and Backend look up the configuration in force.
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
	// session tells this run of the daemon from earlier ones.
	session uint64

	// mu guards what follows. It may be taken while a host is locked, never
	// the other way round.
	mu          sync.Mutex
	attempts    map[string]*attempt
	grants      map[*request.Grant]*attempt
	preemptions map[string]preemption
	// active counts the attempts of each cell.
	active map[CellKey]int
	// rejected are attempts whose grant could not be used.
	rejected []*attempt
	// strays are grants of attempts that are no longer here.
	strays []stray
	// leaving holds the incarnations of endpoints that leave.
	leaving   map[string]string
	cells     map[CellKey][]entity.Endpoint
	cellOf    map[string]CellKey
	counts    map[string]int
	endpoints map[string]entity.Endpoint
	hosts     map[CellKey]*host
	fallbacks map[CellKey]*host
	sessions  map[CellKey]*session
	peers     map[string]*peer
	number    uint64
}

// preemption counts how often a request was preempted for a higher tier.
type preemption struct {
	count int
	seen  clock.Millis
}

// New returns a Broker that knows no endpoints. Start makes it work.
func New(config Config, deps Deps) *Broker {
	ctx, cancel := context.WithCancel(context.Background())
	if deps.View == nil {
		deps.View = func() []member.Member { return nil }
	}
	return &Broker{
		config:      config.withDefaults(),
		deps:        deps,
		ctx:         ctx,
		cancel:      cancel,
		session:     rand.Uint64(),
		attempts:    make(map[string]*attempt),
		grants:      make(map[*request.Grant]*attempt),
		preemptions: make(map[string]preemption),
		active:      make(map[CellKey]int),
		leaving:     make(map[string]string),
		cells:       make(map[CellKey][]entity.Endpoint),
		cellOf:      make(map[string]CellKey),
		counts:      make(map[string]int),
		endpoints:   make(map[string]entity.Endpoint),
		hosts:       make(map[CellKey]*host),
		fallbacks:   make(map[CellKey]*host),
		sessions:    make(map[CellKey]*session),
		peers:       make(map[string]*peer),
	}
}

// Start begins to work in the background until Close.
func (b *Broker) Start() {
	b.tasks.Add(1)
	go b.run()
}

// Close ends the work in the background. Requests that wait get the error of
// a cancelled context.
func (b *Broker) Close() {
	b.cancel()
	b.tasks.Wait()
}

// Scheduler returns the functions that the path of requests calls.
func (b *Broker) Scheduler() request.Scheduler {
	return request.Scheduler{
		Acquire: func(ctx context.Context, req *request.Request) (*request.Grant, error) {
			return b.acquire(ctx, req, nil, false)
		},
		Reacquire: func(ctx context.Context, req *request.Request, exclude []string) (*request.Grant, error) {
			return b.acquire(ctx, req, exclude, true)
		},
		ChargeTokens: b.progress,
		Preempted:    b.preempted,
		Release:      b.release,
	}
}

// UpdateLoad takes in a load report of an endpoint.
func (b *Broker) UpdateLoad(load place.LoadReport) {
	for _, h := range b.hostsOf(load.Endpoint) {
		h.report(load)
	}
}

// CacheEvents passes cache events of an endpoint to the cells scheduled
// here; first is the oldest sequence that the endpoint still had.
func (b *Broker) CacheEvents(endpoint, incarnation string, first uint64, events []place.CacheEvent) {
	for _, h := range b.hostsOf(endpoint) {
		h.cacheEvents(endpoint, incarnation, first, events)
	}
}

// MarkEndpointLeaving stops scheduling onto an incarnation of an endpoint at
// once and reports it to the broker of the cell.
func (b *Broker) MarkEndpointLeaving(endpoint, incarnation string) {
	b.mu.Lock()
	b.leaving[endpoint] = incarnation
	b.mu.Unlock()
	for _, h := range b.hostsOf(endpoint) {
		h.leave(endpoint, incarnation)
	}
	b.tellLeaving(endpoint, incarnation)
}

// Schedules reports whether this daemon schedules requests onto the endpoint
// now, as the broker of its cell or as the local fallback while the broker does
// not answer. Only then are the endpoint's reports needed here.
func (b *Broker) Schedules(endpoint string) bool {
	return len(b.hostsOf(endpoint)) > 0
}

// hostsOf returns the hosts in this daemon that decide over an endpoint.
func (b *Broker) hostsOf(endpoint string) []*host {
	b.mu.Lock()
	defer b.mu.Unlock()
	key, known := b.cellOf[endpoint]
	if !known {
		return nil
	}
	var found []*host
	if h := b.hosts[key]; h != nil {
		found = append(found, h)
	}
	if h := b.fallbacks[key]; h != nil {
		found = append(found, h)
	}
	return found
}

// tickEvery is how often the cells are told that time has passed, and
// quietTickEvery that of a daemon that has no request.
const (
	tickEvery      = 20 * clock.Millisecond
	quietTickEvery = 250 * clock.Millisecond
)

// run does what time brings about.
func (b *Broker) run() {
	defer b.tasks.Done()
	next := upkeep{}
	for b.deps.Clock.Sleep(b.ctx, b.tickPause()) == nil {
		now := b.deps.Clock.Now()
		if now >= next.progress {
			next.progress = now + b.config.ProgressInterval
			b.flushProgress()
		}
		if now >= next.routes {
			next.routes = now + rerouteEvery
			b.reroute()
			b.forgetPreemptions(now)
		}
		if now >= next.gossip {
			next.gossip = now + gossipEvery
			b.gossip()
		}
		b.askAgain()
		for _, h := range b.allHosts() {
			h.tick()
		}
	}
}

// tickPause returns the time until the next tick.
func (b *Broker) tickPause() clock.Millis {
	b.mu.Lock()
	busy := len(b.attempts) > 0 || len(b.rejected) > 0 || len(b.strays) > 0
	b.mu.Unlock()
	if busy {
		return tickEvery
	}
	for _, h := range b.allHosts() {
		if h.busy() {
			return tickEvery
		}
	}
	return quietTickEvery
}

// upkeep says when each regular task is due.
type upkeep struct {
	progress clock.Millis
	routes   clock.Millis
	gossip   clock.Millis
}

func (b *Broker) allHosts() []*host {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]*host, 0, len(b.hosts)+len(b.fallbacks))
	for _, h := range b.hosts {
		all = append(all, h)
	}
	for _, h := range b.fallbacks {
		all = append(all, h)
	}
	return all
}
