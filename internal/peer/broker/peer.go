package broker

import (
	"context"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/decide/cell"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// probeEvery is how often a broker that did not answer is tried again.
const probeEvery = 200 * clock.Millisecond

// pushWithin is how long an entry may take to acknowledge grants, and
// pushFor for how long they are sent again before the entry is given up.
const (
	pushWithin = 500 * clock.Millisecond
	pushFor    = 1 * clock.Second
)

// peer gathers the messages for one other daemon. Events for it as a broker
// and actions for it as an entry go out side by side, each one call at a time.
type peer struct {
	broker *Broker
	ctx    context.Context
	cancel context.CancelFunc
	link   link.Peer
	asks   chan struct{}
	pushes chan struct{}
	// farewells and actions are guarded by the broker's mu.
	farewells []CellKey
	actions   []wireAction
}

// peerLocked returns the peer of that name. b.mu must be held.
func (b *Broker) peerLocked(id, address string) *peer {
	if p, known := b.peers[id]; known {
		if address != "" {
			p.link.Address = address
		}
		return p
	}
	ctx, cancel := context.WithCancel(b.ctx)
	p := &peer{
		broker: b,
		ctx:    ctx,
		cancel: cancel,
		link:   link.Peer{ID: id, Address: address},
		asks:   make(chan struct{}, 1),
		pushes: make(chan struct{}, 1),
	}
	b.peers[id] = p
	if b.ctx.Err() != nil {
		return p
	}
	b.tasks.Add(2)
	go p.run()
	go p.loop()
	return p
}

// dropUnused ends the peers that have left the view and that nothing is meant
// for, and the hosts that no entry uses.
func (b *Broker) dropUnused(view []member.Member) {
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
		if !live[id] && len(p.actions) == 0 && len(p.farewells) == 0 {
			p.cancel()
			delete(b.peers, id)
		}
	}
}

func (p *peer) wakeAsk() {
	select {
	case p.asks <- struct{}{}:
	default:
	}
}

func (p *peer) wakePush() {
	select {
	case p.pushes <- struct{}{}:
	default:
	}
}

// wait waits for a wake-up or for d, then gathers for a moment.
func (p *peer) wait(wake <-chan struct{}, d clock.Millis) bool {
	ctx, cancel := context.WithTimeout(p.ctx, d.Duration())
	defer cancel()
	select {
	case <-wake:
	case <-ctx.Done():
	}
	return p.broker.deps.Clock.Sleep(p.ctx, p.broker.config.FlushInterval) == nil
}

// run sends events to the peer as the broker of some cells.
func (p *peer) run() {
	defer p.broker.tasks.Done()
	for p.wait(p.asks, probeEvery) {
		msg, sessions, to := p.broker.collect(p)
		if len(msg.Batches) == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(p.ctx, p.broker.config.ReplyTimeout.Duration())
		answer, err := link.Call[askMessage, askAnswer](ctx, p.broker.deps.Link, to, message.BrokerEvents, msg)
		cancel()
		if p.ctx.Err() != nil {
			return
		}
		if err != nil {
			p.broker.lost(p.link.ID, err)
			continue
		}
		p.broker.answered(p.link.ID, msg, sessions, answer)
	}
}

// collect takes out what is to be sent to a peer as broker.
func (b *Broker) collect(p *peer) (msg askMessage, sessions []*session, to link.Peer) {
	now := b.deps.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.number++
	msg = askMessage{Session: b.session, Number: b.number, Address: b.deps.Link.Address()}
	for _, s := range b.sessions {
		if s.broker.ID != p.link.ID || !b.worthSending(s, now) {
			continue
		}
		msg.Batches = append(msg.Batches, b.batchOf(s, now))
		sessions = append(sessions, s)
	}
	for _, key := range p.farewells {
		msg.Batches = append(msg.Batches, batch{Cell: key, Gone: true})
		sessions = append(sessions, nil)
	}
	p.farewells = nil
	return msg, sessions, p.link
}

// worthSending reports whether there is something to say. b.mu must be held.
func (b *Broker) worthSending(s *session, now clock.Millis) bool {
	if s.down {
		return now-s.sent >= probeEvery
	}
	alive := b.active[s.key] > 0 && now-s.sent >= b.config.HeartbeatInterval
	return s.announce || len(s.events) > 0 || alive
}

// batchOf returns what is to be said in a session. b.mu must be held.
func (b *Broker) batchOf(s *session, now clock.Millis) batch {
	s.sent = now
	made := batch{Cell: s.key, Epoch: s.epoch}
	if s.down {
		return made
	}
	if !s.announce {
		made.Events, s.events = s.events, nil
		return made
	}
	waiting, running := b.snapshot(s.key)
	made.Announce = true
	for i := range waiting {
		made.Waiting = append(made.Waiting, *packAsk(waiting[i]))
	}
	for i := range running {
		made.Running = append(made.Running, packRunning(running[i]))
	}
	s.announce, s.events = false, nil
	return made
}

// answered takes in the broker's answer.
func (b *Broker) answered(brokerID string, msg askMessage, sessions []*session, answer askAnswer) {
	for i, result := range answer.Results {
		if i >= len(sessions) || sessions[i] == nil {
			continue
		}
		if b.settleAnswer(brokerID, sessions[i], msg.Batches[i], result) {
			b.regained(sessions[i])
		}
	}
}

// settleAnswer notes the result of one batch and reports whether the broker
// has been regained.
func (b *Broker) settleAnswer(brokerID string, s *session, sent batch, result batchResult) (regained bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.broker.ID != brokerID {
		return false
	}
	if s.down {
		return s.trust.returned(b.deps.Clock.Now())
	}
	s.epoch = result.Epoch
	if result.Resync && !sent.Announce {
		s.announce, s.events = true, nil
	}
	if s.announce {
		b.peerLocked(brokerID, "").wakeAsk()
	}
	return false
}

// push hands an action to the peer that is the entry of the request.
func (b *Broker) push(h *host, action cell.Action) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, known := b.peers[action.Entry]
	if !known {
		return
	}
	p.actions = append(p.actions, packAction(h.key, action, b.endpoints[action.Endpoint]))
	p.wakePush()
}

// loop sends actions to the peer as an entry.
func (p *peer) loop() {
	defer p.broker.tasks.Done()
	for p.wait(p.pushes, pushFor) {
		actions, to := p.takeActions()
		if len(actions) > 0 && !p.send(to, actions) {
			p.broker.giveUp(p.link.ID, actions)
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

// send sends actions until they are acknowledged, and reports whether they
// were.
func (p *peer) send(to link.Peer, actions []wireAction) bool {
	clk := p.broker.deps.Clock
	for start := clk.Now(); clk.Now()-start < pushFor; {
		ctx, cancel := context.WithTimeout(p.ctx, pushWithin.Duration())
		_, err := link.Call[grantMessage, grantAnswer](ctx, p.broker.deps.Link, to, message.BrokerActions, grantMessage{Actions: actions})
		cancel()
		if err == nil {
			return true
		}
		if clk.Sleep(p.ctx, probeEvery) != nil {
			return true
		}
	}
	return false
}

// giveUp drops an entry that takes no grants. It announces itself again when
// it next sends something.
func (b *Broker) giveUp(entry string, actions []wireAction) {
	dropped := make(map[CellKey]bool)
	for i := range actions {
		dropped[actions[i].Cell] = true
	}
	for key := range dropped {
		b.mu.Lock()
		h := b.hosts[key]
		b.mu.Unlock()
		if h != nil {
			h.entryGone(entry)
		}
	}
}
