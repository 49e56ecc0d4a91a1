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
	// From is the member that probes, when a helper sends this for it.
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

// indirect is the body of message.IndirectProbe.
type indirect struct {
	Target  string
	Address string
	Probe   probe
}

// indirectAck answers an indirect probe.
type indirectAck struct {
	// Reached says that the target answered the helper.
	Reached bool
	Ack     ack
}

// leave is the body of message.Leave.
type leave struct {
	Member member.Member
}

func peerOf(m member.Member) link.Peer {
	return link.Peer{ID: m.ID, Address: m.Address}
}

// loopProbe sends the probes that the view asks for.
func (m *Membership) loopProbe(ctx context.Context) error {
	for {
		var actions []member.Action
		m.update(func() { actions = m.view.Tick(m.config.Clock.Now()) })
		m.send(ctx, actions)
		if err := m.config.Clock.Sleep(ctx, m.config.Timing.Probe); err != nil {
			return err
		}
	}
}

func (m *Membership) send(ctx context.Context, actions []member.Action) {
	for _, action := range actions {
		go (&probing{membership: m, action: action}).run(ctx)
	}
}

// probing is one probe under way.
type probing struct {
	membership *Membership
	action     member.Action
}

func (p *probing) run(ctx context.Context) {
	var next []member.Action
	answer, viaAnswered, ok := p.call(ctx)
	if ctx.Err() != nil {
		return
	}
	m := p.membership
	m.update(func() {
		now := m.config.Clock.Now()
		if ok {
			next = m.view.OnAck(now, p.action, answer.Ack)
			return
		}
		next = m.view.OnFailed(now, p.action, viaAnswered)
	})
	if ok {
		m.heard(answer.Sequence)
	}
	m.send(ctx, next)
}

// call sends the probe and returns its answer, and whether a helper answered.
func (p *probing) call(ctx context.Context) (answer ack, viaAnswered, ok bool) {
	m := p.membership
	body := probe{Probe: p.action.Probe, Sequence: m.sequence()}
	target := peerOf(p.action.Target)
	if p.action.Via == nil {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
		defer cancel()
		answer, err := link.Call[probe, ack](ctx, m.config.Link, target, message.Probe, body)
		return answer, false, err == nil
	}
	ctx, cancel := context.WithTimeout(ctx, (2 * probeTimeout).Duration())
	defer cancel()
	body.From = m.config.Self.ID
	request := indirect{Target: target.ID, Address: target.Address, Probe: body}
	reply, err := link.Call[indirect, indirectAck](ctx, m.config.Link, peerOf(*p.action.Via), message.IndirectProbe, request)
	return reply.Ack, err == nil, err == nil && reply.Reached
}

func (m *Membership) serveProbe(_ context.Context, from string, received probe) (ack, error) {
	if received.From != "" {
		from = received.From
	}
	var answer ack
	m.update(func() { answer.Ack = m.view.OnProbe(m.config.Clock.Now(), from, received.Probe) })
	m.heard(received.Sequence)
	answer.Sequence = m.sequence()
	return answer, nil
}

func (m *Membership) serveIndirect(ctx context.Context, _ string, request indirect) (indirectAck, error) {
	ctx, cancel := context.WithTimeout(ctx, (probeTimeout - 50*clock.Millisecond).Duration())
	defer cancel()
	target := link.Peer{ID: request.Target, Address: request.Address}
	answer, err := link.Call[probe, ack](ctx, m.config.Link, target, message.Probe, request.Probe)
	if err != nil {
		// That the target did not answer is the answer.
		return indirectAck{}, nil //nolint:nilerr
	}
	return indirectAck{Reached: true, Ack: answer}, nil
}

func (m *Membership) serveLeave(_ context.Context, from string, received leave) (struct{}, error) {
	if received.Member.ID == from {
		m.update(func() { m.view.OnNews(m.config.Clock.Now(), received.Member) })
	}
	return struct{}{}, nil
}

func (m *Membership) sequence() uint64 {
	if m.config.ConfigSequence == nil {
		return 0
	}
	return m.config.ConfigSequence()
}

func (m *Membership) heard(sequence uint64) {
	if m.config.HandleConfigSequence != nil && sequence > 0 {
		m.config.HandleConfigSequence(sequence)
	}
}
