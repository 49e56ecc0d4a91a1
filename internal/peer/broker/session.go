package broker

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/decide/cell"
)

// session is what this daemon knows of the broker of a cell.
type session struct {
	key    CellKey
	broker member.Member
	// epoch is the state of the broker that took in the last announcement.
	epoch uint64
	// announce says that everything must be announced next.
	announce bool
	// down says that the broker does not answer and this daemon decides by
	// itself.
	down   bool
	events []entryEvent
	sent   clock.Millis
	// trust says from when on a broker that is down is believed again.
	trust trust
}

const (
	// firstDoubt is for how long a broker that was lost is not believed, and
	// longestDoubt for how long at most. It doubles with each loss that comes
	// within steadyFor of the broker's return.
	firstDoubt   = 200 * clock.Millisecond
	longestDoubt = 5 * clock.Second
	steadyFor    = 3 * clock.Second
)

// trust keeps a daemon from going back and forth between a broker that answers
// only now and then and its own share.
type trust struct {
	doubt    clock.Millis
	from     clock.Millis
	regained clock.Millis
}

// lost notes that the broker was lost.
func (t *trust) lost(now clock.Millis) {
	if t.doubt == 0 || now-t.regained >= steadyFor {
		t.doubt = firstDoubt
	} else {
		t.doubt = min(2*t.doubt, longestDoubt)
	}
	t.from = now + t.doubt
}

// returned reports whether an answer at the instant counts as the broker's
// return.
func (t *trust) returned(now clock.Millis) bool {
	if now < t.from {
		return false
	}
	t.regained = now
	return true
}

// maxEvents bounds the events that wait for a broker; beyond it everything is
// announced again instead.
const maxEvents = 10_000

// enqueue adds an event for the broker of a cell.
func (b *Broker) enqueue(s *session, e entryEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.announce && e.Kind != eventLeave && e.Kind != eventProgress {
		b.peerLocked(s.broker.ID, s.broker.Address).wakeAsk()
		return
	}
	if len(s.events) >= maxEvents {
		s.events, s.announce = nil, true
	}
	s.events = append(s.events, e)
	b.peerLocked(s.broker.ID, s.broker.Address).wakeAsk()
}

// snapshot returns all that this daemon has waiting and running in a cell.
// b.mu must be held.
func (b *Broker) snapshot(key CellKey) (waiting []cell.RunRequest, running []cell.Running) {
	now := b.deps.Clock.Now()
	for _, a := range b.attempts {
		switch {
		case a.key != key:
		case a.grant == nil:
			waiting = append(waiting, a.asked(now))
		default:
			a.pending = 0
			running = append(running, cell.Running{
				RunRequest: a.asked(now),
				Endpoint:   a.grant.Endpoint.ID,
				Tokens:     a.tokens,
				Elapsed:    now - a.granted,
			})
		}
	}
	return waiting, running
}

// announceTo announces all that this daemon has in a cell to a host in it.
func (b *Broker) announceTo(h *host) {
	h.do(func(c *cell.Cell, now clock.Millis) []cell.Action {
		b.mu.Lock()
		waiting, running := b.snapshot(h.key)
		b.mu.Unlock()
		return c.Announce(now, b.config.Self, waiting, running)
	})
}

// current reports whether the host decides for this daemon now. b.mu must be
// held.
func (b *Broker) current(h *host) bool {
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
		return s.down && b.fallbacks[h.key] == h
	}
}

// lost makes this daemon decide by itself in the cells of a broker that does
// not answer.
func (b *Broker) lost(brokerID string, cause error) {
	var fallbacks []*host
	now := b.deps.Clock.Now()
	b.mu.Lock()
	for _, s := range b.sessions {
		if s.broker.ID != brokerID || s.down {
			continue
		}
		s.down, s.announce, s.events = true, true, nil
		s.trust.lost(now)
		fallback, known := b.fallbacks[s.key]
		if !known {
			fallback = b.newHost(s.key, true)
			b.fallbacks[s.key] = fallback
		}
		fallbacks = append(fallbacks, fallback)
	}
	b.mu.Unlock()
	for _, fallback := range fallbacks {
		fallbackBegun.Add(1)
		eventBrokerSilent.Log(b.deps.Logger, logrus.Fields{
			"Cell": fallback.key.String(), "Broker": brokerID, "Error": cause.Error(),
		})
		fallback.refresh()
		b.announceTo(fallback)
	}
}

// refresh reads the endpoints and limits of the cell again.
func (h *host) refresh() {
	h.broker.mu.Lock()
	members := h.broker.cells[h.key]
	h.broker.mu.Unlock()
	h.update(members)
}

// regained hands the cell back to a broker that answers again.
func (b *Broker) regained(s *session) {
	b.mu.Lock()
	wasDown := s.down
	s.down, s.announce, s.events = false, true, nil
	fallback := b.fallbacks[s.key]
	b.mu.Unlock()
	if !wasDown || fallback == nil {
		return
	}
	eventBrokerAnswers.Log(b.deps.Logger, logrus.Fields{"Cell": s.key.String(), "Broker": s.broker.ID})
	fallback.entryGone(b.config.Self)
}

// reroute picks the brokers again after a change of the view.
func (b *Broker) reroute() {
	if b.config.Policy != Brokered || b.deps.Link == nil {
		return
	}
	view := b.liveView()
	var moved []*session
	b.mu.Lock()
	for key, s := range b.sessions {
		picked := member.Pick(view, key.String(), 1)
		if len(picked) == 0 || (picked[0].ID == s.broker.ID && picked[0].Address == s.broker.Address) {
			continue
		}
		b.leaveBroker(s)
		s.broker, s.down, s.announce, s.events, s.epoch = picked[0], false, true, nil, 0
		s.trust = trust{}
		moved = append(moved, s)
	}
	b.mu.Unlock()
	for _, s := range moved {
		b.settleMove(s)
	}
	b.dropUnused(view)
}

// leaveBroker tells the old broker that this daemon has gone elsewhere. b.mu
// must be held.
func (b *Broker) leaveBroker(s *session) {
	if s.broker.ID == b.config.Self {
		return
	}
	p := b.peerLocked(s.broker.ID, s.broker.Address)
	p.farewells = append(p.farewells, s.key)
	p.wakeAsk()
}

// settleMove announces what this daemon has to the new broker of a cell.
func (b *Broker) settleMove(s *session) {
	b.mu.Lock()
	brokerID := s.broker.ID
	fallback, old := b.fallbacks[s.key], b.hosts[s.key]
	b.mu.Unlock()
	brokerMoved.Add(1)
	eventBrokerMoved.Log(b.deps.Logger, logrus.Fields{"Cell": s.key.String(), "Broker": brokerID})
	if fallback != nil {
		fallback.entryGone(b.config.Self)
	}
	if brokerID == b.config.Self {
		b.announceTo(b.routeOf(s.key).host)
		return
	}
	if old != nil {
		old.entryGone(b.config.Self)
	}
	b.mu.Lock()
	b.peerLocked(s.broker.ID, s.broker.Address).wakeAsk()
	b.mu.Unlock()
}
