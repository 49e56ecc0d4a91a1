// Package replicate keeps the usage that this daemon has metered, and copies of
// other daemons' usage, until it is in the table.
//
// Every batch is copied to two daemons in other failure domains of the region as
// soon as it is cut, and written to the table every few seconds. When a daemon
// dies, the daemons that have its copies write them. See packages batch and
// window for why no batch is counted twice.
//
// # Usage
//
//	r := replicate.New(replicate.Config{Link: l, Clock: clk, Logger: logger, Table: client, Self: self,
//		Incarnation: replicate.Incarnation(self, nonce), View: membership.View, TakePayload: m.TakePayload})
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
	// copyCount is how many other daemons have a copy of each batch.
	copyCount = 2
	// minInterval is the least time between two cuts.
	minInterval = 250 * clock.Millisecond
	// bytesPerSecond is what copies may take of the budget for control
	// traffic.
	bytesPerSecond = 1500
	saveInterval   = 10 * clock.Second
	saveCount      = 200
	callTimeout    = 2 * clock.Second
	copyTimeout    = clock.Second
	// ownBytes bounds the batches of this daemon that wait for the table,
	// copyBytes the copies of others'.
	ownBytes  = 8 << 20
	copyBytes = 16 << 20
	// grace and silence are how long a daemon is dead, or silent, before its
	// batches are written by others.
	grace   = 10 * clock.Second
	silence = 60 * clock.Second
	// avoidTime is for how long a peer that could not be reached is not
	// picked. The list of daemons lags by seconds.
	avoidTime = 5 * clock.Second
	// patience is how long a daemon that ends waits for the table. After it
	// the copies suffice.
	patience = 3 * clock.Second
)

// Ack answers a parcel.
type Ack struct {
	// Incarnation is that of the daemon that keeps the copies. When it
	// changes, earlier copies are lost.
	Incarnation string
	// Full says that there was no memory for the parcel.
	Full bool
	// Leaving says that the daemon ends and keeps no copies any more.
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
	// View returns the daemons that are believed to live.
	View func() []member.Member
	// TakePayload returns the usage since the last call.
	TakePayload func() (payload []byte, ok bool)
}

// Replicator is one daemon's part in keeping usage.
type Replicator struct {
	cfg    Config
	owner  *batch.Owner
	copies *batch.CopyStore

	mu sync.Mutex
	// incarnations holds that of each peer at its last answer.
	incarnations map[string]string
	// leavers are the peers that have said that they end, unreachable those
	// that could not be reached, with the instant until which that counts.
	leavers     map[string]bool
	unreachable map[string]clock.Millis
	// logged is when a failure of each step was last logged.
	logged map[string]clock.Millis
	// ending is set once this daemon ends.
	ending bool
}

var errLeaving = errors.New("replicate: peer is leaving")

// Incarnation returns the name under which a daemon's batches are kept. nonce
// must be new at each start of the process and hold no dot; the daemon's name and
// a dot before it are left out.
func Incarnation(self member.Member, nonce string) string {
	return self.Region + "/" + self.ID + "." + strings.TrimPrefix(nonce, self.ID+".")
}

// ownerID returns the daemon's name in an incarnation.
func ownerID(incarnation string) string {
	name := incarnation[strings.IndexByte(incarnation, '/')+1:]
	if dot := strings.LastIndexByte(name, '.'); dot >= 0 {
		return name[:dot]
	}
	return name
}

// New returns a Replicator and registers its handler at the link.
func New(cfg Config) *Replicator {
	r := &Replicator{
		cfg:          cfg,
		incarnations: make(map[string]string),
		leavers:      make(map[string]bool),
		unreachable:  make(map[string]clock.Millis),
		logged:       make(map[string]clock.Millis),
	}
	r.owner = batch.NewOwner(batch.OwnerConfig{
		Table: cfg.Table, Clock: cfg.Clock, Prefix: BatchPrefix, Incarnation: cfg.Incarnation,
		NextPayload: cfg.TakePayload, Peers: r.peers, Copy: r.copy, PeerLost: r.gone,
		MinCutInterval: minInterval, BytesPerSecond: bytesPerSecond, SaveInterval: saveInterval, MaxBatchesPerSave: saveCount,
		MaxBytes: ownBytes, CallTimeout: callTimeout, CopyTimeout: copyTimeout, Observe: r.failed,
	})
	r.copies = batch.NewCopyStore(batch.CopyStoreConfig{
		Table: cfg.Table, Clock: cfg.Clock, Prefix: BatchPrefix, Alive: r.alive, GracePeriod: grace, SilenceTimeout: silence,
		MaxBytes: copyBytes, MaxBatchesPerSave: saveCount, CallTimeout: callTimeout, Observe: r.rescued,
		FallbackPeers: r.heirs, Copy: r.copy,
	})
	link.Handle(cfg.Link, message.UsageReplicate, r.take)
	return r
}

// Run keeps usage until ctx ends.
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

// Flush writes this daemon's usage to the table, and passes the copies of others
// on. It is called at shutdown, when Run has ended and no request will be metered
// any more, and before the link is closed.
func (r *Replicator) Flush(ctx context.Context) error {
	r.mu.Lock()
	r.ending = true
	r.mu.Unlock()
	err := r.owner.Flush(ctx, patience)
	return errors.Join(err, r.copies.HandOver(ctx))
}

// peers returns the daemons that should have copies of this one's batches.
func (r *Replicator) peers() []string {
	return r.pick(r.cfg.Incarnation, r.cfg.Self.FailureDomain)
}

// heirs returns the daemons that get the copies of another daemon's batches.
func (r *Replicator) heirs(incarnation string) []string {
	owner, _ := r.find(ownerID(incarnation))
	return r.pick(incarnation, owner.FailureDomain)
}

// pick returns daemons other than this one for a key: of the region and of other
// failure domains than apart, or failing that, of the region.
func (r *Replicator) pick(key, apart string) (ids []string) {
	var distant, near []member.Member
	for _, m := range r.cfg.View() {
		switch {
		case m.ID == r.cfg.Self.ID || m.Region != r.cfg.Self.Region || r.avoids(m.ID):
		case m.FailureDomain == apart:
			near = append(near, m)
		default:
			distant = append(distant, m)
		}
	}
	picked := member.Pick(distant, key, copyCount)
	picked = append(picked, member.Pick(near, key, copyCount-len(picked))...)
	for _, m := range picked {
		ids = append(ids, m.ID)
	}
	return ids
}

// avoids reports whether a peer is not to be picked.
func (r *Replicator) avoids(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, failed := r.unreachable[id]
	if failed && r.cfg.Clock.Now() >= until {
		delete(r.unreachable, id)
		failed = false
	}
	return r.leavers[id] || failed
}

func (r *Replicator) find(id string) (found member.Member, live bool) {
	for _, m := range r.cfg.View() {
		if m.ID == id {
			return m, m.Live()
		}
	}
	return member.Member{}, false
}

func (r *Replicator) gone(id string) bool {
	_, live := r.find(id)
	return !live
}

func (r *Replicator) alive(incarnation string) bool {
	_, live := r.find(ownerID(incarnation))
	return live
}

func (r *Replicator) copy(ctx context.Context, id string, parcel batch.CopyRequest) error {
	m, live := r.find(id)
	if !live {
		return link.ErrUnreachable
	}
	peer := link.Peer{ID: m.ID, Address: m.Address}
	ack, err := link.Call[batch.CopyRequest, Ack](ctx, r.cfg.Link, peer, message.UsageReplicate, parcel)
	if err != nil {
		r.avoid(id)
		return err
	}
	if r.lostCopies(id, ack) {
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

// avoid has other peers picked for a while.
func (r *Replicator) avoid(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable[id] = r.cfg.Clock.Now() + avoidTime
}

// lostCopies takes note of a peer's answer and reports whether the copies that it
// had are lost.
func (r *Replicator) lostCopies(id string, ack Ack) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, known := r.incarnations[id]
	restarted := known && before != ack.Incarnation
	r.incarnations[id] = ack.Incarnation
	if ack.Leaving {
		r.leavers[id] = true
	} else if restarted {
		delete(r.leavers, id)
	}
	return restarted || ack.Leaving
}

// take serves a parcel of another daemon.
func (r *Replicator) take(_ context.Context, _ string, parcel batch.CopyRequest) (Ack, error) {
	ack := Ack{Incarnation: r.cfg.Incarnation}
	if len(parcel.Sequences) != len(parcel.Payloads) || !strings.Contains(parcel.Incarnation, "/") {
		return ack, errParcel
	}
	r.mu.Lock()
	ack.Leaving = r.ending
	r.mu.Unlock()
	if !ack.Leaving {
		ack.Full = r.copies.Put(parcel) != nil
	}
	return ack, nil
}
