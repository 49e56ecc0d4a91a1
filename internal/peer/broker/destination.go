package broker

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/decide/cell"
)

// brokerPickInterval is how often the broker of each cell is picked again from
// the current view.
const brokerPickInterval = 200 * clock.Millisecond

// destination is where the events of a cell are sent: a host in this daemon or
// the session with a remote broker. Exactly one field is set.
type destination struct {
	host    *cellHost
	session *brokerSession
}

// destinationFor returns the current destination for the events of a cell. If
// that creates a host, it asks the other daemons for their announcements.
func (b *Broker) destinationFor(key CellKey) destination {
	b.mu.Lock()
	chosen, created := b.destinationForLocked(key)
	b.mu.Unlock()
	if created != nil {
		b.requestAnnouncements(created)
	}
	return chosen
}

// destinationForLocked is destinationFor with b.mu held. created is the new
// host, or nil if none was created.
func (b *Broker) destinationForLocked(key CellKey) (chosen destination, created *cellHost) {
	if b.config.Policy != Brokered || b.deps.Link == nil {
		h, isNew := b.hostForLocked(key)
		if isNew {
			created = h
		}
		return destination{host: h}, created
	}
	s, known := b.sessions[key]
	if !known {
		s = &brokerSession{key: key, needsAnnounce: true, broker: b.pick(key)}
		b.sessions[key] = s
	}
	if s.broker.ID == b.config.Self {
		h, isNew := b.hostForLocked(key)
		if isNew {
			created = h
		}
		return destination{host: h}, created
	}
	if s.brokerDown {
		return destination{host: b.fallbackHosts[key]}, nil
	}
	return destination{session: s}, nil
}

// hostForLocked returns the host of a cell in this daemon and creates it if
// needed. b.mu must be held.
func (b *Broker) hostForLocked(key CellKey) (h *cellHost, created bool) {
	h, known := b.hosts[key]
	if known {
		return h, false
	}
	h = b.newHost(key, false)
	b.hosts[key] = h
	return h, true
}

// pick returns the member that is the broker of a cell, or this daemon if the
// view has no live members.
func (b *Broker) pick(key CellKey) member.Member {
	if picked := member.Pick(b.liveView(), key.String(), 1); len(picked) > 0 {
		return picked[0]
	}
	return member.Member{ID: b.config.Self}
}

// announceAttempt submits an attempt to the host or broker of its cell.
func (b *Broker) announceAttempt(a *attempt) {
	to := b.destinationFor(a.key)
	b.mu.Lock()
	runReq := a.currentRunRequest(b.deps.Clock.Now())
	b.mu.Unlock()
	if to.host != nil {
		to.host.submit(runReq)
		return
	}
	b.enqueue(to.session, entryEvent{Kind: eventRunRequest, Ask: packRunRequest(runReq)})
}

// reportLeaving reports a leaving endpoint to the remote broker of its cell.
func (b *Broker) reportLeaving(endpoint, incarnation string) {
	b.mu.Lock()
	key, known := b.cellByEndpoint[endpoint]
	s := b.sessions[key]
	remote := known && s != nil && !s.brokerDown && s.broker.ID != b.config.Self
	b.mu.Unlock()
	if remote {
		b.enqueue(s, entryEvent{Kind: eventLeave, ID: endpoint, Incarnation: incarnation})
	}
}

func (b *Broker) sendCancel(key CellKey, id string) {
	to := b.destinationFor(key)
	if to.host != nil {
		to.host.cancel(id)
		return
	}
	b.enqueue(to.session, entryEvent{Kind: eventCancel, ID: id})
}

func (b *Broker) sendProgress(key CellKey, batch []tokenProgress) {
	to := b.destinationFor(key)
	if to.host != nil {
		to.host.recordProgress(batch)
		return
	}
	for _, p := range batch {
		b.enqueue(to.session, entryEvent{Kind: eventProgress, ID: p.ID, Tokens: p.Tokens})
	}
}

func (b *Broker) sendRelease(a *attempt, unreported int, outcome cell.Outcome) {
	to := b.destinationFor(a.key)
	if to.host != nil {
		to.host.release(a.id, unreported, outcome)
		return
	}
	b.enqueue(to.session, entryEvent{Kind: eventRelease, ID: a.id, Tokens: unreported, Outcome: packOutcome(outcome)})
}
