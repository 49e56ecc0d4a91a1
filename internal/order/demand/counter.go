// Package demand measures the demand of a region's requests, so that the holder
// of the region's lease can decide which endpoints to run.
//
// Each daemon counts its own waiting and running requests by back end and tier as
// they pass through the scheduler, and reports the counts to the holder every few
// seconds. The holder sums the reports. A report that is lost or late delays a
// decision or makes it less accurate, but never unsafe.
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
	// ServiceTime is the moving average of the time that requests run; 0 if
	// unknown.
	ServiceTime clock.Millis
}

type lineKey struct {
	backend string
	tier    int
}

type tally struct {
	running int
	waiting int
	// serviceTime is the moving average of the service time, in milliseconds.
	serviceTime float64
}

// newestWeight is the weight of the newest service time in the moving average.
const newestWeight = 0.05

// Counter counts the requests of one daemon.
type Counter struct {
	clock clock.Clock

	mu      sync.Mutex
	tallies map[lineKey]*tally
	granted map[*request.Grant]runningRequest
}

type runningRequest struct {
	key       lineKey
	startedAt clock.Millis
}

// NewCounter returns a Counter without requests.
func NewCounter(clk clock.Clock) *Counter {
	return &Counter{clock: clk, tallies: make(map[lineKey]*tally), granted: make(map[*request.Grant]runningRequest)}
}

// Wrap returns a scheduler that calls s and counts its requests.
func (c *Counter) Wrap(s request.Scheduler) request.Scheduler {
	counted := s
	counted.Acquire = func(ctx context.Context, req *request.Request) (*request.Grant, error) {
		c.addWaiting(req, 1)
		grant, err := s.Acquire(ctx, req)
		c.addWaiting(req, -1)
		c.countStart(req, grant, err)
		return grant, err
	}
	counted.Reacquire = func(ctx context.Context, req *request.Request, exclude []string) (*request.Grant, error) {
		c.addWaiting(req, 1)
		grant, err := s.Reacquire(ctx, req, exclude)
		c.addWaiting(req, -1)
		c.countStart(req, grant, err)
		return grant, err
	}
	counted.Release = func(grant *request.Grant, outcome request.Outcome) {
		c.countEnd(grant)
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

func (c *Counter) addWaiting(req *request.Request, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally(keyOf(req)).waiting += change
}

func (c *Counter) countStart(req *request.Request, grant *request.Grant, err error) {
	if err != nil || grant == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally(keyOf(req)).running++
	c.granted[grant] = runningRequest{key: keyOf(req), startedAt: c.clock.Now()}
}

func (c *Counter) countEnd(grant *request.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	started, found := c.granted[grant]
	if !found {
		return
	}
	delete(c.granted, grant)
	t := c.tally(started.key)
	t.running--
	duration := float64(c.clock.Now() - started.startedAt)
	if t.serviceTime == 0 {
		t.serviceTime = duration
		return
	}
	t.serviceTime += newestWeight * (duration - t.serviceTime)
}

// Lines returns the counts of the back ends and tiers that have requests, sorted
// by back end and tier.
func (c *Counter) Lines() (lines []Line) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, t := range c.tallies {
		if t.running == 0 && t.waiting == 0 {
			continue
		}
		lines = append(lines, Line{
			Backend: key.backend, Tier: key.tier,
			Running: t.running, Waiting: t.waiting, ServiceTime: clock.Millis(t.serviceTime),
		})
	}
	slices.SortFunc(lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.Tier, b.Tier))
	})
	return lines
}
