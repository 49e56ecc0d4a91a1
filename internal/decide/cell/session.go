package cell

import (
	"github.com/banyanshift/banyanshift/coord/clock"
)

// TeamTier names a team's counter in a tier.
type TeamTier struct {
	Team string
	Tier int
}

// HoldGrants makes a new broker wait before its first grant until all entries have
// announced what waits and runs, but not beyond the given time.
func (c *Cell) HoldGrants(until clock.Millis, entries []string) {
	c.holdUntil = until
	c.awaited = make(map[string]bool, len(entries))
	for _, entry := range entries {
		c.awaited[entry] = true
	}
}

// holding reports whether grants are held back.
func (c *Cell) holding(now clock.Millis) bool {
	return len(c.awaited) > 0 && now < c.holdUntil
}

// Announce takes in everything that an entry has waiting and running. What the
// cell held of that entry and is not named has ended.
func (c *Cell) Announce(now clock.Millis, entry string, waiting []RunRequest, running []Running) []Action {
	c.begin()
	c.heard(now, entry)
	delete(c.awaited, entry)
	named := make(map[string]bool, len(waiting)+len(running))
	for i := range running {
		named[running[i].ID] = true
		c.adopt(now, entry, running[i])
	}
	for i := range waiting {
		named[waiting[i].ID] = true
	}
	for id, j := range c.sessions[entry].jobs {
		if !named[id] {
			c.end(now, j, Outcome{Preempted: true})
		}
	}
	for i := range waiting {
		waiting[i].Entry = entry
		c.ask(now, waiting[i])
	}
	c.pump(now)
	c.preempt(now)
	return c.actions
}

// adopt counts a request as running that another broker granted.
func (c *Cell) adopt(now clock.Millis, entry string, running Running) {
	if known, exists := c.jobs[running.ID]; exists {
		if known.endpoint == running.Endpoint {
			return
		}
		c.end(now, known, Outcome{Preempted: true})
	}
	running.Entry = entry
	j := &job{
		ask:        running.RunRequest,
		arrived:    now - running.Waited,
		endpoint:   running.Endpoint,
		granted:    now - running.Elapsed,
		progressed: now,
		tokens:     running.Tokens,
	}
	c.jobs[running.ID] = j
	c.sessions[entry].jobs[running.ID] = j
	c.queue.RecordStart(now, running.Class, running.Tier)
	c.placer.RecordDispatch(now, running.Endpoint, running.ID, 0, running.Digests)
	c.addRunning(j)
}

// MarkAlive notes that an entry is alive.
func (c *Cell) MarkAlive(now clock.Millis, entry string) {
	c.heard(now, entry)
}

// RemoveEntry drops everything that an entry announced.
func (c *Cell) RemoveEntry(now clock.Millis, entry string) []Action {
	c.begin()
	c.drop(now, entry)
	c.pump(now)
	return c.actions
}

func (c *Cell) heard(now clock.Millis, entry string) {
	s, known := c.sessions[entry]
	if !known {
		s = &session{jobs: make(map[string]*job)}
		c.sessions[entry] = s
	}
	s.heard = now
}

func (c *Cell) drop(now clock.Millis, entry string) {
	s, known := c.sessions[entry]
	if !known {
		return
	}
	for _, j := range s.jobs {
		c.end(now, j, Outcome{Preempted: true})
	}
	delete(c.sessions, entry)
	delete(c.awaited, entry)
}

// dropSilent drops the entries that have not been heard of for too long.
func (c *Cell) dropSilent(now clock.Millis) {
	if c.config.EntryTimeout < 0 {
		return
	}
	for entry, s := range c.sessions {
		if now-s.heard > c.config.EntryTimeout {
			c.drop(now, entry)
		}
	}
}

// HasEntry reports whether the entry has announced itself.
func (c *Cell) HasEntry(entry string) bool {
	_, known := c.sessions[entry]
	return known
}

// EntryCount returns how many entries the cell knows.
func (c *Cell) EntryCount() int {
	return len(c.sessions)
}

func (c *Cell) noteCharge(j *job, cost float64) {
	if !c.config.ShareCharges {
		return
	}
	c.charges[TeamTier{Team: j.ask.Team, Tier: j.ask.Tier}] += cost
}

// TakeCharges returns what each team was charged since the last call, for the
// other cells of the pool.
func (c *Cell) TakeCharges() map[TeamTier]float64 {
	taken := c.charges
	c.charges = make(map[TeamTier]float64, len(taken))
	return taken
}

// AddCharges charges teams for what they were given by other cells.
func (c *Cell) AddCharges(charges map[TeamTier]float64) {
	for key, cost := range charges {
		c.queue.ChargeCost(key.Tier, key.Team, cost)
	}
}

// ExpectedWait predicts how long a new request of the tier and team would wait.
func (c *Cell) ExpectedWait(tier int, team string, weight int) clock.Millis {
	needed := c.queue.EstimateAhead(tier, team, weight) + 1 - float64(c.placer.FreeSlots())
	if needed <= 0 || c.slots == 0 {
		return 0
	}
	return clock.Millis(needed * c.turnover / float64(c.slots))
}
