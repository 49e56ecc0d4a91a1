package batch

import (
	"context"
	"errors"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

// OwnerConfig configures an Owner. All fields must be set but Observe.
type OwnerConfig struct {
	Table table.Client
	Clock clock.Clock
	// Prefix starts the keys of all batches' rows.
	Prefix      string
	Incarnation string
	// NextPayload returns the payload of the next batch, and false when there is
	// nothing to be kept. It is not called while MaxBytes is reached: the
	// records then stay where they are.
	NextPayload func() (payload []byte, ok bool)
	// Peers returns the peers that should have copies.
	Peers func() []string
	// Copy sends a parcel to a peer and returns nil when the peer has it, and
	// ErrFull when the peer has no memory left.
	Copy func(ctx context.Context, peer string, parcel CopyRequest) error
	// PeerLost reports whether a peer has died together with its copies.
	PeerLost func(peer string) bool
	// MinCutInterval is the least time between two cuts. BytesPerSecond bounds
	// what new batches and their copies take on average, by waiting longer
	// between cuts.
	MinCutInterval clock.Millis
	BytesPerSecond int
	// SaveInterval is the time between two transactions; it halves while
	// one transaction does not suffice.
	SaveInterval clock.Millis
	// MaxBatchesPerSave is how many batches one transaction carries at most.
	MaxBatchesPerSave int
	// MaxBytes bounds the payloads that wait for the table. From half of it
	// on the interval between cuts doubles.
	MaxBytes int
	// CallTimeout bounds one call of the table, CopyTimeout one of a peer.
	CallTimeout clock.Millis
	CopyTimeout clock.Millis
	// Observe is told of failures; it may be nil.
	Observe func(what string, err error)
}

// maxParcelBytes bounds the payloads of one parcel.
const maxParcelBytes = 64 << 10

// fullPause is for how long a peer that is full is not sent batches.
const fullPause = 30 * clock.Second

// Owner makes batches, copies them to peers and saves them in the table.
type Owner struct {
	cfg OwnerConfig

	mu     sync.Mutex
	outbox *Outbox
	// full holds until when a peer is not asked again after ErrFull.
	full map[string]clock.Millis
	// busy are the peers that have not answered the last parcel.
	busy map[string]bool
	// saving is held while batches are being saved, so that each batch is in
	// one transaction at a time.
	saving sync.Mutex
}

// NewOwner returns an Owner.
func NewOwner(cfg OwnerConfig) *Owner {
	return &Owner{cfg: cfg, outbox: NewOutbox(cfg.Incarnation), full: make(map[string]clock.Millis), busy: make(map[string]bool)}
}

// Run cuts, copies and saves until ctx ends. Call Flush after that.
func (o *Owner) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return o.copyLoop(ctx) })
	group.Go(func() error { return o.saveLoop(ctx) })
	return group.Wait()
}

func (o *Owner) copyLoop(ctx context.Context) error {
	var sending sync.WaitGroup
	defer sending.Wait()
	for {
		bytes := o.launch(ctx, &sending)
		if err := o.cfg.Clock.Sleep(ctx, o.interval(bytes)); err != nil {
			return err
		}
	}
}

func (o *Owner) interval(bytes int) clock.Millis {
	interval := max(o.cfg.MinCutInterval, clock.Millis(bytes)*clock.Second/clock.Millis(o.cfg.BytesPerSecond))
	if o.Bytes() > o.cfg.MaxBytes/2 {
		interval *= 2
	}
	return interval
}

// saveLoop writes one transaction each SaveInterval, starting at a phase of its
// own so that processes that start together do not write together. After an
// outage it writes twice as often until nothing is left behind.
func (o *Owner) saveLoop(ctx context.Context) error {
	pause := clock.Millis(xxhash.Sum64String(o.cfg.Incarnation) % uint64(o.cfg.SaveInterval))
	for {
		if err := o.cfg.Clock.Sleep(ctx, pause); err != nil {
			return err
		}
		left, err := o.Save(ctx)
		o.observe("save", err)
		pause = o.cfg.SaveInterval
		if err == nil && left > 0 {
			pause /= 2
		}
	}
}

func (o *Owner) observe(what string, err error) {
	if err != nil && o.cfg.Observe != nil {
		o.cfg.Observe(what, err)
	}
}

// CutAndCopy cuts a batch, sends the parcels that are due and waits for the answers.
func (o *Owner) CutAndCopy(ctx context.Context) {
	var sending sync.WaitGroup
	o.launch(ctx, &sending)
	sending.Wait()
}

// launch cuts a batch and begins to send the parcels that are due. A peer that has
// not answered the last one gets none, and holds up nobody else's. It returns the
// bytes that the new batch takes with all its copies. Older batches that get
// another copy, since a peer is gone, do not count: cutting must not wait for them.
func (o *Owner) launch(ctx context.Context, sending *sync.WaitGroup) (bytes int) {
	size := o.cut()
	for peer, parcel := range o.parcels() {
		sending.Add(1)
		go (&delivery{owner: o, peer: peer, parcel: parcel, done: sending}).run(ctx)
	}
	return size * len(o.cfg.Peers())
}

// delivery sends one parcel to one peer.
type delivery struct {
	owner  *Owner
	peer   string
	parcel CopyRequest
	done   *sync.WaitGroup
}

func (d *delivery) run(ctx context.Context) {
	defer d.done.Done()
	d.owner.send(ctx, d.peer, d.parcel)
}

// cut makes a batch of what there is and returns its size.
func (o *Owner) cut() (size int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.outbox.Bytes() >= o.cfg.MaxBytes {
		return 0
	}
	payload, ok := o.cfg.NextPayload()
	if !ok {
		return 0
	}
	o.outbox.Add(payload)
	return len(payload)
}

func (o *Owner) parcels() map[string]CopyRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	for peer := range o.outbox.holders {
		if o.cfg.PeerLost(peer) {
			o.outbox.ForgetPeer(peer)
		}
	}
	parcels := o.outbox.CopyRequests(o.askable(), maxParcelBytes)
	for peer := range parcels {
		if o.busy[peer] {
			delete(parcels, peer)
			continue
		}
		o.busy[peer] = true
	}
	return parcels
}

// askable returns the peers that are wanted and have not said that they are full.
func (o *Owner) askable() (peers []string) {
	now := o.cfg.Clock.Now()
	for _, peer := range o.cfg.Peers() {
		if now >= o.full[peer] {
			delete(o.full, peer)
			peers = append(peers, peer)
		}
	}
	return peers
}

func (o *Owner) send(ctx context.Context, peer string, parcel CopyRequest) {
	ctx, cancel := context.WithTimeout(ctx, o.cfg.CopyTimeout.Duration())
	defer cancel()
	err := o.cfg.Copy(ctx, peer, parcel)
	o.observe("copy", err)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.busy, peer)
	switch {
	case err == nil:
		o.outbox.MarkDelivered(peer, parcel)
	case errors.Is(err, ErrFull):
		o.full[peer] = o.cfg.Clock.Now() + fullPause
	}
}

// Save writes the oldest batches to the table in one transaction and returns how
// many are left.
func (o *Owner) Save(ctx context.Context) (left int, err error) {
	o.saving.Lock()
	defer o.saving.Unlock()
	batches := o.unsaved()
	if err := o.saveOnce(ctx, batches); err != nil {
		return 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outbox.MarkSaved(batches)
	return o.outbox.Len(), nil
}

func (o *Owner) unsaved() []Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.outbox.Unsaved(o.cfg.MaxBatchesPerSave)
}

func (o *Owner) saveOnce(ctx context.Context, batches []Batch) error {
	ctx, cancel := context.WithTimeout(ctx, o.cfg.CallTimeout.Duration())
	defer cancel()
	return Save(ctx, o.cfg.Table, o.cfg.Prefix, batches)
}

// Flush cuts what is left and saves it, for a graceful end. While the table does
// not answer it tries again until patience is over and copies are with as many
// peers as are wanted, or until ctx ends. It returns an error when not everything
// is in the table; the peers that have copies will then write them.
func (o *Owner) Flush(ctx context.Context, patience clock.Millis) (err error) {
	defer func() { err = oops.Wrapf(err, "flush batches") }()
	due := o.cfg.Clock.Now() + patience
	o.cut()
	for {
		err = o.saveAll(ctx)
		o.CutAndCopy(ctx)
		if err == nil || (o.cfg.Clock.Now() >= due && o.copied()) {
			return err
		}
		if o.cfg.Clock.Sleep(ctx, max(o.cfg.MinCutInterval, 1)) != nil {
			return err
		}
	}
}

func (o *Owner) saveAll(ctx context.Context) (err error) {
	for left := 1; left > 0 && err == nil; {
		left, err = o.Save(ctx)
	}
	return err
}

// copied reports whether every unsaved batch has as many copies as are wanted.
func (o *Owner) copied() bool {
	wanted := len(o.cfg.Peers())
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.outbox.CountCopied(wanted) == o.outbox.Len()
}

// ForgetPeer notes that a peer has lost its copies, such as by a restart.
func (o *Owner) ForgetPeer(peer string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outbox.ForgetPeer(peer)
}

// Bytes returns the size of the payloads that are not in the table.
func (o *Owner) Bytes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.outbox.Bytes()
}
