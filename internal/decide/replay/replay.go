// Package replay runs recorded arrivals through the decisions of package cell
// in virtual time, many requests in a second, so that policies can be compared
// on the same arrivals and properties be tested. Endpoints are reduced to what
// matters for the order: slots, a queue by priority, a time per token, and a
// lagging load report.
//
// # Usage
//
//	arrivals := replay.Record(seed, replay.Workload{...})
//	result := replay.Run(replay.Config{Policy: replay.Brokered, Daemons: 8, ...}, arrivals)
//	fmt.Println(result.Attainment[0], result.WorstServed, result.JainIndex)
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

// Policy is a way to decide.
type Policy string

// The policies.
const (
	Brokered         Policy = "Broker"
	LocalFair        Policy = "LocalFair"
	RoundRobin       Policy = "RoundRobin"
	LeastOutstanding Policy = "LeastOutstanding"
)

// Arrival is one recorded request.
type Arrival struct {
	At      clock.Millis
	Daemon  int
	Team    string
	Weight  int
	Tier    int
	Prompt  int
	Output  int
	Target  clock.Millis
	MaxWait clock.Millis
	Early   bool
	Digests []uint64
}

// Config describes the fleet.
type Config struct {
	Policy    Policy
	Seed      uint64
	Daemons   int
	Endpoints int
	Slots     int
	// PerToken is the time between tokens, Prefill the tokens prefilled in a
	// millisecond.
	PerToken clock.Millis
	Prefill  float64
	// Hop is the time of a message between daemons.
	Hop clock.Millis
	// Lag is how old load reports are.
	Lag clock.Millis
	// Slow names endpoints that are slower, by factor, from SlowFrom on.
	Slow     map[int]float64
	SlowFrom clock.Millis
	// Share returns the guaranteed share of a class ("tier0" and so on).
	Share func(class string) float64
	// Until ends the count of what was served; 0 counts to the end.
	Until clock.Millis
	// Watch is told of every action, for checks; may be nil.
	Watch func(now clock.Millis, c *cell.Cell, action cell.Action)
}

// TeamResult is what one team asked for and got, as the cost of the prompts and
// of the output tokens.
type TeamResult struct {
	Demand    float64
	Served    float64
	FairShare float64
}

// Result is the outcome of a replay.
type Result struct {
	// Attainment is the share of the requests of each tier whose first token
	// came within the target. Refused requests count as missed.
	Attainment map[int]float64
	// Completed counts the finished requests of each tier, Arrived all.
	Completed map[int]int
	Arrived   map[int]int
	Refused   map[int]int
	Preempted int
	// Unsettled counts requests that neither ended nor were refused.
	Unsettled int
	// Goodput is output tokens a second of requests that met their target.
	Goodput     float64
	WorstServed float64
	JainIndex   float64
	Teams       map[string]TeamResult
	// OnSlow is the share of the requests that were given to slow endpoints
	// after SlowFrom.
	OnSlow float64
}

// task is one request on its way.
type task struct {
	arrival Arrival
	id      string
	cell    int
	done    int
	first   clock.Millis
	began   clock.Millis
	engine  *engine
	epoch   int
	resumed bool
	// preempted counts the preemptions for a higher tier.
	preempted int
}

// engine is one endpoint.
type engine struct {
	id      string
	factor  float64
	running int
	queue   []*task
	cache   map[uint64]bool
}

type occurrence struct {
	at    clock.Millis
	order int
	run   func()
}

type run struct {
	config  Config
	now     clock.Millis
	order   int
	events  *heap.Heap[*occurrence]
	cells   []*cell.Cell
	engines map[string]*engine
	list    []entity.Endpoint
	tasks   map[string]*task
	result  Result
	met     map[int]int
	tokens  float64
	good    float64
	sentAll int
	sentOn  int
	left    int
}

func cost(prompt, output int) float64 {
	return queue.DefaultInputCost*float64(prompt) + queue.DefaultOutputCost*float64(output)
}

// settleWithin bounds the time after the last arrival.
const settleWithin = 2 * clock.Minute

// Run replays arrivals and returns what came of them.
func Run(config Config, arrivals []Arrival) Result {
	r := newRun(config)
	r.left = len(arrivals)
	for i := range arrivals {
		a := arrivals[i]
		id := fmt.Sprintf("r%06d", i)
		r.at(a.At, func() { r.arrive(id, a) })
	}
	r.every(20, func() { r.tick() })
	r.every(200, func() { r.report() })
	last := clock.Millis(0)
	if len(arrivals) > 0 {
		last = arrivals[len(arrivals)-1].At
	}
	for r.left > 0 && r.now < last+settleWithin {
		next := r.events.Pop()
		r.now = next.at
		next.run()
	}
	r.result.Unsettled = r.left
	return r.finish()
}

func newRun(config Config) *run {
	r := &run{
		config:  config,
		engines: make(map[string]*engine),
		tasks:   make(map[string]*task),
		met:     make(map[int]int),
		events: heap.New(func(a, b *occurrence) bool {
			return a.at < b.at || (a.at == b.at && a.order < b.order)
		}, func(*occurrence, int) {}),
		result: Result{
			Attainment: make(map[int]float64), Completed: make(map[int]int), Arrived: make(map[int]int),
			Refused: make(map[int]int), Teams: make(map[string]TeamResult),
		},
	}
	for i := range config.Endpoints {
		id := fmt.Sprintf("e%03d", i)
		r.engines[id] = &engine{id: id, factor: 1, cache: make(map[uint64]bool)}
		r.list = append(r.list, entity.Endpoint{ID: id, Backend: "pool", Incarnation: "1"})
	}
	cells := config.Daemons
	if config.Policy == Brokered {
		cells = 1
	}
	for i := range cells {
		c := cell.New(r.cellConfig(), rand.New(rand.NewPCG(config.Seed, uint64(i))))
		c.SetEndpoints(0, r.list, func(entity.Endpoint) int { return config.Slots })
		r.cells = append(r.cells, c)
	}
	for i, factor := range config.Slow {
		r.at(config.SlowFrom, func() { r.engines[r.list[i].ID].factor = factor })
	}
	return r
}

func (r *run) cellConfig() cell.Config {
	made := cell.Config{EntryTimeout: -1}
	made.Queue.Share = r.config.Share
	switch r.config.Policy {
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

func (r *run) at(when clock.Millis, do func()) {
	r.order++
	r.events.Push(&occurrence{at: when, order: r.order, run: do})
}

func (r *run) every(period clock.Millis, do func()) {
	r.at(r.now+period, func() {
		do()
		r.every(period, do)
	})
}

// hop is the time from a daemon to the one that decides.
func (r *run) hop() clock.Millis {
	if r.config.Policy == Brokered {
		return r.config.Hop
	}
	return 0
}

func (r *run) arrive(id string, a Arrival) {
	t := &task{arrival: a, id: id}
	if r.config.Policy != Brokered {
		t.cell = a.Daemon
	}
	r.tasks[id] = t
	r.result.Arrived[a.Tier]++
	team := r.result.Teams[a.Team]
	team.Demand += cost(a.Prompt, a.Output)
	r.result.Teams[a.Team] = team
	r.at(r.now+r.hop(), func() { r.ask(t) })
}

func (r *run) ask(t *task) {
	a := &t.arrival
	r.apply(t.cell, r.cells[t.cell].Submit(r.now, cell.RunRequest{
		ID: t.id, Entry: fmt.Sprint("d", a.Daemon), Team: a.Team, Class: fmt.Sprint("tier", a.Tier), Tier: a.Tier,
		Weight: max(a.Weight, 1), PromptTokens: a.Prompt + t.done, Digests: a.Digests, Waited: r.now - a.At,
		Target: a.Target, MaxWait: a.MaxWait, RefuseEarly: a.Early, Repeatable: true, Resumed: t.resumed, Preemptions: t.preempted,
	}))
}

// apply carries out the decisions of a cell.
func (r *run) apply(index int, actions []cell.Action) {
	for _, action := range slices.Clone(actions) {
		if r.config.Watch != nil {
			r.config.Watch(r.now, r.cells[index], action)
		}
		t := r.tasks[action.ID]
		switch action.Kind {
		case cell.Grant:
			r.at(r.now+r.hop(), func() { r.send(t, r.engines[action.Endpoint], action.Priority) })
		case cell.Refuse:
			r.result.Refused[t.arrival.Tier]++
			r.end(t)
		case cell.Preempt:
			r.at(r.now+r.hop(), func() { r.preempt(t, action.Reason) })
		}
	}
}

func (r *run) send(t *task, e *engine, priority int) {
	r.sentAll++
	if e.factor > 1 {
		r.sentOn++
	}
	t.engine = e
	t.epoch++
	if e.running < r.config.Slots {
		r.start(t)
		return
	}
	at := len(e.queue)
	for at > 0 && r.config.Policy != RoundRobin && r.config.Policy != LeastOutstanding && e.queue[at-1].arrival.Tier > priority {
		at--
	}
	e.queue = slices.Insert(e.queue, at, t)
}

func (r *run) start(t *task) {
	e := t.engine
	e.running++
	t.began = r.now
	cached := 0
	for i, digest := range t.arrival.Digests {
		if e.cache[digest] {
			cached = (i + 1) * 64
		}
		e.cache[digest] = true
	}
	uncached := max(0, t.arrival.Prompt+t.done-cached)
	prefill := clock.Millis(float64(uncached) / r.config.Prefill * e.factor)
	epoch := t.epoch
	r.at(r.now+prefill+r.perToken(e), func() { r.token(t, epoch) })
}

func (r *run) perToken(e *engine) clock.Millis {
	return clock.Millis(float64(r.config.PerToken) * e.factor)
}

// tokensAtOnce is how many tokens one step of a stream stands for.
const tokensAtOnce = 5

// token is called when the next tokens of a request came.
func (r *run) token(t *task, epoch int) {
	if t.epoch != epoch || t.engine == nil {
		return
	}
	step := min(tokensAtOnce, t.arrival.Output-t.done)
	if t.done == 0 {
		step = 1
		t.first = r.now - t.arrival.At
		if t.first <= t.arrival.Target {
			r.met[t.arrival.Tier]++
		}
	}
	t.done += step
	r.tokens += float64(step)
	r.serve(t, step)
	r.cells[t.cell].RecordTokens(r.now, t.id, step)
	if t.done >= t.arrival.Output {
		r.complete(t)
		return
	}
	next := min(tokensAtOnce, t.arrival.Output-t.done)
	r.at(r.now+r.perToken(t.engine)*clock.Millis(next), func() { r.token(t, epoch) })
}

func (r *run) serve(t *task, tokens int) {
	if r.config.Until > 0 && r.now > r.config.Until {
		return
	}
	team := r.result.Teams[t.arrival.Team]
	prompt := 0
	if t.done == tokens {
		prompt = t.arrival.Prompt
	}
	team.Served += cost(prompt, tokens)
	r.result.Teams[t.arrival.Team] = team
	if t.first <= t.arrival.Target {
		r.good += float64(tokens)
	}
}

func (r *run) complete(t *task) {
	r.result.Completed[t.arrival.Tier]++
	r.leaveEngine(t)
	r.at(r.now+r.hop(), func() {
		r.apply(t.cell, r.cells[t.cell].Release(r.now, t.id, cell.Outcome{
			OutputTokens: t.done, TimeToFirstToken: t.first, PromptTokens: t.arrival.Prompt,
		}))
	})
	r.end(t)
}

func (r *run) end(*task) {
	r.left--
}

func (r *run) leaveEngine(t *task) {
	e := t.engine
	t.engine = nil
	t.epoch++
	if at := slices.Index(e.queue, t); at >= 0 {
		e.queue = slices.Delete(e.queue, at, at+1)
		return
	}
	e.running--
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		r.start(next)
	}
}

func (r *run) preempt(t *task, reason cell.Reason) {
	if t.engine == nil {
		return
	}
	r.result.Preempted++
	r.leaveEngine(t)
	t.resumed = true
	if reason == cell.HigherTier {
		t.preempted++
	}
	r.at(r.now+r.hop(), func() {
		r.apply(t.cell, r.cells[t.cell].Release(r.now, t.id, cell.Outcome{Preempted: true}))
		r.ask(t)
	})
}

func (r *run) tick() {
	for i, c := range r.cells {
		r.apply(i, c.Tick(r.now))
	}
}

// report sends the load reports, which arrive after the lag.
func (r *run) report() {
	for _, endpoint := range r.list {
		e := r.engines[endpoint.ID]
		load := place.LoadReport{
			Endpoint: e.id, Incarnation: "1", Running: e.running, Waiting: len(e.queue),
			Slots: r.config.Slots, Sequence: uint64(r.now),
		}
		r.at(r.now+r.config.Lag, func() {
			for i, c := range r.cells {
				r.apply(i, c.ReportLoad(r.now, load))
			}
		})
	}
}

func (r *run) finish() Result {
	for tier, arrived := range r.result.Arrived {
		r.result.Attainment[tier] = float64(r.met[tier]) / float64(arrived)
	}
	span := r.now
	if r.config.Until > 0 {
		span = min(span, r.config.Until)
	}
	r.result.Goodput = r.good / span.Seconds()
	r.result.OnSlow = float64(r.sentOn) / float64(max(r.sentAll, 1))
	weights := make(map[string]float64)
	for _, t := range r.tasks {
		weights[t.arrival.Team] = float64(max(t.arrival.Weight, 1))
	}
	r.result.WorstServed, r.result.JainIndex = Fairness(r.result.Teams, weights)
	return r.result
}

// Fairness fills in what each team deserved and returns the least part of it
// that any team got, and Jain's index over these parts. Deserved is the
// weighted max-min fair division of all that was served, bounded by what each
// team asked for.
func Fairness(teams map[string]TeamResult, weights map[string]float64) (worst, jain float64) {
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
	worst = math.Inf(1)
	sum, squares, n := 0.0, 0.0, 0.0
	for _, team := range teams {
		if team.FairShare <= 0 {
			continue
		}
		part := team.Served / team.FairShare
		worst = min(worst, part)
		sum += part
		squares += part * part
		n++
	}
	if n == 0 || squares == 0 {
		return 0, 0
	}
	return worst, sum * sum / (n * squares)
}
