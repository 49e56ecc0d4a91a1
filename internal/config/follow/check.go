package follow

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/peer/link"
)

const (
	// checkAttempts is how many peers one check tries.
	checkAttempts = 3
	// startPeers is how many peers a starting daemon asks.
	startPeers = 5
)

var (
	errPeerNotStarted = errors.New("follow: peer has no configuration")
	errNoPeers        = errors.New("follow: no other daemon is known")
	errStillBehind    = errors.New("follow: peer's changes do not reach its sequence")
)

func peerOf(m member.Member) link.Peer {
	return link.Peer{ID: m.ID, Address: m.Address}
}

// loopCheck checks with a peer at each interval, or at once when a peer is
// heard to be ahead.
func (f *Follower) loopCheck(ctx context.Context) error {
	for {
		if err := f.wait(ctx, f.jitter(f.config.Timing.CheckInterval), f.checkNow); err != nil {
			return err
		}
		f.checkAny(ctx)
		age, known := f.Age()
		if !known {
			age = -1
		}
		metricAge.Set(int64(age))
	}
}

// checkAny checks with the first peer that answers.
func (f *Follower) checkAny(ctx context.Context) {
	for _, peer := range f.checkPeers(checkAttempts) {
		if err := f.check(ctx, peer); err == nil {
			metricChecks.Add(1)
			return
		}
	}
}

// checkPeers returns peers in the order in which a check tries them: those
// known to be ahead, a relay of the own failure domain, the other one, and some
// daemon elsewhere. A relay begins elsewhere, since the others of its domain
// know no more than itself.
func (f *Follower) checkPeers(n int) []member.Member {
	view := f.config.View()
	var ahead, near, far []member.Member
	for _, relay := range relays(view, f.config.FailureDomain) {
		if relay.ID != f.config.ID {
			near = append(near, relay)
		}
	}
	for _, m := range view {
		if m.Live() && m.ID != f.config.ID && m.FailureDomain != f.config.FailureDomain {
			far = append(far, m)
		}
	}
	f.shuffle(near)
	f.shuffle(far)
	sequence := f.state.Sequence()
	for _, m := range view {
		if m.ID != f.config.ID && m.Live() && f.sequenceOf(m.ID) > sequence {
			ahead = append(ahead, m)
		}
	}
	if f.isRelay() {
		near, far = far, near
	}
	candidates := slices.Concat(ahead, near, far)
	if len(candidates) > n {
		candidates = append(candidates[:n-1], candidates[len(candidates)-1])
	}
	return candidates
}

func (f *Follower) shuffle(members []member.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config.Rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}

// check asks one peer and applies what it answers. Only when that is complete
// does it count as evidence and as contact, from before the question was sent.
func (f *Follower) check(ctx context.Context, m member.Member) (err error) {
	defer func() { err = oops.Wrapf(err, "check configuration with %s", m.ID) }()
	peer := peerOf(m)
	sent := f.clock.Now()
	reply, err := f.ask(ctx, peer)
	if err != nil {
		return err
	}
	f.acceptDenials(reply.Denials)
	if reply.TooOld {
		if err := f.catchUp(ctx, peer); err != nil {
			return err
		}
	}
	applied, err := f.apply(reply.Changes)
	if err != nil {
		return err
	}
	metricRepairs.Add(int64(applied))
	if f.state.Sequence() < reply.Sequence {
		signal(f.checkNow)
		return fmt.Errorf("%w: at %d of %d", errStillBehind, f.state.Sequence(), reply.Sequence)
	}
	f.noteCheck(m.ID, sent, reply)
	if f.denialsDigest() != reply.DenialsDigest {
		f.pushDenials(ctx, peer)
	}
	return nil
}

func (f *Follower) ask(ctx context.Context, peer link.Peer) (CheckReply, error) {
	ctx, cancel := context.WithTimeout(ctx, f.config.Timing.PeerCallTimeout.Duration())
	defer cancel()
	reply, err := f.peers.Check(ctx, peer, Check{Sequence: f.state.Sequence(), Denials: f.denialsDigest()})
	if err == nil && !reply.Started {
		err = errPeerNotStarted
	}
	return reply, err
}

func (f *Follower) noteCheck(peerID string, sent clock.Millis, reply CheckReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequences[peerID] = max(f.sequences[peerID], reply.Sequence)
	f.freshness.addContact(sent)
	if reply.HasAge {
		f.freshness.addEvidence(sent - reply.Age)
	}
}

// catchUp reads the store or, when that fails, copies the peer's state.
func (f *Follower) catchUp(ctx context.Context, peer link.Peer) error {
	if f.poll(ctx) == nil {
		return nil
	}
	return f.copyFrom(ctx, peer)
}

func (f *Follower) copyFrom(ctx context.Context, peer link.Peer) (err error) {
	defer func() { err = oops.Wrapf(err, "copy configuration from %s", peer.ID) }()
	ctx, cancel := context.WithTimeout(ctx, loadTimeout.Duration())
	defer cancel()
	got, err := f.peers.Copy(ctx, peer, CopyRequest{})
	if err != nil {
		return err
	}
	snapshot, err := changelog.DecodeSnapshot(got.Snapshot)
	if err != nil {
		return err
	}
	if err := f.load(snapshot); err != nil {
		return err
	}
	eventCopied.Log(f.config.Logger, logrus.Fields{"Peer": peer.ID, "Sequence": snapshot.Sequence})
	return nil
}

// startFromPeers asks several peers and takes the state of the one that is
// furthest, so that a restarted daemon does not fall behind what the fleet has
// acknowledged.
func (f *Follower) startFromPeers(ctx context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "load configuration from peers") }()
	var best member.Member
	var furthest CheckReply
	for _, peer := range f.startPeers() {
		reply, err := f.ask(ctx, peerOf(peer))
		if err != nil {
			continue
		}
		f.acceptDenials(reply.Denials)
		if !furthest.Started || reply.Sequence > furthest.Sequence {
			best, furthest = peer, reply
		}
	}
	if !furthest.Started {
		return errNoPeers
	}
	if furthest.TooOld || f.state.Sequence() < furthest.Sequence {
		if err := f.copyFrom(ctx, peerOf(best)); err != nil {
			return err
		}
	}
	if f.state.Sequence() < furthest.Sequence {
		return errStillBehind
	}
	f.mu.Lock()
	f.freshness.started = true
	f.mu.Unlock()
	return f.check(ctx, best)
}

func (f *Follower) startPeers() []member.Member {
	others := make([]member.Member, 0)
	for _, m := range f.config.View() {
		if m.ID != f.config.ID {
			others = append(others, m)
		}
	}
	return member.Pick(others, "Config/Start/"+f.config.ID, startPeers)
}

// ServeCheck answers a peer's Check.
func (f *Follower) ServeCheck(_ context.Context, from string, check Check) (CheckReply, error) {
	f.mu.Lock()
	reply := CheckReply{Started: f.freshness.started}
	reply.Age, reply.HasAge = f.freshness.age(f.clock.Now())
	f.sequences[from] = max(f.sequences[from], check.Sequence)
	f.mu.Unlock()
	// The sequence is read after the evidence, so that it covers it.
	reply.Sequence = f.state.Sequence()
	if check.Sequence < reply.Sequence {
		changes, kept := f.recent.after(check.Sequence)
		reply.Changes, reply.TooOld = changes, !kept
	}
	if check.Sequence > reply.Sequence {
		signal(f.checkNow)
	}
	reply.DenialsDigest = f.denialsDigest()
	if reply.DenialsDigest != check.Denials {
		reply.Denials = f.pendingDenials()
	}
	return reply, nil
}

// ServeCopy answers a peer's CopyRequest.
func (f *Follower) ServeCopy(context.Context, string, CopyRequest) (reply CopyReply, err error) {
	defer func() { err = oops.Wrapf(err, "copy configuration") }()
	snapshot, err := f.state.Snapshot()
	if err != nil {
		return CopyReply{}, err
	}
	reply.Snapshot, err = changelog.EncodeSnapshot(snapshot)
	return reply, err
}
