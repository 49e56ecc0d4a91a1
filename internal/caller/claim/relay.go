package claim

import (
	"context"
	"errors"

	"github.com/banyanshift/banyanshift/coord/claim"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

const (
	// directFleet is the greatest number of daemons that all write their
	// claims themselves.
	directFleet = 16
	// forwardPace is the least time between two messages to a relay.
	forwardPace = 10 * clock.Millisecond
	// relayKey picks the relay of each failure domain.
	relayKey = "Claim/Relay"
)

// ForwarderConfig configures a Relays. All fields must be set.
type ForwarderConfig struct {
	Link  *link.Link
	Clock clock.Clock
	Table table.Client
	// Self is this daemon.
	Self member.Member
	// View returns the daemons that are believed to live.
	View func() []member.Member
	// TransactionsPerSecond is how many transactions the fleet may spend on claims.
	TransactionsPerSecond int
}

// Forwarder brings the claims of a large fleet into few transactions. In a small
// fleet each daemon writes its own. In a large one, one daemon of each failure
// domain writes those of all. Daemons with different views at most use different
// relays for a while, which is safe: a relay decides nothing.
type Forwarder struct {
	cfg   ForwarderConfig
	relay *claim.Relay
}

// forwardRequest carries operations to a relay.
type forwardRequest struct {
	Operations []claim.Operation
}

// forwardResponse carries their outcomes back.
type forwardResponse struct {
	Outcomes []claim.CommitOutcome
}

// NewForwarder returns a Relays and registers its handler at the link. Its Pace and
// Forward belong into the claim.Config of this daemon's store.
func NewForwarder(cfg ForwarderConfig) *Forwarder {
	r := &Forwarder{cfg: cfg}
	r.relay = claim.NewRelay(claim.Config{
		Table: cfg.Table, Clock: cfg.Clock, CommitInterval: claim.FleetCommitInterval(r.relayCount, cfg.TransactionsPerSecond),
	})
	link.Handle(cfg.Link, message.ClaimForward, r.serve)
	return r
}

// Run writes the claims that other daemons forward, until ctx ends.
func (r *Forwarder) Run(ctx context.Context) error {
	return r.relay.Run(ctx)
}

func (r *Forwarder) serve(ctx context.Context, _ string, request forwardRequest) (forwardResponse, error) {
	return forwardResponse{Outcomes: r.relay.Submit(ctx, request.Operations)}, nil
}

func (r *Forwarder) relayCount() int {
	return len(member.Domains(r.cfg.View()))
}

// direct reports whether the daemons write their claims themselves.
func (r *Forwarder) direct() bool {
	return len(r.cfg.View()) <= directFleet
}

// Pace returns the least time between two transactions, or messages to a relay,
// of this daemon's store.
func (r *Forwarder) Pace() clock.Millis {
	if r.direct() {
		return claim.FleetCommitInterval(func() int { return len(r.cfg.View()) }, r.cfg.TransactionsPerSecond)()
	}
	return forwardPace
}

// Forward hands operations to the relay of this daemon's failure domain.
func (r *Forwarder) Forward(ctx context.Context, ops []claim.Operation) (outcomes []claim.CommitOutcome, ok bool) {
	if r.direct() {
		return nil, false
	}
	picked := member.Pick(member.InDomain(r.cfg.View(), r.cfg.Self.FailureDomain), relayKey, 1)
	if len(picked) == 0 || picked[0].ID == r.cfg.Self.ID {
		return r.relay.Submit(ctx, ops), true
	}
	peer := link.Peer{ID: picked[0].ID, Address: picked[0].Address}
	response, err := link.Call[forwardRequest, forwardResponse](ctx, r.cfg.Link, peer, message.ClaimForward, forwardRequest{Operations: ops})
	if errors.Is(err, link.ErrUnreachable) || errors.Is(err, link.ErrQueueFull) {
		return notSent(len(ops)), true
	}
	// After any other error the outcomes are unknown, which missing ones are.
	return response.Outcomes, true
}

func notSent(count int) []claim.CommitOutcome {
	outcomes := make([]claim.CommitOutcome, count)
	for i := range outcomes {
		outcomes[i] = claim.NotApplied
	}
	return outcomes
}
