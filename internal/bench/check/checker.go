package check

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/rig"
	"github.com/banyanshift/banyanshift/internal/bench/verdict"
	"github.com/banyanshift/banyanshift/internal/standin/load"
	"github.com/banyanshift/banyanshift/internal/standin/platform"
)

// checker brings about the failures of one run.
type checker struct {
	opts *Options
	rig  *rig.Rig
	run  *rig.Run

	mu sync.Mutex
	// busy holds the daemons that a failure has taken.
	busy map[string]bool
	// platform holds what each failure does to the platform's services.
	platform map[platform.Service]map[*strike]platform.Fault
	number   int
	wg       sync.WaitGroup
	started  clock.Millis
}

// check sends the load under the schedule and judges the run.
func (c *checker) check(ctx context.Context) (verdict.Report, error) {
	c.busy = make(map[string]bool)
	c.platform = make(map[platform.Service]map[*strike]platform.Fault)
	c.started = c.rig.Clock.Now()
	duration := clock.FromDuration(c.opts.Duration)
	sending, stop := context.WithTimeout(ctx, c.opts.Duration)
	defer stop()
	var faults []fault
	for _, name := range c.opts.Faults {
		f, _ := faultNamed(name)
		faults = append(faults, f)
	}
	for _, e := range plan(c.opts.Seed, faults, duration) {
		c.wg.Add(1)
		go c.runEvent(ctx, e)
	}
	c.wg.Add(1)
	go c.loop(sending)
	c.run.SendLoad(sending)
	c.wg.Wait()
	if err := ctx.Err(); err != nil {
		return verdict.Report{}, err
	}
	c.progress("the load has ended; waiting for the usage reports")
	return c.run.Evaluate(ctx)
}

func (c *checker) progress(format string, args ...any) {
	at := c.rig.Clock.Now() - c.started
	c.opts.progress("%8s  "+format, append([]any{at}, args...)...)
}

// runEvent waits for the time of a failure, brings it about and takes it back.
func (c *checker) runEvent(ctx context.Context, e event) {
	defer c.wg.Done()
	if c.rig.Clock.Sleep(ctx, c.started+e.At-c.rig.Clock.Now()) != nil {
		return
	}
	s := &strike{checker: c, random: rand.New(rand.NewPCG(e.Seed, 7)), length: e.Length, name: e.Fault.name}
	s.say("for %s", e.Length)
	if err := e.Fault.act(ctx, s); err != nil && ctx.Err() == nil {
		s.say("failed: %v", err)
	}
}

// changeEvery is how often the watched setting is changed.
const changeEvery = 5 * clock.Second

// loop changes the watched setting now and then and shows progress.
func (c *checker) loop(ctx context.Context) {
	defer c.wg.Done()
	random := rand.New(rand.NewPCG(c.opts.Seed, 8))
	for {
		if d := c.pick(random, false); d != nil {
			if err := c.run.Prober.PutNextVersion(ctx, d); err != nil && ctx.Err() == nil {
				c.progress("change through %s: %v", d.ID, err)
			}
		}
		if c.rig.Clock.Sleep(ctx, changeEvery) != nil {
			return
		}
		progress := c.run.Load.Progress()
		c.progress("%d calls sent, %d open, %d daemons ready", progress.Sent, progress.InFlight, c.rig.Balancer.ReadyCount())
	}
}

// pick returns a daemon that no failure has taken, and takes it if asked to;
// nil when too few are left.
func (c *checker) pick(random *rand.Rand, take bool) *rig.Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	var free []*rig.Daemon
	for _, d := range c.rig.ActiveDaemons() {
		if !c.busy[d.ID] && d.Process.Running() {
			free = append(free, d)
		}
	}
	const leastFree = 2
	if len(free) == 0 || (take && len(free) <= leastFree) {
		return nil
	}
	d := free[random.IntN(len(free))]
	if take {
		c.busy[d.ID] = true
	}
	return d
}

// take takes a certain daemon, unless a failure has it already.
func (c *checker) take(d *rig.Daemon) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[d.ID] {
		return false
	}
	c.busy[d.ID] = true
	return true
}

func (c *checker) release(d *rig.Daemon) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, d.ID)
}

// record changes the input of the judgement.
func (c *checker) record(change func(in *verdict.Input)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.run.Input)
}

func (c *checker) next() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	return c.number
}

// strike is one failure that is being brought about.
type strike struct {
	*checker
	name   string
	random *rand.Rand
	length clock.Millis
}

func (s *strike) say(format string, args ...any) {
	s.progress("%s: "+format, append([]any{s.name}, args...)...)
}

// hold waits for the length of the failure.
func (s *strike) hold(ctx context.Context) {
	_ = s.rig.Clock.Sleep(ctx, s.length)
}

func (s *strike) keysOf(team string) []load.Key {
	return s.rig.Keys.Active(team)
}
