package broker

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/decide/cell"
)

// rerouteEvery is how often the brokers of the cells are picked again.
const rerouteEvery = 200 * clock.Millisecond

// route is where the events of a cell go: to a host in this daemon or to the
// session with the broker.
type route struct {
	host    *host
	session *session
}

// routeOf returns where the events of a cell go now, and makes a new host
// known if there is none.
func (b *Broker) routeOf(key CellKey) route {
	b.mu.Lock()
	chosen, created := b.routeLocked(key)
	b.mu.Unlock()
	if created != nil {
		b.tellBegun(created)
	}
	return chosen
}

// routeLocked is routeOf with b.mu held; created is a host that is new.
func (b *Broker) routeLocked(key CellKey) (chosen route, created *host) {
	if b.config.Policy != Brokered || b.deps.Link == nil {
		h, isNew := b.hostLocked(key)
		if isNew {
			created = h
		}
		return route{host: h}, created
	}
	s, known := b.sessions[key]
	if !known {
		s = &session{key: key, announce: true, broker: b.pick(key)}
		b.sessions[key] = s
	}
	if s.broker.ID == b.config.Self {
		h, isNew := b.hostLocked(key)
		if isNew {
			created = h
		}
		return route{host: h}, created
	}
	if s.down {
		return route{host: b.fallbacks[key]}, nil
	}
	return route{session: s}, nil
}

// hostLocked returns the host of a cell in this daemon. b.mu must be held.
func (b *Broker) hostLocked(key CellKey) (h *host, created bool) {
	h, known := b.hosts[key]
	if known {
		return h, false
	}
	h = b.newHost(key, false)
	b.hosts[key] = h
	return h, true
}

// pick returns the member that is the broker of a cell.
func (b *Broker) pick(key CellKey) member.Member {
	if picked := member.Pick(b.liveView(), key.String(), 1); len(picked) > 0 {
		return picked[0]
	}
	return member.Member{ID: b.config.Self}
}

// announceAttempt sends a new request to where its cell is decided.
func (b *Broker) announceAttempt(a *attempt) {
	to := b.routeOf(a.key)
	b.mu.Lock()
	ask := a.asked(b.deps.Clock.Now())
	b.mu.Unlock()
	if to.host != nil {
		to.host.ask(ask)
		return
	}
	b.enqueue(to.session, entryEvent{Kind: eventAsk, Ask: packAsk(ask)})
}

// tellLeaving passes on to the broker of the cell that an endpoint leaves.
func (b *Broker) tellLeaving(endpoint, incarnation string) {
	b.mu.Lock()
	key, known := b.cellOf[endpoint]
	s := b.sessions[key]
	remote := known && s != nil && !s.down && s.broker.ID != b.config.Self
	b.mu.Unlock()
	if remote {
		b.enqueue(s, entryEvent{Kind: eventLeave, ID: endpoint, Incarnation: incarnation})
	}
}

func (b *Broker) sendCancel(key CellKey, id string) {
	to := b.routeOf(key)
	if to.host != nil {
		to.host.cancel(id)
		return
	}
	b.enqueue(to.session, entryEvent{Kind: eventCancel, ID: id})
}

func (b *Broker) sendProgress(key CellKey, batch []progress) {
	to := b.routeOf(key)
	if to.host != nil {
		to.host.progress(batch)
		return
	}
	for _, p := range batch {
		b.enqueue(to.session, entryEvent{Kind: eventProgress, ID: p.ID, Tokens: p.Tokens})
	}
}

func (b *Broker) sendRelease(a *attempt, pending int, outcome cell.Outcome) {
	to := b.routeOf(a.key)
	if to.host != nil {
		to.host.release(a.id, pending, outcome)
		return
	}
	b.enqueue(to.session, entryEvent{Kind: eventRelease, ID: a.id, Tokens: pending, Outcome: packOutcome(outcome)})
}
