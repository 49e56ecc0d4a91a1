// Package cell is the broker of a cell: it decides which of the requests that
// the daemons announce runs next and on which of the cell's endpoints. A cell
// is a part of a pool (one back end in one region) of about ten endpoints.
//
// It composes the packages queue, place and admit: events go in by method
// calls, typed actions come out. The requests themselves stay with the daemons
// that hold the callers' connections, called entries here.
//
// The package is pure: it has no clock, lock or goroutine of its own. The same
// code runs in the broker of a cell, in each daemon as the fallback when no
// broker answers, and in tests that replay many requests.
//
// # Usage
//
//	c := cell.New(cell.Config{}, rand.New(rand.NewPCG(1, 2)))
//	c.SetEndpoints(now, endpoints, slots)
//	for _, action := range c.Submit(now, cell.RunRequest{ID: "r1", Entry: "daemon-1", ...}) {
//		switch action.Kind {
//		case cell.Grant: // tell action.Entry that action.ID runs on action.Endpoint
//		case cell.Refuse: // tell it that action.ID is refused with action.Code
//		case cell.Preempt: // tell it to take action.ID back from its endpoint
//		}
//	}
//
// The returned actions are valid until the next call.
package cell

import (
	"math/rand/v2"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/admit"
	"github.com/banyanshift/banyanshift/internal/decide/place"
	"github.com/banyanshift/banyanshift/internal/decide/queue"
)

// Defaults of Config.
const (
	// DefaultEntryTimeout is how long an entry may be silent before what it
	// announced is dropped.
	DefaultEntryTimeout = 2 * clock.Second
	// DefaultPreemptShare bounds the slots being preempted at one time.
	DefaultPreemptShare = 0.125
	// DefaultMaxPreemptions bounds how often one request is preempted for a
	// higher tier.
	DefaultMaxPreemptions = 2
	// DefaultReclaimNotice is the notice below which repeatable work is moved
	// away from a leaving endpoint rather than left to finish.
	DefaultReclaimNotice = 60 * clock.Second
)

// Config holds the rules of a Cell. Zero fields take the defaults.
type Config struct {
	Queue  queue.Config
	Place  place.Config
	Limits admit.Limits
	// EntryTimeout is 0 for the default, negative for none.
	EntryTimeout   clock.Millis
	PreemptShare   float64
	MaxPreemptions int
	ReclaimNotice  clock.Millis
	// PassThrough grants at once without regard to slots, tiers or teams, as
	// a plain balancer does, for comparison.
	PassThrough bool
	// ShareCharges collects charges for the pool's other cells, see
	// TakeCharges.
	ShareCharges bool
	// NoPreemption never takes back a slot for a higher tier.
	NoPreemption bool
}

func (c Config) withDefaults() Config {
	if c.EntryTimeout == 0 {
		c.EntryTimeout = DefaultEntryTimeout
	}
	if c.PreemptShare == 0 {
		c.PreemptShare = DefaultPreemptShare
	}
	if c.MaxPreemptions == 0 {
		c.MaxPreemptions = DefaultMaxPreemptions
	}
	if c.ReclaimNotice == 0 {
		c.ReclaimNotice = DefaultReclaimNotice
	}
	return c
}

// RunRequest is an entry's announcement that a request waits.
type RunRequest struct {
	ID           string
	Entry        string
	Team         string
	Class        string
	Tier         int
	Weight       int
	PromptTokens int
	Digests      []uint64
	Exclude      []string
	// Waited is how long the request has waited already.
	Waited      clock.Millis
	Target      clock.Millis
	MaxWait     clock.Millis
	RefuseEarly bool
	Repeatable  bool
	// Resumed requests ran before; Preemptions says how often they were
	// preempted for a higher tier.
	Resumed     bool
	Preemptions int
}

// Running is an entry's announcement that a request already runs, made to a
// broker that does not know of it.
type Running struct {
	RunRequest
	Endpoint string
	// Tokens generated so far; they were charged by an earlier broker.
	Tokens int
	// Elapsed is how long it has been running.
	Elapsed clock.Millis
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of action.
const (
	// Grant lets the request run on Endpoint.
	Grant ActionKind = iota + 1
	// Refuse turns the request away; it has not run on this cell's grant.
	Refuse
	// Preempt takes the slot of a running request back. The entry stops the
	// request, releases it and asks again.
	Preempt
)

// Reason says why a slot is taken back.
type Reason string

// The reasons of a preemption.
const (
	HigherTier Reason = "HigherTier"
	Straggler  Reason = "Straggler"
	Leaving    Reason = "Leaving"
)

// Action is what an entry is told about one request.
type Action struct {
	Kind     ActionKind
	Entry    string
	ID       string
	Endpoint string
	// Priority is passed to the engine with a Grant; smaller runs first.
	Priority int
	// Code and RetryAfter belong to a Refuse.
	Code       request.Code
	RetryAfter clock.Millis
	// Reason belongs to a Preempt.
	Reason Reason
}

// Outcome says how a granted request ended.
type Outcome struct {
	Failed           bool
	Preempted        bool
	PromptTokens     int
	OutputTokens     int
	TimeToFirstToken clock.Millis
}

// job is one request that waits or runs.
type job struct {
	ask     RunRequest
	item    queue.Item
	arrived clock.Millis
	// endpoint is empty while the request waits.
	endpoint   string
	granted    clock.Millis
	progressed clock.Millis
	tokens     int
	preempting Reason
	// at is the position among the running jobs of its tier.
	at int
}

// session is what the cell knows of an entry.
type session struct {
	heard clock.Millis
	jobs  map[string]*job
}

// Cell decides for one cell.
type Cell struct {
	config     Config
	rng        *rand.Rand
	queue      *queue.Queue
	placer     *place.Placer
	jobs       map[string]*job
	sessions   map[string]*session
	running    [entity.LowestTier + 1][]*job
	preempting int
	refused    [entity.LowestTier + 1]clock.Millis
	turnover   float64
	firstToken float64
	actions    []Action
	holdUntil  clock.Millis
	awaited    map[string]bool
	charges    map[TeamTier]float64
	slots      int
}

// Initial estimates, until requests have ended.
const (
	initialTurnover   = 1000
	initialFirstToken = 100
	estimateWeight    = 0.05
)

// refusedFor is how long lower tiers give way after a refusal.
const refusedFor = 1 * clock.Second

// New returns a cell without endpoints.
func New(config Config, rng *rand.Rand) *Cell {
	c := &Cell{
		config:     config.withDefaults(),
		rng:        rng,
		queue:      queue.New(config.Queue),
		placer:     place.New(config.Place, rng),
		jobs:       make(map[string]*job),
		sessions:   make(map[string]*session),
		turnover:   initialTurnover,
		firstToken: initialFirstToken,
		charges:    make(map[TeamTier]float64),
	}
	for i := range c.refused {
		c.refused[i] = -refusedFor
	}
	return c
}

// Waiting returns the number of waiting requests.
func (c *Cell) Waiting() int {
	return c.queue.Len()
}

// Running returns the number of running requests.
func (c *Cell) Running() int {
	return len(c.jobs) - c.queue.Len()
}

// Placer gives read access to the state of the endpoints.
func (c *Cell) Placer() *place.Placer {
	return c.placer
}

// Queue gives read access to the state of the queue.
func (c *Cell) Queue() *queue.Queue {
	return c.queue
}

// Submit takes in a request that waits.
func (c *Cell) Submit(now clock.Millis, ask RunRequest) []Action {
	c.begin()
	c.heard(now, ask.Entry)
	c.ask(now, ask)
	c.pump(now)
	c.preempt(now)
	return c.actions
}

// Cancel drops a request whose caller has gone.
func (c *Cell) Cancel(now clock.Millis, id string) []Action {
	c.begin()
	if j, known := c.jobs[id]; known {
		c.end(now, j, Outcome{Preempted: true})
	}
	c.pump(now)
	return c.actions
}

// RecordTokens charges tokens that were generated since the last call.
func (c *Cell) RecordTokens(now clock.Millis, id string, tokens int) {
	j, known := c.jobs[id]
	if !known || j.endpoint == "" || tokens <= 0 {
		return
	}
	c.heard(now, j.ask.Entry)
	if j.tokens == 0 {
		c.placer.RecordFirstToken(j.endpoint, id)
	} else {
		c.placer.RecordTokens(j.endpoint, tokens, now-j.progressed)
	}
	j.tokens += tokens
	j.progressed = now
	c.charge(j, c.config.Queue.OutputCost, queue.DefaultOutputCost, tokens)
}

// Release ends a granted request.
func (c *Cell) Release(now clock.Millis, id string, outcome Outcome) []Action {
	c.begin()
	if j, known := c.jobs[id]; known {
		c.end(now, j, outcome)
	}
	c.pump(now)
	return c.actions
}

// SetEndpoints replaces the endpoints of the cell. slots returns how many requests
// an endpoint runs at the same time.
func (c *Cell) SetEndpoints(now clock.Millis, endpoints []entity.Endpoint, slots func(entity.Endpoint) int) []Action {
	c.begin()
	if c.config.PassThrough {
		slots = func(entity.Endpoint) int { return passThroughSlots }
	}
	c.placer.SetEndpoints(now, endpoints, slots)
	c.resize(now)
	c.moveLeaving()
	c.pump(now)
	return c.actions
}

// passThroughSlots stands for no limit.
const passThroughSlots = 1 << 20

// MarkLeaving marks an incarnation of an endpoint as leaving.
func (c *Cell) MarkLeaving(now clock.Millis, endpoint, incarnation string) []Action {
	c.begin()
	c.placer.MarkLeaving(now, endpoint, incarnation)
	c.resize(now)
	c.moveLeaving()
	return c.actions
}

// ReportLoad takes in a load report of an endpoint.
func (c *Cell) ReportLoad(now clock.Millis, load place.LoadReport) []Action {
	c.begin()
	if !c.config.PassThrough {
		c.placer.RecordLoad(now, load)
	}
	c.pump(now)
	return c.actions
}

// CacheEvents takes in cache events of an endpoint.
func (c *Cell) CacheEvents(endpoint, incarnation string, first uint64, events []place.CacheEvent) {
	c.placer.RecordCacheEvents(endpoint, incarnation, first, events)
}

// Tick does what time brings about. It is called every few ten milliseconds.
func (c *Cell) Tick(now clock.Millis) []Action {
	c.begin()
	c.expire(now)
	c.dropSilent(now)
	c.observeSilence(now)
	for _, endpoint := range c.placer.EjectStragglers(now) {
		c.move(endpoint, Straggler)
	}
	c.resize(now)
	c.pump(now)
	c.preempt(now)
	return c.actions
}

func (c *Cell) begin() {
	c.actions = c.actions[:0]
}

func (c *Cell) resize(now clock.Millis) {
	if slots := c.placer.Slots(); slots != c.slots {
		c.slots = slots
		c.queue.SetSlots(now, slots)
	}
}

func (c *Cell) expire(now clock.Millis) {
	for {
		item := c.queue.PopExpired(now)
		if item == nil {
			return
		}
		code := request.CodeWaitedTooLong
		if c.slots == 0 {
			code = request.CodeNoEndpoint
		}
		c.refuse(c.jobs[item.ID], code)
	}
}
