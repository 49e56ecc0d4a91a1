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
	// refusedKept is how many refused withdrawals are remembered, so that a
	// late push does not deny their keys again.
	refusedKept = 1024
	// adoptLateFactor multiplies Timing.Adopt for daemons that are no relays.
	adoptLateFactor = 4
	// reusedSuffix makes a new request id for a reported withdrawal whose own
	// id turns out to be taken.
	reusedSuffix = "/withdrawal"
)

// denials are the withdrawals that are in force ahead of the log.
type denials struct {
	pending map[string]*pendingDenial
	// refused holds the request ids that the log will never have, and order
	// the same ids, the oldest first.
	refused map[string]bool
	order   []string
}

type pendingDenial struct {
	denial Denial
	keys   []string
	// own says that this daemon accepted the withdrawal.
	own   bool
	since clock.Millis
}

func newDenials() denials {
	return denials{pending: make(map[string]*pendingDenial), refused: make(map[string]bool)}
}

func (d *denials) refuse(requestID string) {
	if d.refused[requestID] {
		return
	}
	d.refused[requestID] = true
	d.order = append(d.order, requestID)
	if len(d.order) > refusedKept {
		delete(d.refused, d.order[0])
		d.order = d.order[1:]
	}
}

// holds reports whether a pending withdrawal names the key.
func (d *denials) holds(key string) bool {
	for _, p := range d.pending {
		if slices.Contains(p.keys, key) {
			return true
		}
	}
	return false
}

// withdrawnKeys returns the keys that the proposal withdraws or deletes, and
// whether it does nothing else.
func withdrawnKeys(proposal changelog.Proposal) (keys []string, only bool) {
	only = true
	for _, write := range proposal.Writes {
		kind, name := state.SplitName(write.Entity)
		if kind == entity.KindKey && (write.Deleted || withdraws(write)) {
			keys = append(keys, name)
			continue
		}
		only = false
	}
	return keys, only
}

func withdraws(write changelog.Write) bool {
	decoded, err := state.Decode(write.Entity, write.Value)
	if err != nil {
		return false
	}
	key, isKey := decoded.(entity.Key)
	return isKey && key.Withdrawn
}

// acceptDenials takes over withdrawals that peers hold.
func (f *Follower) acceptDenials(received []Denial) {
	for _, denial := range received {
		f.hold(denial, false)
	}
}

// hold denies the keys of a withdrawal until it is settled.
func (f *Follower) hold(denial Denial, own bool) {
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
		known.own = known.own || own
	case !own && !denial.Reported && f.denials.refused[requestID]:
		f.mu.Unlock()
		return
	default:
		f.denials.pending[requestID] = &pendingDenial{denial: denial, keys: keys, own: own, since: f.clock.Now()}
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

// settle ends a pending withdrawal: the log has it, or never will.
func (f *Follower) settle(requestID string, inLog bool) {
	f.mu.Lock()
	settled := f.denials.pending[requestID]
	delete(f.denials.pending, requestID)
	if !inLog {
		f.denials.refuse(requestID)
	}
	var released []string
	if settled != nil {
		for _, key := range settled.keys {
			if !f.denials.holds(key) {
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

// settleApplied settles a withdrawal that the log has, once that part of the
// log is applied: the key must not be admitted in between.
func (f *Follower) settleApplied(requestID string, sequence uint64) {
	if f.state.Sequence() >= sequence {
		f.settle(requestID, true)
	}
}

// settleRefused settles what a peer knows to be refused, but for withdrawals
// that an operator was told to be in force.
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

// denialsDigest identifies the set of pending withdrawals; 0 for none.
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
	held := make([]Denial, 0, len(f.denials.pending))
	for _, p := range f.denials.pending {
		held = append(held, p.denial)
	}
	return held
}

// adoptDenials learns the pending withdrawals from some peer, if one answers.
func (f *Follower) adoptDenials(ctx context.Context) {
	for _, peer := range f.startPeers() {
		reply, err := f.ask(ctx, peerOf(peer))
		if err == nil {
			f.acceptDenials(reply.Denials)
			return
		}
	}
}

// pushDenials sends the pending withdrawals to a peer that has others.
func (f *Follower) pushDenials(ctx context.Context, peer link.Peer) {
	held := f.pendingDenials()
	if len(held) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, f.config.Timing.PeerCallTimeout.Duration())
	defer cancel()
	// A failure is repaired by the next check.
	_, _ = f.peers.Deny(ctx, peer, Deny{Denials: held})
}

// ServeDeny answers a peer's Deny.
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

// loopSettle writes pending withdrawals when the store is back.
func (f *Follower) loopSettle(ctx context.Context) error {
	for {
		if err := f.wait(ctx, f.jitter(f.config.Timing.PollInterval), nil); err != nil {
			return err
		}
		if !f.StoreReachable() {
			continue
		}
		for _, p := range f.duePending() {
			f.write(ctx, p)
		}
	}
}

// duePending returns the withdrawals that this daemon should write now: its
// own at once, those of others after they had the time to do it.
func (f *Follower) duePending() []Denial {
	relay := f.isRelay()
	lucky := f.chance(ownPollOneIn)
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var due []Denial
	for _, p := range f.denials.pending {
		age := now - p.since
		adopted := relay && age > f.config.Timing.AdoptDelay
		late := lucky && age > adoptLateFactor*f.config.Timing.AdoptDelay
		if p.own && age > f.config.Timing.WithdrawalTimeout || adopted || late {
			due = append(due, p.denial)
		}
	}
	return due
}

// write brings a pending withdrawal into the log.
func (f *Follower) write(ctx context.Context, denial Denial) {
	appending, cancel := context.WithTimeout(ctx, f.config.Timing.StoreCallTimeout.Duration())
	defer cancel()
	change, err := f.appendDenial(appending, denial)
	switch {
	case err == nil:
		f.takeIn(ctx, change)
		f.settleApplied(denial.Proposal.RequestID, change.Sequence)
		f.spread(ctx, change.Sequence)
	case refused(err) && !denial.Reported:
		f.settle(denial.Proposal.RequestID, false)
		f.broadcast(ctx, Deny{Settled: []string{denial.Proposal.RequestID}})
	}
}

// appendDenial appends the withdrawal. One that an operator was told to be in
// force is written whatever revision the keys have by now.
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
		forced.RequestID += reusedSuffix
		change, err = f.config.Log.Append(ctx, forced)
	}
	return change, err
}
