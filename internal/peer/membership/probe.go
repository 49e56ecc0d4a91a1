package membership

import (
	"context"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// probe is the body of message.Probe.
type probe struct {
	// From is the ID of the probing member if a helper sends the probe for
	// it, and empty otherwise.
	From  string
	Probe member.Probe
	// Sequence is the sender's configuration sequence.
	Sequence uint64
}

// ack answers a probe.
type ack struct {
	Ack      member.Ack
	Sequence uint64
}

// indirectProbe is the body of message.IndirectProbe. It asks a helper to probe
// the target.
type indirectProbe struct {
	Target  string
	Address string
	Probe   probe
}

// indirectAck answers an indirectProbe.
type indirectAck struct {
	// Reached reports whether the target answered the helper.
	Reached bool
	Ack     ack
}

// leave is the body of message.Leave.
type leave struct {
	Member member.Member
}

func linkPeer(m member.Member) link.Peer {
	return link.Peer{ID: m.ID, Address: m.Address}
}

// probeLoop starts the probes that the view requests at each tick.
func (m *Membership) probeLoop(ctx context.Context) error {
	for {
		var actions []member.Action
		m.updateView(func() { actions = m.view.Tick(m.config.Clock.Now()) })
		m.startProbes(ctx, actions)
		if err := m.config.Clock.Sleep(ctx, m.config.Timing.ProbeInterval); err != nil {
			return err
		}
	}
}

func (m *Membership) startProbes(ctx context.Context, actions []member.Action) {
	for _, action := range actions {
		go (&probeRun{membership: m, action: action}).run(ctx)
	}
}

// probeRun sends one probe and passes the result to the view.
type probeRun struct {
	membership *Membership
	action     member.Action
}

func (p *probeRun) run(ctx context.Context) {
	var next []member.Action
	answer, helperAnswered, ok := p.exchange(ctx)
	if ctx.Err() != nil {
		return
	}
	m := p.membership
	m.updateView(func() {
		now := m.config.Clock.Now()
		if ok {
			next = m.view.OnAck(now, p.action, answer.Ack)
			return
		}
		next = m.view.OnFailed(now, p.action, helperAnswered)
	})
	if ok {
		m.handleSequence(answer.Sequence)
	}
	m.startProbes(ctx, next)
}

// exchange sends the probe, directly or through a helper. It returns the target's
// answer, whether the helper answered, and whether the target did.
func (p *probeRun) exchange(ctx context.Context) (answer ack, helperAnswered, ok bool) {
	m := p.membership
	body := probe{Probe: p.action.Probe, Sequence: m.localSequence()}
	target := linkPeer(p.action.Target)
	if p.action.Via == nil {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
		defer cancel()
		answer, err := link.Call[probe, ack](ctx, m.config.Link, target, message.Probe, body)
		return answer, false, err == nil
	}
	ctx, cancel := context.WithTimeout(ctx, (2 * probeTimeout).Duration())
	defer cancel()
	body.From = m.config.Self.ID
	request := indirectProbe{Target: target.ID, Address: target.Address, Probe: body}
	reply, err := link.Call[indirectProbe, indirectAck](ctx, m.config.Link, linkPeer(*p.action.Via), message.IndirectProbe, request)
	return reply.Ack, err == nil, err == nil && reply.Reached
}

func (m *Membership) serveProbe(_ context.Context, from string, received probe) (ack, error) {
	if received.From != "" {
		from = received.From
	}
	var answer ack
	m.updateView(func() { answer.Ack = m.view.OnProbe(m.config.Clock.Now(), from, received.Probe) })
	m.handleSequence(received.Sequence)
	answer.Sequence = m.localSequence()
	return answer, nil
}

func (m *Membership) serveIndirectProbe(ctx context.Context, _ string, request indirectProbe) (indirectAck, error) {
	ctx, cancel := context.WithTimeout(ctx, (probeTimeout - 50*clock.Millisecond).Duration())
	defer cancel()
	target := link.Peer{ID: request.Target, Address: request.Address}
	answer, err := link.Call[probe, ack](ctx, m.config.Link, target, message.Probe, request.Probe)
	if err != nil {
		// The answer to the probing member is that the target did not answer.
		return indirectAck{}, nil //nolint:nilerr
	}
	return indirectAck{Reached: true, Ack: answer}, nil
}

func (m *Membership) serveLeave(_ context.Context, from string, received leave) (struct{}, error) {
	if received.Member.ID == from {
		m.updateView(func() { m.view.OnUpdates(m.config.Clock.Now(), received.Member) })
	}
	return struct{}{}, nil
}

func (m *Membership) localSequence() uint64 {
	if m.config.ConfigSequence == nil {
		return 0
	}
	return m.config.ConfigSequence()
}

func (m *Membership) handleSequence(sequence uint64) {
	if m.config.HandleConfigSequence != nil && sequence > 0 {
		m.config.HandleConfigSequence(sequence)
	}
}
