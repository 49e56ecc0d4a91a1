package follow

import (
	"context"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// Check asks a peer what the sender lacks.
type Check struct {
	// Sequence is what the sender has applied.
	Sequence uint64
	// Denials is the digest of the sender's pending withdrawals.
	Denials uint64
}

// CheckReply tells what the sender of a Check lacks.
type CheckReply struct {
	// Started says that the answering daemon knows a head; otherwise the
	// reply says nothing.
	Started bool
	// Sequence is what the answering daemon had applied.
	Sequence uint64
	// HasAge says that Age is set: every change accepted longer ago than Age
	// is in Sequence.
	HasAge bool
	Age    clock.Millis
	// Changes follow the sender's sequence.
	Changes []changelog.Change
	// TooOld says that the changes are not kept any more.
	TooOld bool
	// Denials are pending withdrawals, when the digests differ.
	Denials []Denial
	// DenialsDigest is the digest of the pending withdrawals.
	DenialsDigest uint64
}

// Push hands changes to a peer that may lack them.
type Push struct {
	Changes []changelog.Change
	// Relay asks the receiver to push them on to its failure domain and to
	// wait for the answers.
	Relay bool
}

// PushReply confirms a Push.
type PushReply struct {
	// Sequence is what the receiver has applied.
	Sequence uint64
	// Confirmed are the daemons of the receiver's failure domain, itself
	// included, that have applied the last of the changes.
	Confirmed []string
}

// Denial is a withdrawal of keys that may not be in the log yet.
type Denial struct {
	Proposal changelog.Proposal
	// Reported says that an operator was told that the withdrawal is in
	// force: it is then written whatever became of the keys.
	Reported bool
}

// Deny asks a peer to refuse the keys of withdrawals from now on.
type Deny struct {
	Denials []Denial
	// Settled are requests that are known not to be in the log and never
	// will be; their keys are no longer denied on their account.
	Settled []string
}

// DenyReply confirms a Deny.
type DenyReply struct{}

// CopyRequest asks a peer for its whole state.
type CopyRequest struct{}

// CopyReply is the whole state of a peer.
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

// Register makes the follower speak to its peers over the link. It must be
// called before the link is started.
func (f *Follower) Register(l *link.Link) {
	link.Handle(l, message.ConfigHead, f.ServeCheck)
	link.Handle(l, message.ConfigDeltas, f.ServePush)
	link.Handle(l, message.ConfigDeny, f.ServeDeny)
	link.Handle(l, message.ConfigSnapshot, f.ServeCopy)
	f.SetPeers(linkPeers(l))
}

// SetPeers makes the follower speak to its peers through the functions. It must be
// called before Run.
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
