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

// Register sets the handlers of the scheduling messages. Call it before the
// link is started.
func (b *Broker) Register(l *link.Link) {
	link.Handle(l, message.BrokerEvents, b.serveEvents)
	link.Handle(l, message.BrokerActions, b.serveActions)
	link.Handle(l, message.BrokerState, b.serveState)
}

// serveEvents handles the events of an entry for which this daemon is a broker.
func (b *Broker) serveEvents(_ context.Context, from string, msg eventsMessage) (answer eventsReply, err error) {
	b.mu.Lock()
	b.peerLocked(from, msg.Address)
	b.mu.Unlock()
	answer.Results = make([]batchResult, len(msg.Batches))
	for i := range msg.Batches {
		answer.Results[i] = b.serveBatch(from, msg.Session, msg.Number, &msg.Batches[i])
	}
	return answer, nil
}

func (b *Broker) serveBatch(from string, session, number uint64, received *cellBatch) batchResult {
	b.mu.Lock()
	h, known := b.hosts[received.Cell]
	if !known && received.Gone {
		b.mu.Unlock()
		return batchResult{}
	}
	created := false
	if !known {
		h, created = b.hostForLocked(received.Cell)
	}
	b.mu.Unlock()
	if created {
		b.requestAnnouncements(h)
	}
	return h.receive(from, session, number, received)
}

// receive applies a batch of an entry to the cell and ignores messages that were
// already processed. It requests a resync if the batch is not an announcement
// and the entry, its session or the epoch is unknown to this host.
func (h *cellHost) receive(from string, session, number uint64, received *cellBatch) batchResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.broker.deps.Clock.Now()
	result := batchResult{Epoch: h.epoch}
	last := h.lastMessages[from]
	if last.session == session && number <= last.number {
		return result
	}
	if received.Gone {
		delete(h.lastMessages, from)
		h.deliver(h.cell.RemoveEntry(now, from))
		return result
	}
	current := last.session == session && h.cell.HasEntry(from) && received.Epoch == h.epoch
	if !received.Announce && !current {
		result.Resync = true
		return result
	}
	h.lastMessages[from] = messagePosition{session: session, number: number}
	h.lastUsedAt = now
	if received.Announce {
		h.applyAnnouncement(now, from, received)
	}
	h.cell.MarkAlive(now, from)
	for i := range received.Events {
		h.applyEvent(now, from, &received.Events[i])
	}
	return result
}

func (h *cellHost) applyAnnouncement(now clock.Millis, from string, received *cellBatch) {
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

func (h *cellHost) applyEvent(now clock.Millis, from string, e *entryEvent) {
	switch e.Kind {
	case eventRunRequest:
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

// serveActions applies the actions of a broker. It ignores actions from a
// daemon that is not the broker in use for the cell; that daemon learns of the
// change from the next announcement, or drops this entry when its heartbeats
// stop.
func (b *Broker) serveActions(_ context.Context, from string, msg actionsMessage) (answer emptyReply, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range msg.Actions {
		received := &msg.Actions[i]
		s, known := b.sessions[received.Cell]
		if !known || s.brokerDown || s.broker.ID != from {
			continue
		}
		b.applyAction(received.Cell, received.unpack(b.config.Self), from, b.endpointFor(received))
	}
	return answer, nil
}

// endpointFor returns the endpoint of a grant. If this daemon does not know
// that incarnation yet, the endpoint is built from the broker's message. b.mu
// must be held.
func (b *Broker) endpointFor(received *wireAction) entity.Endpoint {
	known, exists := b.endpointsByID[received.Endpoint]
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

// requestAnnouncements asks all daemons of the region to announce their
// requests in a cell whose broker has just started in this daemon.
func (b *Broker) requestAnnouncements(h *cellHost) {
	if b.config.Policy != Brokered || b.deps.Link == nil {
		return
	}
	eventBrokerStarted.Log(b.deps.Logger, logrus.Fields{"Cell": h.key.String()})
	for _, m := range b.liveView() {
		if m.ID == b.config.Self {
			continue
		}
		to := link.Peer{ID: m.ID, Address: m.Address}
		_ = link.Send(b.deps.Link, to, message.BrokerState, stateMessage{Cell: h.key, Began: true})
	}
}

// serveState handles the start of a broker or the charges of teams in another
// cell of a pool.
func (b *Broker) serveState(_ context.Context, from string, msg stateMessage) (answer emptyReply, err error) {
	if msg.Began {
		b.scheduleAnnouncement(msg.Cell, from)
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

// scheduleAnnouncement announces all requests of a cell to a broker that has
// just started. A daemon with no requests in the cell also opens a session and
// announces, so that the broker need not wait for it.
func (b *Broker) scheduleAnnouncement(key CellKey, from string) {
	b.mu.Lock()
	s, known := b.sessions[key]
	if !known {
		s = &brokerSession{key: key, broker: b.pick(key)}
		b.sessions[key] = s
	}
	isBroker := s.broker.ID == from
	if isBroker && !s.brokerDown {
		s.needsAnnounce, s.queuedEvents = true, nil
	}
	if isBroker {
		b.peerLocked(s.broker.ID, s.broker.Address).wakeEvents()
	}
	b.mu.Unlock()
}
