package cell

import (
	"github.com/banyanshift/banyanshift/coord/clock"
)

// preempt takes slots back from lower tiers when the first waiting request
// would otherwise spend half of its target waiting. Only repeatable requests
// are taken, only from classes that run more than their guarantee, and only a
// bounded share of the slots at a time.
func (c *Cell) preempt(now clock.Millis) {
	if c.config.PassThrough || c.config.NoPreemption || c.holding(now) {
		return
	}
	bound := max(1, int(c.config.PreemptShare*float64(c.slots)))
	for c.preempting < bound && c.placer.FreeSlots() == 0 {
		item := c.queue.HighestWaiting()
		if item == nil || !c.pressing(now, c.jobs[item.ID]) {
			return
		}
		victim := c.victim(item.Tier)
		if victim == nil || c.queue.WaitingAbove(victim.ask.Tier) <= c.preempting {
			return
		}
		c.takeBack(victim, HigherTier)
	}
}

// pressing reports whether the request would spend half of its target waiting
// for a slot to become free by itself.
func (c *Cell) pressing(now clock.Millis, j *job) bool {
	if j == nil || j.ask.Target <= 0 {
		return false
	}
	next := c.turnover / float64(max(c.slots, 1))
	waited := float64(now - j.arrived)
	return waited+next > float64(j.ask.Target)/2
}

// victim is the running request that is taken back for a tier: of the lowest
// tier, the one that was granted last, since it loses least.
func (c *Cell) victim(tier int) *job {
	for n := len(c.running) - 1; n > tier; n-- {
		var chosen *job
		for _, j := range c.running[n] {
			if !c.mayTakeBack(j) {
				continue
			}
			if chosen == nil || j.granted > chosen.granted {
				chosen = j
			}
		}
		if chosen != nil {
			return chosen
		}
	}
	return nil
}

func (c *Cell) mayTakeBack(j *job) bool {
	return j.ask.Repeatable && j.preempting == "" &&
		j.ask.Preemptions < c.config.MaxPreemptions &&
		c.queue.ExceedsGuarantee(j.ask.Class)
}

func (c *Cell) takeBack(j *job, reason Reason) {
	j.preempting = reason
	c.preempting++
	c.actions = append(c.actions, Action{
		Kind: Preempt, Entry: j.ask.Entry, ID: j.ask.ID, Endpoint: j.endpoint, Reason: reason,
	})
}

// move takes back the repeatable requests of an endpoint, so that they go on
// elsewhere.
func (c *Cell) move(endpoint string, reason Reason) {
	for _, tier := range c.running {
		for _, j := range tier {
			if j.endpoint == endpoint && j.ask.Repeatable && j.preempting == "" {
				c.takeBack(j, reason)
			}
		}
	}
}

// moveLeaving moves work away from endpoints that will soon be gone. Work on
// an endpoint that is drained without such notice ends where it is.
func (c *Cell) moveLeaving() {
	for _, tier := range c.running {
		for _, j := range tier {
			endpoint, known := c.placer.Endpoint(j.endpoint)
			soon := known && endpoint.Leaving && endpoint.ReclaimIn > 0 && endpoint.ReclaimIn <= c.config.ReclaimNotice
			if soon && j.ask.Repeatable && j.preempting == "" {
				c.takeBack(j, Leaving)
			}
		}
	}
}

// silentAfter is how long a running request may show no token before that
// counts against its endpoint.
const silentAfter = 2 * clock.Second

// observeSilence tells the placer of requests that generate nothing.
func (c *Cell) observeSilence(now clock.Millis) {
	for _, tier := range c.running {
		for _, j := range tier {
			if now-j.progressed >= silentAfter && j.tokens > 0 {
				c.placer.RecordTokens(j.endpoint, 0, now-j.progressed)
			}
		}
	}
}
