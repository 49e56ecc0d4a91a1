package follow

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/config/state"
	"github.com/banyanshift/banyanshift/internal/peer/link"
)

const (
	// maxRefusedIDs limits the refused withdrawals that are remembered, so that
	// a late Deny does not deny their keys again.
	maxRefusedIDs = 1024
	// nonRelayAdoptFactor multiplies Timing.AdoptDelay for daemons that are not
	// relays.
	nonRelayAdoptFactor = 4
	// retryIDSuffix is appended to the request ID of a reported withdrawal if
	// another change has already used that ID.
	retryIDSuffix = "/withdrawal"
)

// denials holds the pending withdrawals, which are enforced before they are in
// the log.
type denials struct {
	pending map[string]*pendingDenial
	// refused holds the request IDs of withdrawals that will never be in the
	// log, and refusedOrder the same IDs, oldest first.
	refused      map[string]bool
	refusedOrder []string
}

type pendingDenial struct {
	denial Denial
	keys   []string
	// acceptedHere is set if this daemon received the withdrawal from an
	// operator.
	acceptedHere bool
	receivedAt   clock.Millis
}

func newDenials() denials {
	return denials{pending: make(map[string]*pendingDenial), refused: make(map[string]bool)}
}

func (d *denials) markRefused(requestID string) {
	if d.refused[requestID] {
		return
	}
	d.refused[requestID] = true
	d.refusedOrder = append(d.refusedOrder, requestID)
	if len(d.refusedOrder) > maxRefusedIDs {
		delete(d.refused, d.refusedOrder[0])
		d.refusedOrder = d.refusedOrder[1:]
	}
}

// deniesKey reports whether a pending withdrawal includes the key.
func (d *denials) deniesKey(key string) bool {
	for _, p := range d.pending {
		if slices.Contains(p.keys, key) {
			return true
		}
	}
	return false
}

// withdrawnKeys returns the keys that the proposal withdraws or deletes.
// keysOnly reports whether the proposal contains no other writes.
func withdrawnKeys(proposal changelog.Proposal) (keys []string, keysOnly bool) {
	keysOnly = true
	for _, write := range proposal.Writes {
		kind, name := state.SplitName(write.Entity)
		if kind == entity.KindKey && (write.Deleted || withdraws(write)) {
			keys = append(keys, name)
			continue
		}
		keysOnly = false
	}
	return keys, keysOnly
}

func withdraws(write changelog.Write) bool {
	decoded, err := state.Decode(write.Entity, write.Value)
	if err != nil {
		return false
	}
	key, isKey := decoded.(entity.Key)
	return isKey && key.Withdrawn
}

// acceptDenials adds pending withdrawals received from a peer.
func (f *Follower) acceptDenials(received []Denial) {
	for _, denial := range received {
		f.addDenial(denial, false)
	}
}

// addDenial adds a pending withdrawal and denies its keys until it is settled.
func (f *Follower) addDenial(denial Denial, acceptedHere bool) {
	keys, _ := withdrawnKeys(denial.Proposal)
	requestID := denial.Proposal.RequestID
	if len(keys) == 0 || f.recent.hasRequest(requestID) {
		return
	}
	f.mu.Lock()
	known := f.denials.pending[requestID]
	switch {
	case known != nil:
		known.denial.Reported = known.denial.Reported || denial.Reported
		known.acceptedHere = known.acceptedHere || acceptedHere
	case !acceptedHere && !denial.Reported && f.denials.refused[requestID]:
		f.mu.Unlock()
		return
	default:
		f.denials.pending[requestID] = &pendingDenial{denial: denial, keys: keys, acceptedHere: acceptedHere, receivedAt: f.clock.Now()}
	}
	metricPending.Set(int64(len(f.denials.pending)))
	f.mu.Unlock()
	if known != nil {
		return
	}
	for _, key := range keys {
		f.state.Deny(key)
		eventDenied.Log(f.config.Logger, logrus.Fields{"KeyID": key, "RequestID": requestID})
	}
}

// settle removes a pending withdrawal whose outcome is known: it is in the log,
// or never will be. Keys that no other pending withdrawal includes are no
// longer denied ahead of the log.
func (f *Follower) settle(requestID string, inLog bool) {
	f.mu.Lock()
	settled := f.denials.pending[requestID]
	delete(f.denials.pending, requestID)
	if !inLog {
		f.denials.markRefused(requestID)
	}
	var released []string
	if settled != nil {
		for _, key := range settled.keys {
			if !f.denials.deniesKey(key) {
				released = append(released, key)
			}
		}
	}
	metricPending.Set(int64(len(f.denials.pending)))
	f.mu.Unlock()
	if settled == nil {
		return
	}
	for _, key := range released {
		f.state.Undeny(key)
	}
	eventSettled.Log(f.config.Logger, logrus.Fields{"RequestID": requestID, "InLog": inLog})
}

// settleApplied settles a withdrawal that is in the log at the given sequence.
// It does so only if the log is applied up to that sequence, because the key
// must not be admitted in between.
func (f *Follower) settleApplied(requestID string, sequence uint64) {
	if f.state.Sequence() >= sequence {
		f.settle(requestID, true)
	}
}

// settleRefused settles withdrawals that a peer reports as refused, except
// those reported to an operator as in force.
func (f *Follower) settleRefused(requestIDs []string) {
	for _, requestID := range requestIDs {
		f.mu.Lock()
		known := f.denials.pending[requestID]
		reported := known != nil && known.denial.Reported
		f.mu.Unlock()
		if !reported {
			f.settle(requestID, false)
		}
	}
}

// denialsDigest returns a digest of the set of pending withdrawals, 0 for none.
func (f *Follower) denialsDigest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var digest uint64
	for requestID, p := range f.denials.pending {
		if p.denial.Reported {
			requestID += "\x00Reported"
		}
		digest ^= xxhash.Sum64String(requestID)
	}
	return digest
}

func (f *Follower) pendingDenials() []Denial {
	f.mu.Lock()
	defer f.mu.Unlock()
	pending := make([]Denial, 0, len(f.denials.pending))
	for _, p := range f.denials.pending {
		pending = append(pending, p.denial)
	}
	return pending
}

// adoptDenials gets the pending withdrawals from the first peer that answers.
func (f *Follower) adoptDenials(ctx context.Context) {
	for _, peer := range f.startupPeers() {
		reply, err := f.sendCheck(ctx, peerOf(peer))
		if err == nil {
			f.acceptDenials(reply.Denials)
			return
		}
	}
}

// pushDenials sends the pending withdrawals to a peer with a different set.
func (f *Follower) pushDenials(ctx context.Context, peer link.Peer) {
	pending := f.pendingDenials()
	if len(pending) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, f.config.Timing.PeerCallTimeout.Duration())
	defer cancel()
	// If the call fails, the next check repeats it.
	_, _ = f.peers.Deny(ctx, peer, Deny{Denials: pending})
}

// ServeDeny handles a peer's Deny.
func (f *Follower) ServeDeny(_ context.Context, _ string, deny Deny) (DenyReply, error) {
	f.acceptDenials(deny.Denials)
	f.settleRefused(deny.Settled)
	return DenyReply{}, nil
}

// broadcast sends a Deny to all other live daemons and returns those that
// confirmed it.
func (f *Follower) broadcast(ctx context.Context, deny Deny) []string {
	ctx, cancel := context.WithTimeout(ctx, f.config.Timing.PeerCallTimeout.Duration())
	defer cancel()
	confirmed := &nameSet{}
	confirmed.add(f.config.ID)
	var wg sync.WaitGroup
	for _, m := range f.config.View() {
		if !m.Live() || m.ID == f.config.ID {
			continue
		}
		wg.Go(func() {
			if _, err := f.peers.Deny(ctx, peerOf(m), deny); err == nil {
				confirmed.add(m.ID)
			}
		})
	}
	wg.Wait()
	return confirmed.sorted()
}

// loopSettle writes pending withdrawals while the store is reachable.
func (f *Follower) loopSettle(ctx context.Context) error {
	for {
		if err := f.wait(ctx, f.jitter(f.config.Timing.PollInterval), nil); err != nil {
			return err
		}
		if !f.StoreReachable() {
			continue
		}
		for _, p := range f.dueDenials() {
			f.writeDenial(ctx, p)
		}
	}
}

// dueDenials returns the withdrawals that this daemon should write now. Those
// that it accepted itself are due after WithdrawalTimeout, when Propose no
// longer waits for the store. Those of other daemons are due after AdoptDelay
// on relays. Other daemons wait nonRelayAdoptFactor times as long and write in
// one of nonRelayOneIn intervals, at random.
func (f *Follower) dueDenials() []Denial {
	relay := f.isRelay()
	selected := f.chance(nonRelayOneIn)
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var due []Denial
	for _, p := range f.denials.pending {
		age := now - p.receivedAt
		adopted := relay && age > f.config.Timing.AdoptDelay
		late := selected && age > nonRelayAdoptFactor*f.config.Timing.AdoptDelay
		if p.acceptedHere && age > f.config.Timing.WithdrawalTimeout || adopted || late {
			due = append(due, p.denial)
		}
	}
	return due
}

// writeDenial appends a pending withdrawal to the log.
func (f *Follower) writeDenial(ctx context.Context, denial Denial) {
	appendCtx, cancel := context.WithTimeout(ctx, f.config.Timing.StoreCallTimeout.Duration())
	defer cancel()
	change, err := f.appendDenial(appendCtx, denial)
	switch {
	case err == nil:
		f.applyAccepted(ctx, change)
		f.settleApplied(denial.Proposal.RequestID, change.Sequence)
		f.distribute(ctx, change.Sequence)
	case refused(err) && !denial.Reported:
		f.settle(denial.Proposal.RequestID, false)
		f.broadcast(ctx, Deny{Settled: []string{denial.Proposal.RequestID}})
	}
}

// appendDenial appends the withdrawal to the log. One that was reported to an
// operator as in force is written regardless of the current revision of the
// keys.
func (f *Follower) appendDenial(ctx context.Context, denial Denial) (changelog.Change, error) {
	if !denial.Reported {
		return f.config.Log.Append(ctx, denial.Proposal)
	}
	forced := denial.Proposal
	forced.Expected = make(map[string]uint64, len(forced.Writes))
	for _, write := range forced.Writes {
		forced.Expected[write.Entity] = changelog.AnyRevision
	}
	change, err := f.config.Log.Append(ctx, forced)
	if errors.Is(err, changelog.ErrRequestIDReused) {
		forced.RequestID += retryIDSuffix
		change, err = f.config.Log.Append(ctx, forced)
	}
	return change, err
}
