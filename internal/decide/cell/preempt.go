package cell

import (
	"github.com/banyanshift/banyanshift/coord/clock"
)

// preempt takes slots back from lower tiers when the first waiting request
// would otherwise wait for more than half of its target time. It preempts only
// repeatable requests, only of classes that run more than their guarantee, and
// only a bounded share of the slots at a time.
func (c *Cell) preempt(now clock.Millis) {
	if c.config.PassThrough || c.config.NoPreemption || c.holding(now) {
		return
	}
	maxPreempting := max(1, int(c.config.PreemptShare*float64(c.slots)))
	for c.preempting < maxPreempting && c.placer.FreeSlots() == 0 {
		item := c.queue.HighestWaiting()
		if item == nil || !c.needsPreemption(now, c.jobs[item.ID]) {
			return
		}
		victim := c.victim(item.Tier)
		if victim == nil || c.queue.WaitingAbove(victim.request.Tier) <= c.preempting {
			return
		}
		c.preemptJob(victim, HigherTier)
	}
}

// needsPreemption reports whether a request would wait for more than half of its
// target time until a slot becomes free without preemption.
func (c *Cell) needsPreemption(now clock.Millis, j *job) bool {
	if j == nil || j.request.Target <= 0 {
		return false
	}
	untilNextFree := c.meanServiceTime / float64(max(c.slots, 1))
	waited := float64(now - j.arrived)
	return waited+untilNextFree > float64(j.request.Target)/2
}

// victim returns the running request to preempt for a tier: the one of the
// lowest tier that was granted last, since it loses the least work.
func (c *Cell) victim(tier int) *job {
	for n := len(c.running) - 1; n > tier; n-- {
		var chosen *job
		for _, j := range c.running[n] {
			if !c.mayPreempt(j) {
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

func (c *Cell) mayPreempt(j *job) bool {
	return j.request.Repeatable && j.preemptReason == "" &&
		j.request.Preemptions < c.config.MaxPreemptions &&
		c.queue.ExceedsGuarantee(j.request.Class)
}

func (c *Cell) preemptJob(j *job, reason Reason) {
	j.preemptReason = reason
	c.preempting++
	c.actions = append(c.actions, Action{
		Kind: Preempt, Entry: j.request.Entry, ID: j.request.ID, Endpoint: j.endpoint, Reason: reason,
	})
}

// preemptEndpoint preempts the repeatable requests of an endpoint, so that they
// run on another one.
func (c *Cell) preemptEndpoint(endpoint string, reason Reason) {
	for _, tier := range c.running {
		for _, j := range tier {
			if j.endpoint == endpoint && j.request.Repeatable && j.preemptReason == "" {
				c.preemptJob(j, reason)
			}
		}
	}
}

// preemptLeaving preempts the repeatable requests of endpoints that will be
// reclaimed soon. Requests on an endpoint that drains without a reclaim notice
// finish there.
func (c *Cell) preemptLeaving() {
	for _, tier := range c.running {
		for _, j := range tier {
			endpoint, known := c.placer.Endpoint(j.endpoint)
			soon := known && endpoint.Leaving && endpoint.ReclaimIn > 0 && endpoint.ReclaimIn <= c.config.ReclaimNotice
			if soon && j.request.Repeatable && j.preemptReason == "" {
				c.preemptJob(j, Leaving)
			}
		}
	}
}

// stallTimeout is how long a running request may generate no token before this
// counts against its endpoint.
const stallTimeout = 2 * clock.Second

// reportStalled reports requests that have stopped generating tokens to the
// placer.
func (c *Cell) reportStalled(now clock.Millis) {
	for _, tier := range c.running {
		for _, j := range tier {
			if now-j.progressed >= stallTimeout && j.tokens > 0 {
				c.placer.RecordTokens(j.endpoint, 0, now-j.progressed)
			}
		}
	}
}
