package broker

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/cell"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// Register sets the handlers of the scheduling messages. It must be called
// before the link is started.
func (b *Broker) Register(l *link.Link) {
	link.Handle(l, message.BrokerEvents, b.serveAsk)
	link.Handle(l, message.BrokerActions, b.serveGrant)
	link.Handle(l, message.BrokerState, b.serveState)
}

// serveAsk takes in what an entry has to say to this daemon as a broker.
func (b *Broker) serveAsk(_ context.Context, from string, msg askMessage) (answer askAnswer, err error) {
	b.mu.Lock()
	b.peerLocked(from, msg.Address)
	b.mu.Unlock()
	answer.Results = make([]batchResult, len(msg.Batches))
	for i := range msg.Batches {
		answer.Results[i] = b.serveBatch(from, msg.Session, msg.Number, &msg.Batches[i])
	}
	return answer, nil
}

func (b *Broker) serveBatch(from string, session, number uint64, received *batch) batchResult {
	b.mu.Lock()
	h, known := b.hosts[received.Cell]
	if !known && received.Gone {
		b.mu.Unlock()
		return batchResult{}
	}
	created := false
	if !known {
		h, created = b.hostLocked(received.Cell)
	}
	b.mu.Unlock()
	if created {
		b.tellBegun(h)
	}
	return h.receive(from, session, number, received)
}

// receive takes in a batch of an entry.
func (h *host) receive(from string, session, number uint64, received *batch) batchResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.broker.deps.Clock.Now()
	result := batchResult{Epoch: h.epoch}
	last := h.numbers[from]
	if last.session == session && number <= last.number {
		return result
	}
	if received.Gone {
		delete(h.numbers, from)
		h.deliver(h.cell.RemoveEntry(now, from))
		return result
	}
	current := last.session == session && h.cell.HasEntry(from) && received.Epoch == h.epoch
	if !received.Announce && !current {
		result.Resync = true
		return result
	}
	h.numbers[from] = entryNumber{session: session, number: number}
	h.used = now
	if received.Announce {
		h.takeAnnouncement(now, from, received)
	}
	h.cell.MarkAlive(now, from)
	for i := range received.Events {
		h.takeEvent(now, from, &received.Events[i])
	}
	return result
}

func (h *host) takeAnnouncement(now clock.Millis, from string, received *batch) {
	waiting := make([]cell.RunRequest, len(received.Waiting))
	for i := range received.Waiting {
		waiting[i] = received.Waiting[i].unpack(from)
	}
	running := make([]cell.Running, len(received.Running))
	for i := range received.Running {
		running[i] = received.Running[i].unpack(from)
	}
	h.deliver(h.cell.Announce(now, from, waiting, running))
}

func (h *host) takeEvent(now clock.Millis, from string, e *entryEvent) {
	switch e.Kind {
	case eventAsk:
		if e.Ask != nil {
			h.deliver(h.cell.Submit(now, e.Ask.unpack(from)))
		}
	case eventCancel:
		h.deliver(h.cell.Cancel(now, e.ID))
	case eventProgress:
		h.cell.RecordTokens(now, e.ID, e.Tokens)
	case eventRelease:
		h.cell.RecordTokens(now, e.ID, e.Tokens)
		h.deliver(h.cell.Release(now, e.ID, e.Outcome.unpack()))
	case eventLeave:
		h.deliver(h.cell.MarkLeaving(now, e.ID, e.Incarnation))
	}
}

// serveGrant takes in the actions of a broker. Those of a broker that this
// daemon no longer follows are passed over; it learns from the next
// announcement, or drops this daemon when it hears no more.
func (b *Broker) serveGrant(_ context.Context, from string, msg grantMessage) (answer grantAnswer, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range msg.Actions {
		received := &msg.Actions[i]
		s, known := b.sessions[received.Cell]
		if !known || s.down || s.broker.ID != from {
			continue
		}
		b.carryOut(received.Cell, received.unpack(b.config.Self), from, b.endpointOf(received))
	}
	return answer, nil
}

// endpointOf returns the endpoint of a grant as this daemon knows it, or as
// the broker described it when this daemon has not heard of it. b.mu must be
// held.
func (b *Broker) endpointOf(received *wireAction) entity.Endpoint {
	known, exists := b.endpoints[received.Endpoint]
	if exists && known.Incarnation == received.Incarnation {
		return known
	}
	return entity.Endpoint{
		ID:          received.Endpoint,
		Backend:     received.Cell.Backend,
		Address:     received.Address,
		Region:      received.Cell.Region,
		Incarnation: received.Incarnation,
	}
}

// tellBegun asks all daemons of the region to announce what they have in a
// cell whose broker has just begun here.
func (b *Broker) tellBegun(h *host) {
	if b.config.Policy != Brokered || b.deps.Link == nil {
		return
	}
	eventBrokerBegun.Log(b.deps.Logger, logrus.Fields{"Cell": h.key.String()})
	for _, m := range b.liveView() {
		if m.ID == b.config.Self {
			continue
		}
		to := link.Peer{ID: m.ID, Address: m.Address}
		_ = link.Send(b.deps.Link, to, message.BrokerState, stateMessage{Cell: h.key, Began: true})
	}
}

// serveState takes in that a broker has begun, or what teams were charged in
// another cell of a pool.
func (b *Broker) serveState(_ context.Context, from string, msg stateMessage) (answer grantAnswer, err error) {
	if msg.Began {
		b.announceSoon(msg.Cell, from)
		return answer, nil
	}
	b.mu.Lock()
	h := b.hosts[msg.Cell]
	b.mu.Unlock()
	if h != nil {
		h.addCharges(msg.Charges)
	}
	return answer, nil
}

// announceSoon announces everything to a broker that has begun. A daemon that
// had nothing in the cell opens a session for the announcement, so that the
// broker need not wait for it.
func (b *Broker) announceSoon(key CellKey, from string) {
	b.mu.Lock()
	s, known := b.sessions[key]
	if !known {
		s = &session{key: key, broker: b.pick(key)}
		b.sessions[key] = s
	}
	follows := s.broker.ID == from
	if follows && !s.down {
		s.announce, s.events = true, nil
	}
	if follows {
		b.peerLocked(s.broker.ID, s.broker.Address).wakeAsk()
	}
	b.mu.Unlock()
}
