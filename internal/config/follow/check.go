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
	// maxCheckPeers limits the peers that one check tries.
	maxCheckPeers = 3
	// startPeerCount is the number of peers that a starting daemon queries.
	startPeerCount = 5
)

var (
	errPeerNotStarted = errors.New("follow: peer has no configuration")
	errNoPeers        = errors.New("follow: no other daemon is known")
	errStillBehind    = errors.New("follow: peer's changes do not reach its sequence")
)

func peerOf(m member.Member) link.Peer {
	return link.Peer{ID: m.ID, Address: m.Address}
}

// loopCheck checks with a peer at each interval, or at once when checkNow is
// signaled because a peer has a higher sequence.
func (f *Follower) loopCheck(ctx context.Context) error {
	for {
		if err := f.wait(ctx, f.jitter(f.config.Timing.CheckInterval), f.checkNow); err != nil {
			return err
		}
		f.checkFirstPeer(ctx)
		age, known := f.Age()
		if !known {
			age = -1
		}
		metricAge.Set(int64(age))
	}
}

// checkFirstPeer tries peers in order until one check succeeds.
func (f *Follower) checkFirstPeer(ctx context.Context) {
	for _, peer := range f.checkPeers(maxCheckPeers) {
		if err := f.check(ctx, peer); err == nil {
			metricChecks.Add(1)
			return
		}
	}
}

// checkPeers returns up to n peers in the order in which a check tries them:
// peers with a higher sequence, the relays of this failure domain, then daemons
// in other failure domains. If there are more candidates, the last one replaces
// the nth. A relay tries other failure domains first, because the daemons of
// its own domain get their changes from the relays.
func (f *Follower) checkPeers(n int) []member.Member {
	view := f.config.View()
	var ahead, local, remote []member.Member
	for _, relay := range relays(view, f.config.FailureDomain) {
		if relay.ID != f.config.ID {
			local = append(local, relay)
		}
	}
	for _, m := range view {
		if m.Live() && m.ID != f.config.ID && m.FailureDomain != f.config.FailureDomain {
			remote = append(remote, m)
		}
	}
	f.shuffle(local)
	f.shuffle(remote)
	sequence := f.state.Sequence()
	for _, m := range view {
		if m.ID != f.config.ID && m.Live() && f.peerSequence(m.ID) > sequence {
			ahead = append(ahead, m)
		}
	}
	if f.isRelay() {
		local, remote = remote, local
	}
	candidates := slices.Concat(ahead, local, remote)
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

// check sends a Check to one peer and applies the reply. The freshness and
// contact times advance only after all changes of the reply are applied. They
// count from before the Check was sent, so that a slow reply is not taken for
// fresh.
func (f *Follower) check(ctx context.Context, m member.Member) (err error) {
	defer func() { err = oops.Wrapf(err, "check configuration with %s", m.ID) }()
	peer := peerOf(m)
	sent := f.clock.Now()
	reply, err := f.sendCheck(ctx, peer)
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
	f.recordCheck(m.ID, sent, reply)
	if f.denialsDigest() != reply.DenialsDigest {
		f.pushDenials(ctx, peer)
	}
	return nil
}

func (f *Follower) sendCheck(ctx context.Context, peer link.Peer) (CheckReply, error) {
	ctx, cancel := context.WithTimeout(ctx, f.config.Timing.PeerCallTimeout.Duration())
	defer cancel()
	reply, err := f.peers.Check(ctx, peer, Check{Sequence: f.state.Sequence(), Denials: f.denialsDigest()})
	if err == nil && !reply.Started {
		err = errPeerNotStarted
	}
	return reply, err
}

func (f *Follower) recordCheck(peerID string, sent clock.Millis, reply CheckReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerSequences[peerID] = max(f.peerSequences[peerID], reply.Sequence)
	f.freshness.advanceContact(sent)
	if reply.HasAge {
		f.freshness.advanceFreshAsOf(sent - reply.Age)
	}
}

// catchUp reads the store or, if that fails, copies the peer's state.
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
	if err := f.loadSnapshot(snapshot); err != nil {
		return err
	}
	eventCopied.Log(f.config.Logger, logrus.Fields{"Peer": peer.ID, "Sequence": snapshot.Sequence})
	return nil
}

// startFromPeers queries several peers and copies the state of the one with the
// highest sequence, so that a restarted daemon does not fall behind changes
// that the fleet has acknowledged.
func (f *Follower) startFromPeers(ctx context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "load configuration from peers") }()
	var bestPeer member.Member
	var bestReply CheckReply
	for _, peer := range f.startupPeers() {
		reply, err := f.sendCheck(ctx, peerOf(peer))
		if err != nil {
			continue
		}
		f.acceptDenials(reply.Denials)
		if !bestReply.Started || reply.Sequence > bestReply.Sequence {
			bestPeer, bestReply = peer, reply
		}
	}
	if !bestReply.Started {
		return errNoPeers
	}
	if bestReply.TooOld || f.state.Sequence() < bestReply.Sequence {
		if err := f.copyFrom(ctx, peerOf(bestPeer)); err != nil {
			return err
		}
	}
	if f.state.Sequence() < bestReply.Sequence {
		return errStillBehind
	}
	f.mu.Lock()
	f.freshness.started = true
	f.mu.Unlock()
	return f.check(ctx, bestPeer)
}

func (f *Follower) startupPeers() []member.Member {
	others := make([]member.Member, 0)
	for _, m := range f.config.View() {
		if m.ID != f.config.ID {
			others = append(others, m)
		}
	}
	return member.Pick(others, "Config/Start/"+f.config.ID, startPeerCount)
}

// ServeCheck handles a peer's Check.
func (f *Follower) ServeCheck(_ context.Context, from string, check Check) (CheckReply, error) {
	f.mu.Lock()
	reply := CheckReply{Started: f.freshness.started}
	reply.Age, reply.HasAge = f.freshness.age(f.clock.Now())
	f.peerSequences[from] = max(f.peerSequences[from], check.Sequence)
	f.mu.Unlock()
	// The sequence is read after the age, so that it includes every change
	// that the age accounts for.
	reply.Sequence = f.state.Sequence()
	if check.Sequence < reply.Sequence {
		changes, kept := f.recent.changesAfter(check.Sequence)
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

// ServeCopy handles a peer's CopyRequest.
func (f *Follower) ServeCopy(context.Context, string, CopyRequest) (reply CopyReply, err error) {
	defer func() { err = oops.Wrapf(err, "copy configuration") }()
	snapshot, err := f.state.Snapshot()
	if err != nil {
		return CopyReply{}, err
	}
	reply.Snapshot, err = changelog.EncodeSnapshot(snapshot)
	return reply, err
}
