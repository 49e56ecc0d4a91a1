// Package queue decides in which order waiting requests run: by tier, with a
// guaranteed share of the slots for each class, and within a tier by the
// weighted virtual token counters of the teams.
//
// Each team has one counter for each tier. It grows by the cost of the tokens
// that the team used, divided by the team's weight. The team with the smallest
// counter goes next. Prompt tokens are charged when a request starts and output
// tokens as they are streamed, so that requests of unknown length are charged
// exactly what they use. The counter of a team that returns from idle is raised
// to the smallest counter of the waiting teams, so that it can't save up unused
// service.
//
// A class below the top tier earns credit, in slot-milliseconds, at the rate of
// its guaranteed share, and spends it while its requests run. A class that has
// credit and runs fewer requests than its share of the slots is due and goes
// before higher tiers. Its debt is bounded, so that a waiting class is due within
// a fixed time regardless of its earlier use. Guarantees only delay requests of
// higher tiers and never cause their refusal.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	q := queue.New(queue.Config{})
//	q.SetSlots(now, 72)
//	q.Push(now, &queue.Item{ID: "r1", Team: "coders", Class: "quick", ...})
//	for freeSlots > 0 {
//		item := q.Pop(now)
//		...
//	}
//	q.ChargeOutput(0, "coders", 25)
//	q.RecordFinish(now, "quick")
package queue

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/heap"
)

// Defaults of Config.
const (
	// DefaultInputCost is the cost of one prompt token.
	DefaultInputCost = 1
	// DefaultOutputCost is the cost of one generated token. It is higher because
	// engines process many prompt tokens at a time, but generate the tokens of an
	// answer one by one.
	DefaultOutputCost = 10
	// DefaultFloorShare is the guaranteed share of a class without a configured one.
	DefaultFloorShare = 0.02
	// DefaultShareLimit is the maximum sum of all guaranteed shares.
	DefaultShareLimit = 0.5
	// DefaultDueWithin is the time within which a waiting class pays off its debt.
	DefaultDueWithin = 5 * clock.Second
)

// Config holds the settings of a queue. Zero fields take the defaults.
type Config struct {
	InputCost  float64
	OutputCost float64
	FloorShare float64
	ShareLimit float64
	DueWithin  clock.Millis
	// Share returns the guaranteed share of a class, from 0 to 1. If Share is
	// nil, no class has a configured share.
	Share func(class string) float64
}

func (c Config) withDefaults() Config {
	if c.InputCost == 0 {
		c.InputCost = DefaultInputCost
	}
	if c.OutputCost == 0 {
		c.OutputCost = DefaultOutputCost
	}
	if c.FloorShare == 0 {
		c.FloorShare = DefaultFloorShare
	}
	if c.ShareLimit == 0 {
		c.ShareLimit = DefaultShareLimit
	}
	if c.DueWithin == 0 {
		c.DueWithin = DefaultDueWithin
	}
	if c.Share == nil {
		c.Share = func(string) float64 { return 0 }
	}
	return c
}

// Item is one waiting request.
type Item struct {
	ID    string
	Team  string
	Class string
	Tier  int
	// Weight is the team's weight, at least 1.
	Weight       int
	PromptTokens int
	// Expires is when the item stops waiting; 0 for never.
	Expires clock.Millis
	// Resumed requests have run before and go before the team's other items.
	Resumed bool

	flow        *flow
	next        *Item
	prev        *Item
	expiryIndex int
}

// Queued reports whether the item waits in a queue.
func (i *Item) Queued() bool {
	return i.flow != nil
}

// account is the virtual token counter of one team in one tier.
type account struct {
	team    string
	weight  float64
	counter float64
	waiting int
	flows   []*flow
}

// flow is the list of waiting items of one team in one class.
type flow struct {
	account *account
	class   *class
	head    *Item
	tail    *Item
	count   int
	// cost is the estimated cost of all waiting items.
	cost         float64
	counterIndex int
	finishIndex  int
}

// finishCounter returns the counter of the team after its waiting items are served.
func (f *flow) finishCounter() float64 {
	return f.account.counter + f.cost/f.account.weight
}

type class struct {
	name    string
	tier    *tier
	running int
	waiting int
	// credit is the service owed to the class, in slot-milliseconds.
	credit float64
	share  float64
	// byCounter has the flow with the smallest counter first.
	byCounter *heap.Heap[*flow]
	// byFinish has the flow that finishes last first.
	byFinish *heap.Heap[*flow]
}

type tier struct {
	number   int
	accounts map[string]*account
	classes  []*class
	waiting  int
	// weight is the sum of the weights of the teams with waiting items.
	weight float64
	// maxServedCounter is the largest counter of a team at the time it was served.
	maxServedCounter float64
}

// Queue holds the waiting requests of one cell.
type Queue struct {
	config         Config
	tiers          [entity.LowestTier + 1]*tier
	classes        map[string]*class
	classList      []*class
	expiry         *heap.Heap[*Item]
	slots          int
	waiting        int
	creditsUpdated clock.Millis
}

// New returns an empty queue.
func New(config Config) *Queue {
	q := &Queue{
		config:  config.withDefaults(),
		classes: make(map[string]*class),
		expiry: heap.New(
			func(a, b *Item) bool { return a.Expires < b.Expires },
			func(i *Item, index int) { i.expiryIndex = index },
		),
	}
	for n := range q.tiers {
		q.tiers[n] = &tier{number: n, accounts: make(map[string]*account)}
	}
	return q
}

// expectedOutput is the assumed number of output tokens of a waiting item. It
// serves to compare the waiting work of teams and is never charged.
const expectedOutput = 100

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	return q.waiting
}

// Waiting returns the number of waiting items of a tier.
func (q *Queue) Waiting(tierNumber int) int {
	return q.tiers[clampTier(tierNumber)].waiting
}

// WaitingAbove returns the number of waiting items of higher tiers.
func (q *Queue) WaitingAbove(tierNumber int) int {
	sum := 0
	for n := range clampTier(tierNumber) {
		sum += q.tiers[n].waiting
	}
	return sum
}

// WaitingBelow returns the number of waiting items of lower tiers.
func (q *Queue) WaitingBelow(tierNumber int) int {
	sum := 0
	for n := clampTier(tierNumber) + 1; n < len(q.tiers); n++ {
		sum += q.tiers[n].waiting
	}
	return sum
}

// Push adds an item.
func (q *Queue) Push(now clock.Millis, item *Item) {
	q.Advance(now)
	item.Tier = clampTier(item.Tier)
	item.Weight = max(item.Weight, 1)
	c := q.class(item.Class, item.Tier)
	f := q.flow(c, item)
	q.activate(c.tier, f.account, item.Weight)
	f.insert(item)
	f.cost += q.cost(item)
	q.addWaiting(f, 1)
	q.updateHeaps(f)
	item.expiryIndex = heap.None
	if item.Expires != 0 {
		q.expiry.Push(item)
	}
}

// Pop removes the item that runs next, counts it as running and returns it. It
// returns nil when nothing waits.
func (q *Queue) Pop(now clock.Millis) *Item {
	q.Advance(now)
	c := q.nextClass()
	if c == nil {
		return nil
	}
	f := c.byCounter.Peek()
	c.tier.maxServedCounter = max(c.tier.maxServedCounter, f.account.counter)
	item := f.head
	q.Remove(item)
	q.charge(f.account, q.config.InputCost*float64(item.PromptTokens))
	c.running++
	return item
}

// Remove removes an item from the queue. It does nothing if the item isn't queued.
func (q *Queue) Remove(item *Item) {
	f := item.flow
	if f == nil {
		return
	}
	f.unlink(item)
	f.cost = max(0, f.cost-q.cost(item))
	q.addWaiting(f, -1)
	q.updateHeaps(f)
	if item.expiryIndex != heap.None {
		q.expiry.Remove(item.expiryIndex)
	}
}

// PopExpired removes and returns one item whose time to wait is over, or nil.
func (q *Queue) PopExpired(now clock.Millis) *Item {
	if q.expiry.Len() == 0 || q.expiry.Peek().Expires > now {
		return nil
	}
	item := q.expiry.Peek()
	q.Remove(item)
	return item
}

// RecordStart counts a request as running that did not come from Pop, such as one
// that an earlier broker granted.
func (q *Queue) RecordStart(now clock.Millis, className string, tierNumber int) {
	q.Advance(now)
	q.class(className, clampTier(tierNumber)).running++
}

// RecordFinish counts a running request of the class as finished.
func (q *Queue) RecordFinish(now clock.Millis, className string) {
	q.Advance(now)
	if c, known := q.classes[className]; known && c.running > 0 {
		c.running--
	}
}

// Running returns the number of running requests of a class.
func (q *Queue) Running(className string) int {
	if c, known := q.classes[className]; known {
		return c.running
	}
	return 0
}

// ChargeOutput charges generated tokens to a team. A negative number corrects
// an earlier charge.
func (q *Queue) ChargeOutput(tierNumber int, team string, tokens int) {
	q.ChargeCost(tierNumber, team, q.config.OutputCost*float64(tokens))
}

// ChargeInput charges prompt tokens to a team in addition to those that Pop
// charged. A negative number corrects an earlier charge.
func (q *Queue) ChargeInput(tierNumber int, team string, tokens int) {
	q.ChargeCost(tierNumber, team, q.config.InputCost*float64(tokens))
}

// ChargeCost charges a cost to a team. It ignores unknown teams, which start with
// the start counter of the tier when their first item arrives.
func (q *Queue) ChargeCost(tierNumber int, team string, cost float64) {
	t := q.tiers[clampTier(tierNumber)]
	if a, known := t.accounts[team]; known {
		q.charge(a, cost)
	}
}

// Counter returns the team's counter in a tier, and whether it has one.
func (q *Queue) Counter(tierNumber int, team string) (counter float64, known bool) {
	a, known := q.tiers[clampTier(tierNumber)].accounts[team]
	if !known {
		return 0, false
	}
	return a.counter, true
}

// EstimateAhead estimates how many waiting requests run before a new one of the
// team: all those of higher tiers, and those of its own tier that fair sharing
// serves before the team's last one.
func (q *Queue) EstimateAhead(tierNumber int, team string, weight int) float64 {
	tierNumber = clampTier(tierNumber)
	t := q.tiers[tierNumber]
	above := float64(q.WaitingAbove(tierNumber))
	teamWaiting, totalWeight := 0.0, t.weight
	if a, known := t.accounts[team]; known && a.waiting > 0 {
		teamWaiting = float64(a.waiting)
	} else {
		totalWeight += float64(max(weight, 1))
	}
	turns := (teamWaiting + 1) * totalWeight / float64(max(weight, 1))
	return above + min(float64(t.waiting), turns-1)
}

func (q *Queue) cost(item *Item) float64 {
	return q.config.InputCost*float64(item.PromptTokens) + q.config.OutputCost*expectedOutput
}

func clampTier(n int) int {
	return min(max(n, 0), entity.LowestTier)
}
