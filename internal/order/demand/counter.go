// Package demand counts what the requests of all daemons of a region need, so
// that the holder of the region's lease can decide what to run.
//
// Each daemon counts its own requests, waiting and running, by back end and tier
// as they pass through the scheduler, and tells the holder every few seconds.
// The counts are advice: a report that is lost or late makes a decision later or
// less good, never unsafe.
//
// # Usage
//
//	counter := demand.NewCounter(clk)
//	scheduler := counter.Wrap(broker.Scheduler())
//
//	aggregator := demand.NewAggregator(clk)
//	demand.Register(link, aggregator)
//	sender := demand.NewSender(demand.SenderConfig{Link: l, Clock: clk, ID: "vm-3", Counter: counter, Aggregator: aggregator, Holder: holder, DaemonCount: size})
//	go sender.Run(ctx)
//
//	demands := aggregator.Demands()
package demand

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
)

// Line is the demand of one tier for one back end at one daemon.
type Line struct {
	Backend string
	Tier    int
	Running int
	Waiting int
	// ServiceTime is the mean time that a request ran lately; 0 when unknown.
	ServiceTime clock.Millis
}

type lineKey struct {
	backend string
	tier    int
}

type tally struct {
	running int
	waiting int
	// mean is the moving average of the service time, in milliseconds.
	mean float64
}

// meanWeight is the weight of the newest service time in the average.
const meanWeight = 0.05

// Counter counts the requests of one daemon.
type Counter struct {
	clock clock.Clock

	mu      sync.Mutex
	tallies map[lineKey]*tally
	granted map[*request.Grant]start
}

type start struct {
	key lineKey
	at  clock.Millis
}

// NewCounter returns a Counter of no requests.
func NewCounter(clk clock.Clock) *Counter {
	return &Counter{clock: clk, tallies: make(map[lineKey]*tally), granted: make(map[*request.Grant]start)}
}

// Wrap returns a scheduler that counts the requests which pass through s.
func (c *Counter) Wrap(s request.Scheduler) request.Scheduler {
	counted := s
	counted.Acquire = func(ctx context.Context, req *request.Request) (*request.Grant, error) {
		c.wait(req, 1)
		grant, err := s.Acquire(ctx, req)
		c.wait(req, -1)
		c.run(req, grant, err)
		return grant, err
	}
	counted.Reacquire = func(ctx context.Context, req *request.Request, exclude []string) (*request.Grant, error) {
		c.wait(req, 1)
		grant, err := s.Reacquire(ctx, req, exclude)
		c.wait(req, -1)
		c.run(req, grant, err)
		return grant, err
	}
	counted.Release = func(grant *request.Grant, outcome request.Outcome) {
		c.end(grant)
		s.Release(grant, outcome)
	}
	return counted
}

func (c *Counter) tally(key lineKey) *tally {
	t := c.tallies[key]
	if t == nil {
		t = &tally{}
		c.tallies[key] = t
	}
	return t
}

func keyOf(req *request.Request) lineKey {
	return lineKey{backend: req.Backend, tier: req.Tier}
}

func (c *Counter) wait(req *request.Request, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally(keyOf(req)).waiting += change
}

func (c *Counter) run(req *request.Request, grant *request.Grant, err error) {
	if err != nil || grant == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally(keyOf(req)).running++
	c.granted[grant] = start{key: keyOf(req), at: c.clock.Now()}
}

func (c *Counter) end(grant *request.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	begun, found := c.granted[grant]
	if !found {
		return
	}
	delete(c.granted, grant)
	t := c.tally(begun.key)
	t.running--
	took := float64(c.clock.Now() - begun.at)
	if t.mean == 0 {
		t.mean = took
		return
	}
	t.mean += meanWeight * (took - t.mean)
}

// Lines returns the counts of back ends and tiers that have requests, in order.
func (c *Counter) Lines() (lines []Line) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, t := range c.tallies {
		if t.running == 0 && t.waiting == 0 {
			continue
		}
		lines = append(lines, Line{
			Backend: key.backend, Tier: key.tier,
			Running: t.running, Waiting: t.waiting, ServiceTime: clock.Millis(t.mean),
		})
	}
	slices.SortFunc(lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.Tier, b.Tier))
	})
	return lines
}
