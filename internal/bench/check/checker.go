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

// checker injects the failures of one run.
type checker struct {
	opts *Options
	rig  *rig.Rig
	run  *rig.Run

	mu sync.Mutex
	// reserved holds the IDs of the daemons that a failure is using.
	reserved map[string]bool
	// platformFaults holds the fault that each injection has set on each of the
	// platform's services.
	platformFaults map[platform.Service]map[*injection]platform.Fault
	lastNumber     int
	wg             sync.WaitGroup
	started        clock.Millis
}

// check sends the load, injects the scheduled failures and judges the run.
func (c *checker) check(ctx context.Context) (verdict.Report, error) {
	c.reserved = make(map[string]bool)
	c.platformFaults = make(map[platform.Service]map[*injection]platform.Fault)
	c.started = c.rig.Clock.Now()
	duration := clock.FromDuration(c.opts.Duration)
	sending, stop := context.WithTimeout(ctx, c.opts.Duration)
	defer stop()
	var faults []fault
	for _, name := range c.opts.Faults {
		f, _ := faultByName(name)
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

// runEvent sleeps until the time of a failure, injects it and reverts it.
func (c *checker) runEvent(ctx context.Context, e event) {
	defer c.wg.Done()
	if c.rig.Clock.Sleep(ctx, c.started+e.At-c.rig.Clock.Now()) != nil {
		return
	}
	s := &injection{checker: c, random: rand.New(rand.NewPCG(e.Seed, 7)), length: e.Length, name: e.Fault.name}
	s.logf("for %s", e.Length)
	if err := e.Fault.inject(ctx, s); err != nil && ctx.Err() == nil {
		s.logf("failed: %v", err)
	}
}

// changeInterval is how often the watched setting is changed.
const changeInterval = 5 * clock.Second

// loop periodically changes the watched setting and shows progress.
func (c *checker) loop(ctx context.Context) {
	defer c.wg.Done()
	random := rand.New(rand.NewPCG(c.opts.Seed, 8))
	for {
		if d := c.pick(random, false); d != nil {
			if err := c.run.Prober.PutNextVersion(ctx, d); err != nil && ctx.Err() == nil {
				c.progress("change through %s: %v", d.ID, err)
			}
		}
		if c.rig.Clock.Sleep(ctx, changeInterval) != nil {
			return
		}
		progress := c.run.Load.Progress()
		c.progress("%d calls sent, %d open, %d daemons ready", progress.Sent, progress.InFlight, c.rig.Balancer.ReadyCount())
	}
}

// pick returns a running daemon that is not reserved, and reserves it if
// reserve is set; nil when too few are left.
func (c *checker) pick(random *rand.Rand, reserve bool) *rig.Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	var free []*rig.Daemon
	for _, d := range c.rig.ActiveDaemons() {
		if !c.reserved[d.ID] && d.Process.Running() {
			free = append(free, d)
		}
	}
	const minFree = 2
	if len(free) == 0 || (reserve && len(free) <= minFree) {
		return nil
	}
	d := free[random.IntN(len(free))]
	if reserve {
		c.reserved[d.ID] = true
	}
	return d
}

// reserve reserves d for a failure. It reports false if d is already reserved.
func (c *checker) reserve(d *rig.Daemon) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reserved[d.ID] {
		return false
	}
	c.reserved[d.ID] = true
	return true
}

func (c *checker) release(d *rig.Daemon) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.reserved, d.ID)
}

// updateInput changes the input of the verdict under the lock.
func (c *checker) updateInput(change func(in *verdict.Input)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.run.Input)
}

func (c *checker) nextNumber() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	return c.lastNumber
}

// injection is one failure in progress.
type injection struct {
	*checker
	name   string
	random *rand.Rand
	length clock.Millis
}

func (s *injection) logf(format string, args ...any) {
	s.progress("%s: "+format, append([]any{s.name}, args...)...)
}

// wait sleeps for the length of the failure.
func (s *injection) wait(ctx context.Context) {
	_ = s.rig.Clock.Sleep(ctx, s.length)
}

func (s *injection) activeKeys(team string) []load.Key {
	return s.rig.Keys.Active(team)
}
