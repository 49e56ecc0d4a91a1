package broker

import (
	"context"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/decide/cell"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// probeInterval is the retry interval for a broker that did not answer and for
// unacknowledged actions.
const probeInterval = 200 * clock.Millisecond

// actionAckTimeout is how long an entry may take to acknowledge actions.
// Without an acknowledgement they are sent again for actionRetryPeriod; then
// the entry is dropped.
const (
	actionAckTimeout  = 500 * clock.Millisecond
	actionRetryPeriod = 1 * clock.Second
)

// peer sends messages to one other daemon: events to it as a broker and actions
// to it as an entry. Each kind has its own goroutine with one call in flight at
// a time.
type peer struct {
	broker      *Broker
	ctx         context.Context
	cancel      context.CancelFunc
	link        link.Peer
	eventsWake  chan struct{}
	actionsWake chan struct{}
	// abandonedCells are cells whose broker this peer no longer is; it has yet
	// to be notified. They and actions are guarded by the broker's mu.
	abandonedCells []CellKey
	actions        []wireAction
}

// peerLocked returns the peer with an ID and creates it if needed. A non-empty
// address replaces the known one. b.mu must be held.
func (b *Broker) peerLocked(id, address string) *peer {
	if p, known := b.peers[id]; known {
		if address != "" {
			p.link.Address = address
		}
		return p
	}
	ctx, cancel := context.WithCancel(b.ctx)
	p := &peer{
		broker:      b,
		ctx:         ctx,
		cancel:      cancel,
		link:        link.Peer{ID: id, Address: address},
		eventsWake:  make(chan struct{}, 1),
		actionsWake: make(chan struct{}, 1),
	}
	b.peers[id] = p
	if b.ctx.Err() != nil {
		return p
	}
	b.tasks.Add(2)
	go p.runEvents()
	go p.runActions()
	return p
}

// dropUnusedPeers stops peers that have left the view, are not the broker of a
// cell and have no messages queued.
func (b *Broker) dropUnusedPeers(view []member.Member) {
	live := make(map[string]bool, len(view))
	for _, m := range view {
		live[m.ID] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.sessions {
		live[s.broker.ID] = true
	}
	for id, p := range b.peers {
		if !live[id] && len(p.actions) == 0 && len(p.abandonedCells) == 0 {
			p.cancel()
			delete(b.peers, id)
		}
	}
}

func (p *peer) wakeEvents() {
	select {
	case p.eventsWake <- struct{}{}:
	default:
	}
}

func (p *peer) wakeActions() {
	select {
	case p.actionsWake <- struct{}{}:
	default:
	}
}

// wait waits for a wake-up or until d has passed, then sleeps for FlushInterval
// so that messages are batched. It reports whether the peer is still running.
func (p *peer) wait(wake <-chan struct{}, d clock.Millis) bool {
	ctx, cancel := context.WithTimeout(p.ctx, d.Duration())
	defer cancel()
	select {
	case <-wake:
	case <-ctx.Done():
	}
	return p.broker.deps.Clock.Sleep(p.ctx, p.broker.config.FlushInterval) == nil
}

// runEvents sends events to the peer as the broker of cells.
func (p *peer) runEvents() {
	defer p.broker.tasks.Done()
	for p.wait(p.eventsWake, probeInterval) {
		msg, sessions, to := p.broker.collectEvents(p)
		if len(msg.Batches) == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(p.ctx, p.broker.config.ReplyTimeout.Duration())
		answer, err := link.Call[eventsMessage, eventsReply](ctx, p.broker.deps.Link, to, message.BrokerEvents, msg)
		cancel()
		if p.ctx.Err() != nil {
			return
		}
		if err != nil {
			p.broker.startFallback(p.link.ID, err)
			continue
		}
		p.broker.handleReply(p.link.ID, msg, sessions, answer)
	}
}

// collectEvents takes the queued events for a peer that is a broker and returns
// them as one message. sessions has the session of each batch, nil for an
// abandoned cell.
func (b *Broker) collectEvents(p *peer) (msg eventsMessage, sessions []*brokerSession, to link.Peer) {
	now := b.deps.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastNumber++
	msg = eventsMessage{Session: b.runID, Number: b.lastNumber, Address: b.deps.Link.Address()}
	for _, s := range b.sessions {
		if s.broker.ID != p.link.ID || !b.shouldSend(s, now) {
			continue
		}
		msg.Batches = append(msg.Batches, b.buildBatch(s, now))
		sessions = append(sessions, s)
	}
	for _, key := range p.abandonedCells {
		msg.Batches = append(msg.Batches, cellBatch{Cell: key, Gone: true})
		sessions = append(sessions, nil)
	}
	p.abandonedCells = nil
	return msg, sessions, p.link
}

// shouldSend reports whether a batch or heartbeat is due for a session. b.mu
// must be held.
func (b *Broker) shouldSend(s *brokerSession, now clock.Millis) bool {
	if s.brokerDown {
		return now-s.lastSentAt >= probeInterval
	}
	alive := b.attemptCounts[s.key] > 0 && now-s.lastSentAt >= b.config.HeartbeatInterval
	return s.needsAnnounce || len(s.queuedEvents) > 0 || alive
}

// buildBatch returns the next batch for a session: an empty one as a probe if
// the broker is down, a full announcement if one is pending, otherwise the
// queued events. b.mu must be held.
func (b *Broker) buildBatch(s *brokerSession, now clock.Millis) cellBatch {
	s.lastSentAt = now
	next := cellBatch{Cell: s.key, Epoch: s.epoch}
	if s.brokerDown {
		return next
	}
	if !s.needsAnnounce {
		next.Events, s.queuedEvents = s.queuedEvents, nil
		return next
	}
	waiting, running := b.snapshot(s.key)
	next.Announce = true
	for i := range waiting {
		next.Waiting = append(next.Waiting, *packRunRequest(waiting[i]))
	}
	for i := range running {
		next.Running = append(next.Running, packRunning(running[i]))
	}
	s.needsAnnounce, s.queuedEvents = false, nil
	return next
}

// handleReply processes the broker's reply to an eventsMessage.
func (b *Broker) handleReply(brokerID string, msg eventsMessage, sessions []*brokerSession, answer eventsReply) {
	for i, result := range answer.Results {
		if i >= len(sessions) || sessions[i] == nil {
			continue
		}
		if b.applyBatchResult(brokerID, sessions[i], msg.Batches[i], result) {
			b.endFallback(sessions[i])
		}
	}
}

// applyBatchResult applies the result of one batch to its session and reports
// whether the broker can be used again after a failure.
func (b *Broker) applyBatchResult(brokerID string, s *brokerSession, sent cellBatch, result batchResult) (recovered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.broker.ID != brokerID {
		return false
	}
	if s.brokerDown {
		return s.rejoin.tryRejoin(b.deps.Clock.Now())
	}
	s.epoch = result.Epoch
	if result.Resync && !sent.Announce {
		s.needsAnnounce, s.queuedEvents = true, nil
	}
	if s.needsAnnounce {
		b.peerLocked(brokerID, "").wakeEvents()
	}
	return false
}

// queueAction queues an action for the peer that is the entry of the request.
func (b *Broker) queueAction(h *cellHost, action cell.Action) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, known := b.peers[action.Entry]
	if !known {
		return
	}
	p.actions = append(p.actions, packAction(h.key, action, b.endpointsByID[action.Endpoint]))
	p.wakeActions()
}

// runActions sends actions to the peer as an entry.
func (p *peer) runActions() {
	defer p.broker.tasks.Done()
	for p.wait(p.actionsWake, actionRetryPeriod) {
		actions, to := p.takeActions()
		if len(actions) > 0 && !p.sendActions(to, actions) {
			p.broker.dropEntry(p.link.ID, actions)
		}
	}
}

func (p *peer) takeActions() ([]wireAction, link.Peer) {
	p.broker.mu.Lock()
	defer p.broker.mu.Unlock()
	actions := p.actions
	p.actions = nil
	return actions, p.link
}

// sendActions retries until the actions are acknowledged and reports whether
// they were. It also returns true when the peer is stopped.
func (p *peer) sendActions(to link.Peer, actions []wireAction) bool {
	clk := p.broker.deps.Clock
	for start := clk.Now(); clk.Now()-start < actionRetryPeriod; {
		ctx, cancel := context.WithTimeout(p.ctx, actionAckTimeout.Duration())
		_, err := link.Call[actionsMessage, emptyReply](ctx, p.broker.deps.Link, to, message.BrokerActions, actionsMessage{Actions: actions})
		cancel()
		if err == nil {
			return true
		}
		if clk.Sleep(p.ctx, probeInterval) != nil {
			return true
		}
	}
	return false
}

// dropEntry removes an entry that did not acknowledge its actions from the
// cells concerned. The entry announces itself again with its next message.
func (b *Broker) dropEntry(entry string, actions []wireAction) {
	dropped := make(map[CellKey]bool)
	for i := range actions {
		dropped[actions[i].Cell] = true
	}
	for key := range dropped {
		b.mu.Lock()
		h := b.hosts[key]
		b.mu.Unlock()
		if h != nil {
			h.removeEntry(entry)
		}
	}
}
