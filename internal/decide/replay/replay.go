// Package replay simulates a fleet in virtual time on a given list of arrivals,
// using the scheduling decisions of package cell. It compares policies on the same
// arrivals and tests properties of the decisions. It simulates many requests per
// second of real time. Endpoints are reduced to what affects scheduling: slots, a
// queue by priority, a time per token, and load reports that arrive late.
//
// # Usage
//
//	arrivals := replay.GenerateArrivals(seed, replay.Workload{...})
//	result := replay.Run(replay.Config{Policy: replay.Brokered, Daemons: 8, ...}, arrivals)
//	fmt.Println(result.Attainment[0], result.MinServedRatio, result.JainIndex)
package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/cell"
	"github.com/banyanshift/banyanshift/internal/decide/heap"
	"github.com/banyanshift/banyanshift/internal/decide/place"
	"github.com/banyanshift/banyanshift/internal/decide/queue"
)

// Policy selects how requests are scheduled.
type Policy string

// The policies. With Brokered, one cell schedules the requests of all daemons. With
// the others, each daemon has a cell of its own: LocalFair uses the full scheduler,
// RoundRobin and LeastOutstanding grant at once and ignore slots, tiers and teams.
const (
	Brokered         Policy = "Broker"
	LocalFair        Policy = "LocalFair"
	RoundRobin       Policy = "RoundRobin"
	LeastOutstanding Policy = "LeastOutstanding"
)

// Arrival is one request of a workload.
type Arrival struct {
	At           clock.Millis
	Daemon       int
	Team         string
	Weight       int
	Tier         int
	PromptTokens int
	OutputTokens int
	Target       clock.Millis
	MaxWait      clock.Millis
	RefuseEarly  bool
	Digests      []uint64
}

// Config describes the fleet.
type Config struct {
	Policy    Policy
	Seed      uint64
	Daemons   int
	Endpoints int
	Slots     int
	// TokenInterval is the time between two tokens. PrefillRate is the number of
	// prompt tokens prefilled in a millisecond.
	TokenInterval clock.Millis
	PrefillRate   float64
	// MessageDelay is the transit time of a message between daemons.
	MessageDelay clock.Millis
	// LoadReportDelay is the age of load reports on arrival.
	LoadReportDelay clock.Millis
	// SlowFactors maps indexes of endpoints to the factor by which they are
	// slower from SlowStart on.
	SlowFactors map[int]float64
	SlowStart   clock.Millis
	// GuaranteedShare returns the guaranteed share of a class ("tier0" and so on).
	GuaranteedShare func(class string) float64
	// MeasureUntil is the time after which served work is not counted; 0 for the
	// end of the replay.
	MeasureUntil clock.Millis
	// OnAction is called for each action of a cell, so that tests can check it;
	// may be nil.
	OnAction func(now clock.Millis, c *cell.Cell, action cell.Action)
}

// TeamResult is the work of one team, as the cost of prompts and output tokens.
type TeamResult struct {
	// Demand is the work of all requests, Served the work that was done, and
	// FairShare the work that a fair division would have given the team.
	Demand    float64
	Served    float64
	FairShare float64
}

// Result is the outcome of a replay.
type Result struct {
	// Attainment is the share of the requests of each tier whose first token
	// arrived within the target. Refused requests count as missed.
	Attainment map[int]float64
	// Completed, Arrived and Refused count the requests of each tier.
	Completed map[int]int
	Arrived   map[int]int
	Refused   map[int]int
	Preempted int
	// Unfinished counts requests that were neither completed nor refused.
	Unfinished int
	// Goodput is the number of output tokens per second of requests that met
	// their target.
	Goodput float64
	// MinServedRatio is the least ratio of served work to fair share of any team.
	MinServedRatio float64
	JainIndex      float64
	Teams          map[string]TeamResult
	// SlowShare is the share of the grants that went to endpoints while they
	// were slow.
	SlowShare float64
}

// simRequest is the state of one request.
type simRequest struct {
	arrival Arrival
	id      string
	cell    int
	// doneTokens is the number of output tokens produced so far.
	doneTokens int
	// timeToFirstToken is measured from the arrival.
	timeToFirstToken clock.Millis
	startedAt        clock.Millis
	endpoint         *simEndpoint
	// epoch changes with each assignment to an endpoint, so that events of an
	// earlier one are ignored.
	epoch   int
	resumed bool
	// preempted counts the preemptions for a higher tier.
	preempted int
}

// simEndpoint is the state of one endpoint.
type simEndpoint struct {
	id      string
	factor  float64
	running int
	queue   []*simRequest
	cache   map[uint64]bool
}

type scheduledEvent struct {
	at    clock.Millis
	order int
	run   func()
}

type simulation struct {
	config       Config
	now          clock.Millis
	nextOrder    int
	events       *heap.Heap[*scheduledEvent]
	cells        []*cell.Cell
	endpoints    map[string]*simEndpoint
	endpointList []entity.Endpoint
	requests     map[string]*simRequest
	result       Result
	// targetsMet counts the requests of each tier that met their target.
	targetsMet map[int]int
	tokens     float64
	// goodTokens counts the tokens of requests that met their target.
	goodTokens     float64
	grantsSent     int
	slowGrantsSent int
	// unfinished counts the requests that were neither completed nor refused.
	unfinished int
}

func cost(prompt, output int) float64 {
	return queue.DefaultInputCost*float64(prompt) + queue.DefaultOutputCost*float64(output)
}

// maxDrainTime limits the time that is simulated after the last arrival.
const maxDrainTime = 2 * clock.Minute

// Run replays arrivals and returns the outcome.
func Run(config Config, arrivals []Arrival) Result {
	s := newSimulation(config)
	s.unfinished = len(arrivals)
	for i := range arrivals {
		a := arrivals[i]
		id := fmt.Sprintf("r%06d", i)
		s.schedule(a.At, func() { s.addArrival(id, a) })
	}
	s.scheduleEvery(20, func() { s.tickCells() })
	s.scheduleEvery(200, func() { s.sendLoadReports() })
	last := clock.Millis(0)
	if len(arrivals) > 0 {
		last = arrivals[len(arrivals)-1].At
	}
	for s.unfinished > 0 && s.now < last+maxDrainTime {
		next := s.events.Pop()
		s.now = next.at
		next.run()
	}
	s.result.Unfinished = s.unfinished
	return s.finish()
}

func newSimulation(config Config) *simulation {
	s := &simulation{
		config:     config,
		endpoints:  make(map[string]*simEndpoint),
		requests:   make(map[string]*simRequest),
		targetsMet: make(map[int]int),
		events: heap.New(func(a, b *scheduledEvent) bool {
			return a.at < b.at || (a.at == b.at && a.order < b.order)
		}, func(*scheduledEvent, int) {}),
		result: Result{
			Attainment: make(map[int]float64), Completed: make(map[int]int), Arrived: make(map[int]int),
			Refused: make(map[int]int), Teams: make(map[string]TeamResult),
		},
	}
	for i := range config.Endpoints {
		id := fmt.Sprintf("e%03d", i)
		s.endpoints[id] = &simEndpoint{id: id, factor: 1, cache: make(map[uint64]bool)}
		s.endpointList = append(s.endpointList, entity.Endpoint{ID: id, Backend: "pool", Incarnation: "1"})
	}
	cells := config.Daemons
	if config.Policy == Brokered {
		cells = 1
	}
	for i := range cells {
		c := cell.New(s.cellConfig(), rand.New(rand.NewPCG(config.Seed, uint64(i))))
		c.SetEndpoints(0, s.endpointList, func(entity.Endpoint) int { return config.Slots })
		s.cells = append(s.cells, c)
	}
	for i, factor := range config.SlowFactors {
		s.schedule(config.SlowStart, func() { s.endpoints[s.endpointList[i].ID].factor = factor })
	}
	return s
}

func (s *simulation) cellConfig() cell.Config {
	made := cell.Config{EntryTimeout: -1}
	made.Queue.Share = s.config.GuaranteedShare
	switch s.config.Policy {
	case RoundRobin:
		made.PassThrough = true
		made.Place = place.Config{Policy: place.RoundRobin, IgnoreTokenRate: true, IgnorePrefixCache: true}
	case LeastOutstanding:
		made.PassThrough = true
		made.Place = place.Config{Policy: place.LeastOutstanding, IgnoreTokenRate: true, IgnorePrefixCache: true}
	case Brokered, LocalFair:
	}
	return made
}

func (s *simulation) schedule(when clock.Millis, do func()) {
	s.nextOrder++
	s.events.Push(&scheduledEvent{at: when, order: s.nextOrder, run: do})
}

func (s *simulation) scheduleEvery(period clock.Millis, do func()) {
	s.schedule(s.now+period, func() {
		do()
		s.scheduleEvery(period, do)
	})
}

// messageDelay is the transit time from a daemon to the one that decides.
func (s *simulation) messageDelay() clock.Millis {
	if s.config.Policy == Brokered {
		return s.config.MessageDelay
	}
	return 0
}

func (s *simulation) addArrival(id string, a Arrival) {
	t := &simRequest{arrival: a, id: id}
	if s.config.Policy != Brokered {
		t.cell = a.Daemon
	}
	s.requests[id] = t
	s.result.Arrived[a.Tier]++
	team := s.result.Teams[a.Team]
	team.Demand += cost(a.PromptTokens, a.OutputTokens)
	s.result.Teams[a.Team] = team
	s.schedule(s.now+s.messageDelay(), func() { s.submit(t) })
}

func (s *simulation) submit(t *simRequest) {
	a := &t.arrival
	s.apply(t.cell, s.cells[t.cell].Submit(s.now, cell.RunRequest{
		ID: t.id, Entry: fmt.Sprint("d", a.Daemon), Team: a.Team, Class: fmt.Sprint("tier", a.Tier), Tier: a.Tier,
		Weight: max(a.Weight, 1), PromptTokens: a.PromptTokens + t.doneTokens, Digests: a.Digests, Waited: s.now - a.At,
		Target: a.Target, MaxWait: a.MaxWait, RefuseEarly: a.RefuseEarly, Repeatable: true, Resumed: t.resumed, Preemptions: t.preempted,
	}))
}

// apply carries out the decisions of a cell.
func (s *simulation) apply(index int, actions []cell.Action) {
	for _, action := range slices.Clone(actions) {
		if s.config.OnAction != nil {
			s.config.OnAction(s.now, s.cells[index], action)
		}
		t := s.requests[action.ID]
		switch action.Kind {
		case cell.Grant:
			s.schedule(s.now+s.messageDelay(), func() { s.send(t, s.endpoints[action.Endpoint], action.Priority) })
		case cell.Refuse:
			s.result.Refused[t.arrival.Tier]++
			s.countEnded(t)
		case cell.Preempt:
			s.schedule(s.now+s.messageDelay(), func() { s.preempt(t, action.Reason) })
		}
	}
}

func (s *simulation) send(t *simRequest, e *simEndpoint, priority int) {
	s.grantsSent++
	if e.factor > 1 {
		s.slowGrantsSent++
	}
	t.endpoint = e
	t.epoch++
	if e.running < s.config.Slots {
		s.start(t)
		return
	}
	at := len(e.queue)
	for at > 0 && s.config.Policy != RoundRobin && s.config.Policy != LeastOutstanding && e.queue[at-1].arrival.Tier > priority {
		at--
	}
	e.queue = slices.Insert(e.queue, at, t)
}

func (s *simulation) start(t *simRequest) {
	e := t.endpoint
	e.running++
	t.startedAt = s.now
	cached := 0
	for i, digest := range t.arrival.Digests {
		if e.cache[digest] {
			cached = (i + 1) * 64
		}
		e.cache[digest] = true
	}
	uncached := max(0, t.arrival.PromptTokens+t.doneTokens-cached)
	prefill := clock.Millis(float64(uncached) / s.config.PrefillRate * e.factor)
	epoch := t.epoch
	s.schedule(s.now+prefill+s.tokenInterval(e), func() { s.produceTokens(t, epoch) })
}

func (s *simulation) tokenInterval(e *simEndpoint) clock.Millis {
	return clock.Millis(float64(s.config.TokenInterval) * e.factor)
}

// tokensPerStep is the number of tokens that one simulated event produces.
const tokensPerStep = 5

// produceTokens handles the arrival of the next tokens of a request.
func (s *simulation) produceTokens(t *simRequest, epoch int) {
	if t.epoch != epoch || t.endpoint == nil {
		return
	}
	step := min(tokensPerStep, t.arrival.OutputTokens-t.doneTokens)
	if t.doneTokens == 0 {
		step = 1
		t.timeToFirstToken = s.now - t.arrival.At
		if t.timeToFirstToken <= t.arrival.Target {
			s.targetsMet[t.arrival.Tier]++
		}
	}
	t.doneTokens += step
	s.tokens += float64(step)
	s.countServed(t, step)
	s.cells[t.cell].RecordTokens(s.now, t.id, step)
	if t.doneTokens >= t.arrival.OutputTokens {
		s.complete(t)
		return
	}
	next := min(tokensPerStep, t.arrival.OutputTokens-t.doneTokens)
	s.schedule(s.now+s.tokenInterval(t.endpoint)*clock.Millis(next), func() { s.produceTokens(t, epoch) })
}

func (s *simulation) countServed(t *simRequest, tokens int) {
	if s.config.MeasureUntil > 0 && s.now > s.config.MeasureUntil {
		return
	}
	team := s.result.Teams[t.arrival.Team]
	prompt := 0
	if t.doneTokens == tokens {
		prompt = t.arrival.PromptTokens
	}
	team.Served += cost(prompt, tokens)
	s.result.Teams[t.arrival.Team] = team
	if t.timeToFirstToken <= t.arrival.Target {
		s.goodTokens += float64(tokens)
	}
}

func (s *simulation) complete(t *simRequest) {
	s.result.Completed[t.arrival.Tier]++
	s.leaveEndpoint(t)
	s.schedule(s.now+s.messageDelay(), func() {
		s.apply(t.cell, s.cells[t.cell].Release(s.now, t.id, cell.Outcome{
			OutputTokens: t.doneTokens, TimeToFirstToken: t.timeToFirstToken, PromptTokens: t.arrival.PromptTokens,
		}))
	})
	s.countEnded(t)
}

func (s *simulation) countEnded(*simRequest) {
	s.unfinished--
}

func (s *simulation) leaveEndpoint(t *simRequest) {
	e := t.endpoint
	t.endpoint = nil
	t.epoch++
	if at := slices.Index(e.queue, t); at >= 0 {
		e.queue = slices.Delete(e.queue, at, at+1)
		return
	}
	e.running--
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		s.start(next)
	}
}

func (s *simulation) preempt(t *simRequest, reason cell.Reason) {
	if t.endpoint == nil {
		return
	}
	s.result.Preempted++
	s.leaveEndpoint(t)
	t.resumed = true
	if reason == cell.HigherTier {
		t.preempted++
	}
	s.schedule(s.now+s.messageDelay(), func() {
		s.apply(t.cell, s.cells[t.cell].Release(s.now, t.id, cell.Outcome{Preempted: true}))
		s.submit(t)
	})
}

func (s *simulation) tickCells() {
	for i, c := range s.cells {
		s.apply(i, c.Tick(s.now))
	}
}

// sendLoadReports sends load reports, which arrive after LoadReportDelay.
func (s *simulation) sendLoadReports() {
	for _, endpoint := range s.endpointList {
		e := s.endpoints[endpoint.ID]
		load := place.LoadReport{
			Endpoint: e.id, Incarnation: "1", Running: e.running, Waiting: len(e.queue),
			Slots: s.config.Slots, Sequence: uint64(s.now),
		}
		s.schedule(s.now+s.config.LoadReportDelay, func() {
			for i, c := range s.cells {
				s.apply(i, c.RecordLoad(s.now, load))
			}
		})
	}
}

func (s *simulation) finish() Result {
	for tier, arrived := range s.result.Arrived {
		s.result.Attainment[tier] = float64(s.targetsMet[tier]) / float64(arrived)
	}
	span := s.now
	if s.config.MeasureUntil > 0 {
		span = min(span, s.config.MeasureUntil)
	}
	s.result.Goodput = s.goodTokens / span.Seconds()
	s.result.SlowShare = float64(s.slowGrantsSent) / float64(max(s.grantsSent, 1))
	weights := make(map[string]float64)
	for _, t := range s.requests {
		weights[t.arrival.Team] = float64(max(t.arrival.Weight, 1))
	}
	s.result.MinServedRatio, s.result.JainIndex = Fairness(s.result.Teams, weights)
	return s.result
}

// Fairness sets the FairShare of each team. It returns the least ratio of served
// work to fair share of any team, and Jain's index over these ratios. The fair
// shares are the weighted max-min fair division of all served work, limited by the
// demand of each team.
func Fairness(teams map[string]TeamResult, weights map[string]float64) (minRatio, jain float64) {
	left := 0.0
	open := make([]string, 0, len(teams))
	for name, team := range teams {
		left += team.Served
		open = append(open, name)
	}
	slices.Sort(open)
	for len(open) > 0 {
		sum := 0.0
		for _, name := range open {
			sum += weights[name]
		}
		level := left / sum
		kept := open[:0:0]
		for _, name := range open {
			team := teams[name]
			if team.Demand > level*weights[name] {
				kept = append(kept, name)
				continue
			}
			team.FairShare = team.Demand
			left -= team.Demand
			teams[name] = team
		}
		if len(kept) == len(open) {
			for _, name := range open {
				team := teams[name]
				team.FairShare = level * weights[name]
				teams[name] = team
			}
			break
		}
		open = kept
	}
	minRatio = math.Inf(1)
	sum, squares, n := 0.0, 0.0, 0.0
	for _, team := range teams {
		if team.FairShare <= 0 {
			continue
		}
		ratio := team.Served / team.FairShare
		minRatio = min(minRatio, ratio)
		sum += ratio
		squares += ratio * ratio
		n++
	}
	if n == 0 || squares == 0 {
		return 0, 0
	}
	return minRatio, sum * sum / (n * squares)
}
