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
	// maxDirectFleetSize is the maximum number of daemons in a fleet in which
	// each daemon writes its claims itself.
	maxDirectFleetSize = 16
	// forwardInterval is the minimum time between two messages to a relay.
	forwardInterval = 10 * clock.Millisecond
	// relayKey is the hash key that picks the relay of each failure domain.
	relayKey = "Claim/Relay"
)

// ForwarderConfig configures a Forwarder. All fields are required.
type ForwarderConfig struct {
	Link  *link.Link
	Clock clock.Clock
	Table table.Client
	// Self is this daemon.
	Self member.Member
	// View returns the daemons that are assumed to be alive.
	View func() []member.Member
	// TransactionsPerSecond limits the transactions of the fleet for claims.
	TransactionsPerSecond int
}

// Forwarder reduces the number of transactions that a large fleet needs for its
// claims. In a small fleet each daemon writes its own claims. In a large fleet one
// daemon per failure domain, the relay, writes the claims of all daemons there.
// Daemons with different views may use different relays for a while, which is
// safe because a relay makes no decisions.
type Forwarder struct {
	cfg   ForwarderConfig
	relay *claim.Relay
}

// forwardRequest carries operations to a relay.
type forwardRequest struct {
	Operations []claim.Operation
}

// forwardResponse carries the outcomes of the operations.
type forwardResponse struct {
	Outcomes []claim.CommitOutcome
}

// NewForwarder returns a Forwarder and registers its handler at the link. Set its
// CommitInterval and Forward in the claim.Config of this daemon's store.
func NewForwarder(cfg ForwarderConfig) *Forwarder {
	f := &Forwarder{cfg: cfg}
	f.relay = claim.NewRelay(claim.Config{
		Table: cfg.Table, Clock: cfg.Clock, CommitInterval: claim.FleetCommitInterval(f.relayCount, cfg.TransactionsPerSecond),
	})
	link.Handle(cfg.Link, message.ClaimForward, f.handleForward)
	return f
}

// Run writes the claims that other daemons forward, until ctx ends.
func (f *Forwarder) Run(ctx context.Context) error {
	return f.relay.Run(ctx)
}

func (f *Forwarder) handleForward(ctx context.Context, _ string, request forwardRequest) (forwardResponse, error) {
	return forwardResponse{Outcomes: f.relay.Submit(ctx, request.Operations)}, nil
}

func (f *Forwarder) relayCount() int {
	return len(member.Domains(f.cfg.View()))
}

// writesDirectly reports whether each daemon writes its claims itself.
func (f *Forwarder) writesDirectly() bool {
	return len(f.cfg.View()) <= maxDirectFleetSize
}

// CommitInterval returns the minimum time between two transactions, or two
// messages to a relay, of this daemon's store.
func (f *Forwarder) CommitInterval() clock.Millis {
	if f.writesDirectly() {
		return claim.FleetCommitInterval(func() int { return len(f.cfg.View()) }, f.cfg.TransactionsPerSecond)()
	}
	return forwardInterval
}

// Forward sends operations to the relay of this daemon's failure domain. ok is
// false when this daemon writes its claims itself.
func (f *Forwarder) Forward(ctx context.Context, ops []claim.Operation) (outcomes []claim.CommitOutcome, ok bool) {
	if f.writesDirectly() {
		return nil, false
	}
	picked := member.Pick(member.InDomain(f.cfg.View(), f.cfg.Self.FailureDomain), relayKey, 1)
	if len(picked) == 0 || picked[0].ID == f.cfg.Self.ID {
		return f.relay.Submit(ctx, ops), true
	}
	peer := link.Peer{ID: picked[0].ID, Address: picked[0].Address}
	response, err := link.Call[forwardRequest, forwardResponse](ctx, f.cfg.Link, peer, message.ClaimForward, forwardRequest{Operations: ops})
	if errors.Is(err, link.ErrUnreachable) || errors.Is(err, link.ErrQueueFull) {
		return notSentOutcomes(len(ops)), true
	}
	// After any other error the outcomes are unknown. The store treats missing
	// outcomes as unknown.
	return response.Outcomes, true
}

func notSentOutcomes(count int) []claim.CommitOutcome {
	outcomes := make([]claim.CommitOutcome, count)
	for i := range outcomes {
		outcomes[i] = claim.NotApplied
	}
	return outcomes
}
