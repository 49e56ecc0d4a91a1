// Package replicate keeps usage batches of this daemon, and copies of other
// daemons' batches, in memory until they are in the table.
//
// A new batch is copied to two daemons in other failure domains of the region at
// once, and is written to the table every few seconds. When a daemon dies, the
// daemons that hold its copies write them. Packages batch and window explain why
// no batch is counted twice.
//
// # Usage
//
//	r := replicate.New(replicate.Config{Link: l, Clock: clk, Logger: logger, Table: client, Self: self,
//		Incarnation: replicate.Incarnation(self, nonce), View: membership.View, TakePayload: usageMeter.TakePayload})
//	l.Start() // New has registered the handler
//	go r.Run(ctx)
//	// at shutdown, after the last request:
//	err := r.Flush(ctx)
package replicate

import (
	"context"
	"errors"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/banyanshift/banyanshift/coord/batch"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// BatchPrefix starts the keys of the rows of all usage batches.
const BatchPrefix = "Usage/Batch/"

// The limits of a Replicator.
const (
	// copyCount is the number of other daemons that hold a copy of each batch.
	copyCount = 2
	// minInterval is the minimum time between two batches.
	minInterval = 250 * clock.Millisecond
	// copyBytesPerSecond is the share of the control-traffic budget that
	// copies may use.
	copyBytesPerSecond = 1500
	saveInterval       = 10 * clock.Second
	saveCount          = 200
	callTimeout        = 2 * clock.Second
	copyTimeout        = clock.Second
	// maxOwnBytes limits the memory for this daemon's unsaved batches,
	// maxCopyBytes the memory for copies of other daemons' batches.
	maxOwnBytes  = 8 << 20
	maxCopyBytes = 16 << 20
	// rescueGrace is how long a daemon must have been dead, and rescueSilence
	// how long a live daemon must have been silent about its batches, before
	// other daemons write them.
	rescueGrace   = 10 * clock.Second
	rescueSilence = 60 * clock.Second
	// avoidTime is how long a peer is not picked after a call to it failed.
	// The view of the daemons lags by seconds and still lists dead peers.
	avoidTime = 5 * clock.Second
	// maxFlushWait is how long a daemon that shuts down waits for the table.
	// After that it relies on the copies at other daemons.
	maxFlushWait = 3 * clock.Second
)

// Ack is the response to a batch.CopyRequest.
type Ack struct {
	// Incarnation is the incarnation of the responding daemon. If it differs
	// from the previous one, the daemon restarted and lost its copies.
	Incarnation string
	// Full means that the memory limit for copies is reached and the request
	// was not stored.
	Full bool
	// Leaving means that the daemon is shutting down and stores no copies.
	Leaving bool
}

// Config configures a Replicator. All fields must be set.
type Config struct {
	Link   *link.Link
	Clock  clock.Clock
	Logger logrus.FieldLogger
	Table  table.Client
	// Self is this daemon.
	Self        member.Member
	Incarnation string
	// View returns the members that this daemon knows, with their states.
	View func() []member.Member
	// TakePayload returns the encoded usage since the last call. ok is false
	// if there is none.
	TakePayload func() (payload []byte, ok bool)
}

// Replicator copies this daemon's batches to its peers and stores the copies of
// their batches.
type Replicator struct {
	cfg    Config
	owner  *batch.Owner
	copies *batch.CopyStore

	mu sync.Mutex
	// incarnations holds the incarnation in the last Ack of each peer.
	incarnations map[string]string
	// leavingPeers holds the peers that responded with Leaving and have not
	// restarted since. avoidUntil holds, for each peer to which a call failed,
	// the time until which it is not picked.
	leavingPeers map[string]bool
	avoidUntil   map[string]clock.Millis
	// lastLogged holds the time at which a failure of each step was last
	// logged.
	lastLogged map[string]clock.Millis
	// leaving is set when this daemon starts to shut down.
	leaving bool
}

var errLeaving = errors.New("replicate: peer is leaving")

// Incarnation returns the name under which a daemon's batches are stored. nonce
// must be new at each start of the process and contain no dot, except that it may
// start with the daemon's ID and a dot, which are removed.
func Incarnation(self member.Member, nonce string) string {
	return self.Region + "/" + self.ID + "." + strings.TrimPrefix(nonce, self.ID+".")
}

// ownerID returns the ID of the daemon that an incarnation belongs to.
func ownerID(incarnation string) string {
	name := incarnation[strings.IndexByte(incarnation, '/')+1:]
	if dot := strings.LastIndexByte(name, '.'); dot >= 0 {
		return name[:dot]
	}
	return name
}

// New returns a Replicator and registers its message handler with cfg.Link.
func New(cfg Config) *Replicator {
	r := &Replicator{
		cfg:          cfg,
		incarnations: make(map[string]string),
		leavingPeers: make(map[string]bool),
		avoidUntil:   make(map[string]clock.Millis),
		lastLogged:   make(map[string]clock.Millis),
	}
	r.owner = batch.NewOwner(batch.OwnerConfig{
		Table: cfg.Table, Clock: cfg.Clock, Prefix: BatchPrefix, Incarnation: cfg.Incarnation,
		NextPayload: cfg.TakePayload, Peers: r.peers, Copy: r.sendCopyRequest, PeerLost: r.isDead,
		MinCutInterval: minInterval, BytesPerSecond: copyBytesPerSecond, SaveInterval: saveInterval, MaxBatchesPerSave: saveCount,
		MaxBytes: maxOwnBytes, CallTimeout: callTimeout, CopyTimeout: copyTimeout, Observe: r.recordFailure,
	})
	r.copies = batch.NewCopyStore(batch.CopyStoreConfig{
		Table: cfg.Table, Clock: cfg.Clock, Prefix: BatchPrefix, Alive: r.isAlive, GracePeriod: rescueGrace, SilenceTimeout: rescueSilence,
		MaxBytes: maxCopyBytes, MaxBatchesPerSave: saveCount, CallTimeout: callTimeout, Observe: r.recordRescue,
		FallbackPeers: r.handOverPeers, Copy: r.sendCopyRequest,
	})
	link.Handle(cfg.Link, message.UsageReplicate, r.handleCopyRequest)
	return r
}

// Run copies, saves and rescues batches until ctx is done.
func (r *Replicator) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return r.owner.Run(ctx) })
	group.Go(func() error { return r.copies.Run(ctx) })
	group.Go(func() error { return r.gaugeLoop(ctx) })
	return group.Wait()
}

func (r *Replicator) gaugeLoop(ctx context.Context) error {
	for {
		unsavedBytes.Set(int64(r.owner.Bytes()))
		copiedBytes.Set(int64(r.copies.Bytes()))
		if err := r.cfg.Clock.Sleep(ctx, clock.Second); err != nil {
			return err
		}
	}
}

// Flush writes this daemon's usage to the table and hands the copies that it holds
// to other daemons. Call it at shutdown, after Run has returned and the last
// request was metered, and before the link is closed.
func (r *Replicator) Flush(ctx context.Context) error {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	err := r.owner.Flush(ctx, maxFlushWait)
	return errors.Join(err, r.copies.HandOver(ctx))
}

// peers returns the daemons that should hold copies of this daemon's batches.
func (r *Replicator) peers() []string {
	return r.pickPeers(r.cfg.Incarnation, r.cfg.Self.FailureDomain)
}

// handOverPeers returns the daemons to which this daemon hands its copies of
// another daemon's batches.
func (r *Replicator) handOverPeers(incarnation string) []string {
	owner, _ := r.findMember(ownerID(incarnation))
	return r.pickPeers(incarnation, owner.FailureDomain)
}

// pickPeers returns up to copyCount other daemons of the region for a key. It
// prefers daemons outside failureDomain and fills up with daemons inside it.
func (r *Replicator) pickPeers(key, failureDomain string) (ids []string) {
	var otherDomains, sameDomain []member.Member
	for _, m := range r.cfg.View() {
		switch {
		case m.ID == r.cfg.Self.ID || m.Region != r.cfg.Self.Region || r.isAvoided(m.ID):
		case m.FailureDomain == failureDomain:
			sameDomain = append(sameDomain, m)
		default:
			otherDomains = append(otherDomains, m)
		}
	}
	picked := member.Pick(otherDomains, key, copyCount)
	picked = append(picked, member.Pick(sameDomain, key, copyCount-len(picked))...)
	for _, m := range picked {
		ids = append(ids, m.ID)
	}
	return ids
}

// isAvoided reports whether a peer must not be picked, since it is leaving or a
// recent call to it failed.
func (r *Replicator) isAvoided(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, failed := r.avoidUntil[id]
	if failed && r.cfg.Clock.Now() >= until {
		delete(r.avoidUntil, id)
		failed = false
	}
	return r.leavingPeers[id] || failed
}

func (r *Replicator) findMember(id string) (found member.Member, live bool) {
	for _, m := range r.cfg.View() {
		if m.ID == id {
			return m, m.Live()
		}
	}
	return member.Member{}, false
}

func (r *Replicator) isDead(id string) bool {
	_, live := r.findMember(id)
	return !live
}

func (r *Replicator) isAlive(incarnation string) bool {
	_, live := r.findMember(ownerID(incarnation))
	return live
}

func (r *Replicator) sendCopyRequest(ctx context.Context, id string, request batch.CopyRequest) error {
	m, live := r.findMember(id)
	if !live {
		return link.ErrUnreachable
	}
	peer := link.Peer{ID: m.ID, Address: m.Address}
	ack, err := link.Call[batch.CopyRequest, Ack](ctx, r.cfg.Link, peer, message.UsageReplicate, request)
	if err != nil {
		r.avoid(id)
		return err
	}
	if r.recordAck(id, ack) {
		r.owner.ForgetPeer(id)
	}
	switch {
	case ack.Leaving:
		return errLeaving
	case ack.Full:
		return batch.ErrFull
	}
	return nil
}

// avoid excludes a peer from pickPeers for avoidTime.
func (r *Replicator) avoid(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoidUntil[id] = r.cfg.Clock.Now() + avoidTime
}

// recordAck records a peer's Ack and reports whether the peer no longer holds the
// copies that it had, because it restarted or is leaving.
func (r *Replicator) recordAck(id string, ack Ack) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, known := r.incarnations[id]
	restarted := known && previous != ack.Incarnation
	r.incarnations[id] = ack.Incarnation
	if ack.Leaving {
		r.leavingPeers[id] = true
	} else if restarted {
		delete(r.leavingPeers, id)
	}
	return restarted || ack.Leaving
}

// handleCopyRequest stores the copies in another daemon's request.
func (r *Replicator) handleCopyRequest(_ context.Context, _ string, request batch.CopyRequest) (Ack, error) {
	ack := Ack{Incarnation: r.cfg.Incarnation}
	if len(request.Sequences) != len(request.Payloads) || !strings.Contains(request.Incarnation, "/") {
		return ack, errMalformedCopyRequest
	}
	r.mu.Lock()
	ack.Leaving = r.leaving
	r.mu.Unlock()
	if !ack.Leaving {
		ack.Full = r.copies.Put(request) != nil
	}
	return ack, nil
}
