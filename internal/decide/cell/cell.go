// Package cell implements the scheduler that the broker of a cell runs. It
// decides which waiting request runs next and on which endpoint of the cell. A
// cell is a part of a pool (one back end in one region) of about ten endpoints.
//
// It combines the packages queue, place and admit: method calls report events,
// and the returned actions say what to send to the daemons. The requests
// themselves stay with the daemons that hold the callers' connections, called
// entries here.
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
//		case cell.Grant: // action.Entry runs request action.ID on action.Endpoint
//		case cell.Refuse: // action.Entry refuses request action.ID with action.Code
//		case cell.Preempt: // action.Entry stops request action.ID on its endpoint
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
	// DefaultEntryTimeout is how long an entry may send nothing before its
	// requests are dropped.
	DefaultEntryTimeout = 2 * clock.Second
	// DefaultPreemptShare is the maximum share of the slots that are being
	// preempted at the same time.
	DefaultPreemptShare = 0.125
	// DefaultMaxPreemptions is how often one request may be preempted for a
	// higher tier.
	DefaultMaxPreemptions = 2
	// DefaultReclaimNotice is the notice up to which repeatable requests are
	// preempted on a leaving endpoint. With more notice they may finish there.
	DefaultReclaimNotice = 60 * clock.Second
)

// Config holds the settings of a Cell. Zero fields take the defaults.
type Config struct {
	Queue  queue.Config
	Place  place.Config
	Limits admit.Limits
	// EntryTimeout is the time without a message after which an entry is
	// removed; a negative value disables it.
	EntryTimeout   clock.Millis
	PreemptShare   float64
	MaxPreemptions int
	ReclaimNotice  clock.Millis
	// PassThrough grants every request immediately, regardless of slots, tiers
	// and teams, as a plain load balancer does. It serves as a baseline.
	PassThrough bool
	// ShareCharges collects the charges to teams for the pool's other cells;
	// see TakeCharges.
	ShareCharges bool
	// NoPreemption disables preemption for higher tiers.
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

// RunRequest asks for permission to run a request that waits at an entry.
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
	// Resumed requests have run before. Preemptions is how often they were
	// preempted for a higher tier.
	Resumed     bool
	Preemptions int
}

// Running describes a request that already runs. Entries report it to a new
// broker.
type Running struct {
	RunRequest
	Endpoint string
	// Tokens is the number of generated tokens. An earlier broker has charged
	// them already.
	Tokens int
	// Elapsed is how long the request has been running.
	Elapsed clock.Millis
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of action.
const (
	// Grant lets the request run on Endpoint.
	Grant ActionKind = iota + 1
	// Refuse rejects a request, which has not run on a grant of this cell.
	Refuse
	// Preempt takes back the slot of a running request. The entry stops the
	// request, releases it and submits it again.
	Preempt
)

// Reason is the reason of a preemption.
type Reason string

// The reasons of a preemption.
const (
	HigherTier Reason = "HigherTier"
	Straggler  Reason = "Straggler"
	Leaving    Reason = "Leaving"
)

// Action is a decision about one request, to be sent to its entry.
type Action struct {
	Kind     ActionKind
	Entry    string
	ID       string
	Endpoint string
	// Priority is set with Grant and passed to the engine, which runs smaller
	// values first.
	Priority int
	// Code and RetryAfter are set with Refuse.
	Code       request.Code
	RetryAfter clock.Millis
	// Reason is set with Preempt.
	Reason Reason
}

// Outcome is the result of a granted request.
type Outcome struct {
	Failed           bool
	Preempted        bool
	PromptTokens     int
	OutputTokens     int
	TimeToFirstToken clock.Millis
}

// job is one request that waits or runs.
type job struct {
	request RunRequest
	item    queue.Item
	arrived clock.Millis
	// endpoint is empty while the request waits.
	endpoint      string
	granted       clock.Millis
	progressed    clock.Millis
	tokens        int
	preemptReason Reason
	// runningIndex is the index in the list of running jobs of its tier.
	runningIndex int
}

// session holds the state of an entry.
type session struct {
	lastSeen clock.Millis
	jobs     map[string]*job
}

// Cell schedules the requests of one cell. It is not safe for concurrent use.
type Cell struct {
	config          Config
	rng             *rand.Rand
	queue           *queue.Queue
	placer          *place.Placer
	jobs            map[string]*job
	sessions        map[string]*session
	running         [entity.LowestTier + 1][]*job
	preempting      int
	lastRefusal     [entity.LowestTier + 1]clock.Millis
	meanServiceTime float64
	meanFirstToken  float64
	actions         []Action
	holdUntil       clock.Millis
	awaitedEntries  map[string]bool
	charges         map[TeamTier]float64
	slots           int
}

// Initial estimates in milliseconds, and the weight of each new measurement in
// the moving averages.
const (
	initialServiceTime = 1000
	initialFirstToken  = 100
	estimateWeight     = 0.05
)

// refusalCooldown is how long after a refusal in a higher tier requests of lower
// tiers are refused too, while requests of that higher tier wait.
const refusalCooldown = 1 * clock.Second

// New returns a cell without endpoints.
func New(config Config, rng *rand.Rand) *Cell {
	c := &Cell{
		config:          config.withDefaults(),
		rng:             rng,
		queue:           queue.New(config.Queue),
		placer:          place.New(config.Place, rng),
		jobs:            make(map[string]*job),
		sessions:        make(map[string]*session),
		meanServiceTime: initialServiceTime,
		meanFirstToken:  initialFirstToken,
		charges:         make(map[TeamTier]float64),
	}
	for i := range c.lastRefusal {
		c.lastRefusal[i] = -refusalCooldown
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

// Placer returns the state of the endpoints, for reading only.
func (c *Cell) Placer() *place.Placer {
	return c.placer
}

// Queue returns the queue of waiting requests, for reading only.
func (c *Cell) Queue() *queue.Queue {
	return c.queue
}

// Submit queues or refuses a request, and grants it if a slot is free.
func (c *Cell) Submit(now clock.Millis, req RunRequest) []Action {
	c.resetActions()
	c.touchSession(now, req.Entry)
	c.admitRequest(now, req)
	c.grantWaiting(now)
	c.preempt(now)
	return c.actions
}

// Cancel removes a request whose caller has disconnected.
func (c *Cell) Cancel(now clock.Millis, id string) []Action {
	c.resetActions()
	if j, known := c.jobs[id]; known {
		c.end(now, j, Outcome{Preempted: true})
	}
	c.grantWaiting(now)
	return c.actions
}

// RecordTokens charges the tokens that a request has generated since the last
// call.
func (c *Cell) RecordTokens(now clock.Millis, id string, tokens int) {
	j, known := c.jobs[id]
	if !known || j.endpoint == "" || tokens <= 0 {
		return
	}
	c.touchSession(now, j.request.Entry)
	if j.tokens == 0 {
		c.placer.RecordFirstToken(j.endpoint, id)
	} else {
		c.placer.RecordTokens(j.endpoint, tokens, now-j.progressed)
	}
	j.tokens += tokens
	j.progressed = now
	c.charge(j, c.config.Queue.OutputCost, queue.DefaultOutputCost, tokens)
}

// Release frees the slot of a granted request that has ended.
func (c *Cell) Release(now clock.Millis, id string, outcome Outcome) []Action {
	c.resetActions()
	if j, known := c.jobs[id]; known {
		c.end(now, j, outcome)
	}
	c.grantWaiting(now)
	return c.actions
}

// SetEndpoints replaces the endpoints of the cell. slots returns how many requests
// an endpoint runs at the same time.
func (c *Cell) SetEndpoints(now clock.Millis, endpoints []entity.Endpoint, slots func(entity.Endpoint) int) []Action {
	c.resetActions()
	if c.config.PassThrough {
		slots = func(entity.Endpoint) int { return passThroughSlots }
	}
	c.placer.SetEndpoints(now, endpoints, slots)
	c.updateSlots(now)
	c.preemptLeaving()
	c.grantWaiting(now)
	return c.actions
}

// passThroughSlots is the number of slots of an endpoint without a limit.
const passThroughSlots = 1 << 20

// MarkLeaving marks an incarnation of an endpoint as leaving.
func (c *Cell) MarkLeaving(now clock.Millis, endpoint, incarnation string) []Action {
	c.resetActions()
	c.placer.MarkLeaving(now, endpoint, incarnation)
	c.updateSlots(now)
	c.preemptLeaving()
	return c.actions
}

// RecordLoad applies a load report of an endpoint.
func (c *Cell) RecordLoad(now clock.Millis, load place.LoadReport) []Action {
	c.resetActions()
	if !c.config.PassThrough {
		c.placer.RecordLoad(now, load)
	}
	c.grantWaiting(now)
	return c.actions
}

// RecordCacheEvents applies cache events of an endpoint.
func (c *Cell) RecordCacheEvents(endpoint, incarnation string, first uint64, events []place.CacheEvent) {
	c.placer.RecordCacheEvents(endpoint, incarnation, first, events)
}

// Tick handles timeouts, stragglers and preemption. Callers run it every few
// tens of milliseconds.
func (c *Cell) Tick(now clock.Millis) []Action {
	c.resetActions()
	c.refuseExpired(now)
	c.removeSilentEntries(now)
	c.reportStalled(now)
	for _, endpoint := range c.placer.EjectStragglers(now) {
		c.preemptEndpoint(endpoint, Straggler)
	}
	c.updateSlots(now)
	c.grantWaiting(now)
	c.preempt(now)
	return c.actions
}

func (c *Cell) resetActions() {
	c.actions = c.actions[:0]
}

func (c *Cell) updateSlots(now clock.Millis) {
	if slots := c.placer.Slots(); slots != c.slots {
		c.slots = slots
		c.queue.SetSlots(now, slots)
	}
}

func (c *Cell) refuseExpired(now clock.Millis) {
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
