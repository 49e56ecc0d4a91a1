package broker

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/decide/cell"
)

// brokerSession is the state that this daemon keeps about the broker of a cell.
type brokerSession struct {
	key    CellKey
	broker member.Member
	// epoch is the epoch of the broker's host that accepted the last
	// announcement.
	epoch uint64
	// needsAnnounce is set when the next batch must be a full announcement.
	needsAnnounce bool
	// brokerDown is set while the broker does not answer and this daemon
	// schedules locally.
	brokerDown   bool
	queuedEvents []entryEvent
	lastSentAt   clock.Millis
	// rejoin limits when a broker that is down is used again.
	rejoin rejoinBackoff
}

const (
	// A broker that stopped answering is not used again for at least
	// minRejoinDelay. The delay doubles up to maxRejoinDelay with each failure
	// within rejoinResetAfter of the broker's return, and is reset otherwise.
	minRejoinDelay   = 200 * clock.Millisecond
	maxRejoinDelay   = 5 * clock.Second
	rejoinResetAfter = 3 * clock.Second
)

// rejoinBackoff keeps a daemon from alternating between a broker that answers
// only intermittently and local scheduling.
type rejoinBackoff struct {
	delay      clock.Millis
	notBefore  clock.Millis
	rejoinedAt clock.Millis
}

// recordLoss sets the delay after the broker stopped answering.
func (t *rejoinBackoff) recordLoss(now clock.Millis) {
	if t.delay == 0 || now-t.rejoinedAt >= rejoinResetAfter {
		t.delay = minRejoinDelay
	} else {
		t.delay = min(2*t.delay, maxRejoinDelay)
	}
	t.notBefore = now + t.delay
}

// tryRejoin reports whether the broker may be used again after an answer at
// time now, and records the return if so.
func (t *rejoinBackoff) tryRejoin(now clock.Millis) bool {
	if now < t.notBefore {
		return false
	}
	t.rejoinedAt = now
	return true
}

// maxQueuedEvents limits the events queued for a broker. When it is reached,
// they are replaced by a full announcement.
const maxQueuedEvents = 10_000

// enqueue queues an event for the broker of a cell. While a full announcement
// is pending, only leave and progress events are queued; the announcement covers
// the others.
func (b *Broker) enqueue(s *brokerSession, e entryEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.needsAnnounce && e.Kind != eventLeave && e.Kind != eventProgress {
		b.peerLocked(s.broker.ID, s.broker.Address).wakeEvents()
		return
	}
	if len(s.queuedEvents) >= maxQueuedEvents {
		s.queuedEvents, s.needsAnnounce = nil, true
	}
	s.queuedEvents = append(s.queuedEvents, e)
	b.peerLocked(s.broker.ID, s.broker.Address).wakeEvents()
}

// snapshot returns all waiting and running requests of this daemon in a cell.
// b.mu must be held.
func (b *Broker) snapshot(key CellKey) (waiting []cell.RunRequest, running []cell.Running) {
	now := b.deps.Clock.Now()
	for _, a := range b.attempts {
		switch {
		case a.key != key:
		case a.grant == nil:
			waiting = append(waiting, a.currentRunRequest(now))
		default:
			a.unreportedTokens = 0
			running = append(running, cell.Running{
				RunRequest: a.currentRunRequest(now),
				Endpoint:   a.grant.Endpoint.ID,
				Tokens:     a.tokens,
				Elapsed:    now - a.grantedAt,
			})
		}
	}
	return waiting, running
}

// announceTo announces all requests of this daemon in a cell to a host in the
// same daemon.
func (b *Broker) announceTo(h *cellHost) {
	h.apply(func(c *cell.Cell, now clock.Millis) []cell.Action {
		b.mu.Lock()
		waiting, running := b.snapshot(h.key)
		b.mu.Unlock()
		return c.Announce(now, b.config.Self, waiting, running)
	})
}

// isActiveHost reports whether the host currently schedules requests of this
// daemon. b.mu must be held.
func (b *Broker) isActiveHost(h *cellHost) bool {
	if b.config.Policy != Brokered || b.deps.Link == nil {
		return true
	}
	s, known := b.sessions[h.key]
	switch {
	case !known:
		return false
	case s.broker.ID == b.config.Self:
		return b.hosts[h.key] == h
	default:
		return s.brokerDown && b.fallbackHosts[h.key] == h
	}
}

// startFallback makes this daemon schedule locally in the cells of a broker
// that does not answer.
func (b *Broker) startFallback(brokerID string, cause error) {
	var fallbacks []*cellHost
	now := b.deps.Clock.Now()
	b.mu.Lock()
	for _, s := range b.sessions {
		if s.broker.ID != brokerID || s.brokerDown {
			continue
		}
		s.brokerDown, s.needsAnnounce, s.queuedEvents = true, true, nil
		s.rejoin.recordLoss(now)
		fallback, known := b.fallbackHosts[s.key]
		if !known {
			fallback = b.newHost(s.key, true)
			b.fallbackHosts[s.key] = fallback
		}
		fallbacks = append(fallbacks, fallback)
	}
	b.mu.Unlock()
	for _, fallback := range fallbacks {
		fallbackCount.Add(1)
		eventBrokerUnresponsive.Log(b.deps.Logger, logrus.Fields{
			"Cell": fallback.key.String(), "Broker": brokerID, "Error": cause.Error(),
		})
		fallback.refreshEndpoints()
		b.announceTo(fallback)
	}
}

// refreshEndpoints updates the endpoints and slots of the cell.
func (h *cellHost) refreshEndpoints() {
	h.broker.mu.Lock()
	members := h.broker.cellEndpoints[h.key]
	h.broker.mu.Unlock()
	h.updateEndpoints(members)
}

// endFallback returns the cell to a broker that answers again.
func (b *Broker) endFallback(s *brokerSession) {
	b.mu.Lock()
	wasDown := s.brokerDown
	s.brokerDown, s.needsAnnounce, s.queuedEvents = false, true, nil
	fallback := b.fallbackHosts[s.key]
	b.mu.Unlock()
	if !wasDown || fallback == nil {
		return
	}
	eventBrokerRecovered.Log(b.deps.Logger, logrus.Fields{"Cell": s.key.String(), "Broker": s.broker.ID})
	fallback.removeEntry(b.config.Self)
}

// updateBrokers picks the broker of each session again and moves the sessions
// whose broker changed.
func (b *Broker) updateBrokers() {
	if b.config.Policy != Brokered || b.deps.Link == nil {
		return
	}
	view := b.liveView()
	var moved []*brokerSession
	b.mu.Lock()
	for key, s := range b.sessions {
		picked := member.Pick(view, key.String(), 1)
		if len(picked) == 0 || (picked[0].ID == s.broker.ID && picked[0].Address == s.broker.Address) {
			continue
		}
		b.queueGone(s)
		s.broker, s.brokerDown, s.needsAnnounce, s.queuedEvents, s.epoch = picked[0], false, true, nil, 0
		s.rejoin = rejoinBackoff{}
		moved = append(moved, s)
	}
	b.mu.Unlock()
	for _, s := range moved {
		b.completeBrokerChange(s)
	}
	b.dropUnusedPeers(view)
}

// queueGone queues a notification to the old broker that this daemon no longer
// uses it. b.mu must be held.
func (b *Broker) queueGone(s *brokerSession) {
	if s.broker.ID == b.config.Self {
		return
	}
	p := b.peerLocked(s.broker.ID, s.broker.Address)
	p.abandonedCells = append(p.abandonedCells, s.key)
	p.wakeEvents()
}

// completeBrokerChange announces this daemon's requests to the new broker of a
// cell and removes them from the hosts in this daemon that no longer schedule
// them.
func (b *Broker) completeBrokerChange(s *brokerSession) {
	b.mu.Lock()
	brokerID := s.broker.ID
	fallback, localHost := b.fallbackHosts[s.key], b.hosts[s.key]
	b.mu.Unlock()
	brokerChangeCount.Add(1)
	eventBrokerChanged.Log(b.deps.Logger, logrus.Fields{"Cell": s.key.String(), "Broker": brokerID})
	if fallback != nil {
		fallback.removeEntry(b.config.Self)
	}
	if brokerID == b.config.Self {
		b.announceTo(b.destinationFor(s.key).host)
		return
	}
	if localHost != nil {
		localHost.removeEntry(b.config.Self)
	}
	b.mu.Lock()
	b.peerLocked(s.broker.ID, s.broker.Address).wakeEvents()
	b.mu.Unlock()
}
