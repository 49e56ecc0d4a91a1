package cell

import (
	"github.com/banyanshift/banyanshift/coord/clock"
)

// TeamTier identifies a team's counter in a tier.
type TeamTier struct {
	Team string
	Tier int
}

// HoldGrants delays the first grant of a new broker until all entries have
// announced their waiting and running requests, or until the given time.
func (c *Cell) HoldGrants(until clock.Millis, entries []string) {
	c.holdUntil = until
	c.awaitedEntries = make(map[string]bool, len(entries))
	for _, entry := range entries {
		c.awaitedEntries[entry] = true
	}
}

// holding reports whether grants are delayed.
func (c *Cell) holding(now clock.Millis) bool {
	return len(c.awaitedEntries) > 0 && now < c.holdUntil
}

// Announce replaces the state of an entry by its lists of waiting and running
// requests. Requests of the entry that are in neither list have ended.
func (c *Cell) Announce(now clock.Millis, entry string, waiting []RunRequest, running []Running) []Action {
	c.resetActions()
	c.touchSession(now, entry)
	delete(c.awaitedEntries, entry)
	listed := make(map[string]bool, len(waiting)+len(running))
	for i := range running {
		listed[running[i].ID] = true
		c.adopt(now, entry, running[i])
	}
	for i := range waiting {
		listed[waiting[i].ID] = true
	}
	for id, j := range c.sessions[entry].jobs {
		if !listed[id] {
			c.end(now, j, Outcome{Preempted: true})
		}
	}
	for i := range waiting {
		waiting[i].Entry = entry
		c.admitRequest(now, waiting[i])
	}
	c.grantWaiting(now)
	c.preempt(now)
	return c.actions
}

// adopt adds a running request that another broker granted.
func (c *Cell) adopt(now clock.Millis, entry string, running Running) {
	if known, exists := c.jobs[running.ID]; exists {
		if known.endpoint == running.Endpoint {
			return
		}
		c.end(now, known, Outcome{Preempted: true})
	}
	running.Entry = entry
	j := &job{
		request:    running.RunRequest,
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

// MarkAlive restarts the timeout of an entry.
func (c *Cell) MarkAlive(now clock.Millis, entry string) {
	c.touchSession(now, entry)
}

// RemoveEntry removes an entry and all of its requests.
func (c *Cell) RemoveEntry(now clock.Millis, entry string) []Action {
	c.resetActions()
	c.removeSession(now, entry)
	c.grantWaiting(now)
	return c.actions
}

func (c *Cell) touchSession(now clock.Millis, entry string) {
	s, known := c.sessions[entry]
	if !known {
		s = &session{jobs: make(map[string]*job)}
		c.sessions[entry] = s
	}
	s.lastSeen = now
}

func (c *Cell) removeSession(now clock.Millis, entry string) {
	s, known := c.sessions[entry]
	if !known {
		return
	}
	for _, j := range s.jobs {
		c.end(now, j, Outcome{Preempted: true})
	}
	delete(c.sessions, entry)
	delete(c.awaitedEntries, entry)
}

// removeSilentEntries removes the entries that have sent nothing for longer than
// EntryTimeout.
func (c *Cell) removeSilentEntries(now clock.Millis) {
	if c.config.EntryTimeout < 0 {
		return
	}
	for entry, s := range c.sessions {
		if now-s.lastSeen > c.config.EntryTimeout {
			c.removeSession(now, entry)
		}
	}
}

// HasEntry reports whether the cell has a session of the entry.
func (c *Cell) HasEntry(entry string) bool {
	_, known := c.sessions[entry]
	return known
}

// EntryCount returns the number of entries with a session.
func (c *Cell) EntryCount() int {
	return len(c.sessions)
}

func (c *Cell) recordCharge(j *job, cost float64) {
	if !c.config.ShareCharges {
		return
	}
	c.charges[TeamTier{Team: j.request.Team, Tier: j.request.Tier}] += cost
}

// TakeCharges returns the charges to each team since the last call, to be sent
// to the other cells of the pool.
func (c *Cell) TakeCharges() map[TeamTier]float64 {
	taken := c.charges
	c.charges = make(map[TeamTier]float64, len(taken))
	return taken
}

// AddCharges applies the charges that teams received in other cells.
func (c *Cell) AddCharges(charges map[TeamTier]float64) {
	for key, cost := range charges {
		c.queue.ChargeCost(key.Tier, key.Team, cost)
	}
}

// ExpectedWait estimates how long a new request of the tier and team would wait.
func (c *Cell) ExpectedWait(tier int, team string, weight int) clock.Millis {
	needed := c.queue.EstimateAhead(tier, team, weight) + 1 - float64(c.placer.FreeSlots())
	if needed <= 0 || c.slots == 0 {
		return 0
	}
	return clock.Millis(needed * c.meanServiceTime / float64(c.slots))
}
