package follow

import (
	"context"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// Check requests the changes and pending withdrawals that the sender lacks.
type Check struct {
	// Sequence is the last sequence that the sender has applied.
	Sequence uint64
	// Denials is the digest of the sender's pending withdrawals.
	Denials uint64
}

// CheckReply is the reply to a Check.
type CheckReply struct {
	// Started is set if the replying daemon knows a head of the log. If not,
	// the other fields have no meaning.
	Started bool
	// Sequence is the last sequence that the replying daemon has applied.
	Sequence uint64
	// HasAge is set if Age is known. Every change accepted longer ago than
	// Age is included in Sequence.
	HasAge bool
	Age    clock.Millis
	// Changes are the changes after the sequence of the Check.
	Changes []changelog.Change
	// TooOld is set if the replying daemon no longer has these changes.
	TooOld bool
	// Denials are the pending withdrawals, sent if the digests differ.
	Denials []Denial
	// DenialsDigest is the digest of the replying daemon's pending
	// withdrawals.
	DenialsDigest uint64
}

// Push sends changes to a peer that may lack them.
type Push struct {
	Changes []changelog.Change
	// Relay requests that the receiver forwards the changes to its failure
	// domain and waits for the confirmations.
	Relay bool
}

// PushReply confirms a Push.
type PushReply struct {
	// Sequence is the last sequence that the receiver has applied.
	Sequence uint64
	// Confirmed are the daemons of the receiver's failure domain, including
	// the receiver, that have applied the last of the changes.
	Confirmed []string
}

// Denial is a withdrawal of keys that may not be in the log yet.
type Denial struct {
	Proposal changelog.Proposal
	// Reported is set once the withdrawal was reported to an operator as in
	// force. It is then written even if the keys have changed.
	Reported bool
}

// Deny requests that a peer denies the keys of pending withdrawals.
type Deny struct {
	Denials []Denial
	// Settled are the request IDs of withdrawals that will never be in the
	// log and no longer deny their keys.
	Settled []string
}

// DenyReply confirms a Deny.
type DenyReply struct{}

// CopyRequest requests the complete state of a peer.
type CopyRequest struct{}

// CopyReply is the complete state of a peer.
type CopyReply struct {
	// Snapshot is encoded by changelog.EncodeSnapshot.
	Snapshot []byte
}

// PeerClient sends messages to other daemons. All fields must be set.
type PeerClient struct {
	Check func(ctx context.Context, peer link.Peer, check Check) (CheckReply, error)
	Push  func(ctx context.Context, peer link.Peer, push Push) (PushReply, error)
	Deny  func(ctx context.Context, peer link.Peer, deny Deny) (DenyReply, error)
	Copy  func(ctx context.Context, peer link.Peer, request CopyRequest) (CopyReply, error)
}

// Register registers the message handlers on the link and uses the link to call
// peers. It must be called before the link is started.
func (f *Follower) Register(l *link.Link) {
	link.Handle(l, message.ConfigHead, f.ServeCheck)
	link.Handle(l, message.ConfigDeltas, f.ServePush)
	link.Handle(l, message.ConfigDeny, f.ServeDeny)
	link.Handle(l, message.ConfigSnapshot, f.ServeCopy)
	f.SetPeers(linkPeers(l))
}

// SetPeers sets the functions that call peers. It must be called before Run.
func (f *Follower) SetPeers(peers PeerClient) {
	f.peers = peers
}

func linkPeers(l *link.Link) PeerClient {
	return PeerClient{
		Check: func(ctx context.Context, peer link.Peer, check Check) (CheckReply, error) {
			return link.Call[Check, CheckReply](ctx, l, peer, message.ConfigHead, check)
		},
		Push: func(ctx context.Context, peer link.Peer, push Push) (PushReply, error) {
			return link.Call[Push, PushReply](ctx, l, peer, message.ConfigDeltas, push)
		},
		Deny: func(ctx context.Context, peer link.Peer, deny Deny) (DenyReply, error) {
			return link.Call[Deny, DenyReply](ctx, l, peer, message.ConfigDeny, deny)
		},
		Copy: func(ctx context.Context, peer link.Peer, request CopyRequest) (CopyReply, error) {
			return link.Call[CopyRequest, CopyReply](ctx, l, peer, message.ConfigSnapshot, request)
		},
	}
}
