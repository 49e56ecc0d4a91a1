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

// OwnerConfig configures an Owner. All fields except Observe are required.
type OwnerConfig struct {
	Table table.Client
	Clock clock.Clock
	// Prefix is the prefix of the row keys of all batches.
	Prefix      string
	Incarnation string
	// NextPayload returns the payload of the next batch, and false when there
	// are no records. It is not called while MaxBytes is reached: the records
	// then stay with the caller.
	NextPayload func() (payload []byte, ok bool)
	// Peers returns the peers that should have copies.
	Peers func() []string
	// Copy sends a request to a peer. It returns nil when the peer has stored
	// the batches, and ErrFull when the peer has no memory left.
	Copy func(ctx context.Context, peer string, request CopyRequest) error
	// PeerLost reports whether a peer has died together with its copies.
	PeerLost func(peer string) bool
	// MinCutInterval is the minimum time between two new batches.
	// BytesPerSecond bounds the average rate at which copies of new batches
	// are sent, by lengthening that time.
	MinCutInterval clock.Millis
	BytesPerSecond int
	// SaveInterval is the time between two transactions. It is halved while
	// a transaction leaves batches unsaved.
	SaveInterval clock.Millis
	// MaxBatchesPerSave bounds the batches of one transaction.
	MaxBatchesPerSave int
	// MaxBytes bounds the total size of unsaved payloads. Above half of it
	// the time between two new batches doubles.
	MaxBytes int
	// CallTimeout bounds one call of the table.
	CallTimeout clock.Millis
	// CopyTimeout bounds one call of Copy.
	CopyTimeout clock.Millis
	// Observe is called with each failed operation, "copy" or "save"; it may
	// be nil.
	Observe func(operation string, err error)
}

// maxRequestBytes bounds the total payload size of one copy request.
const maxRequestBytes = 64 << 10

// fullPeerBackoff is how long no batches are sent to a peer after its ErrFull.
const fullPeerBackoff = 30 * clock.Second

// Owner makes batches, copies them to peers and saves them in the table.
type Owner struct {
	cfg OwnerConfig

	mu     sync.Mutex
	outbox *Outbox
	// fullUntil holds the end of the backoff of each peer that returned
	// ErrFull.
	fullUntil map[string]clock.Millis
	// inFlight are the peers that have not answered the last request.
	inFlight map[string]bool
	// saveMu serializes saves, so that each batch is in one transaction at a
	// time.
	saveMu sync.Mutex
}

// NewOwner returns an Owner.
func NewOwner(cfg OwnerConfig) *Owner {
	return &Owner{cfg: cfg, outbox: NewOutbox(cfg.Incarnation), fullUntil: make(map[string]clock.Millis), inFlight: make(map[string]bool)}
}

// Run creates, copies and saves batches until ctx ends. Call Flush after that.
func (o *Owner) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return o.copyLoop(ctx) })
	group.Go(func() error { return o.saveLoop(ctx) })
	return group.Wait()
}

func (o *Owner) copyLoop(ctx context.Context) error {
	var deliveries sync.WaitGroup
	defer deliveries.Wait()
	for {
		bytes := o.cutAndStartCopying(ctx, &deliveries)
		if err := o.cfg.Clock.Sleep(ctx, o.nextCutDelay(bytes)); err != nil {
			return err
		}
	}
}

func (o *Owner) nextCutDelay(bytes int) clock.Millis {
	interval := max(o.cfg.MinCutInterval, clock.Millis(bytes)*clock.Second/clock.Millis(o.cfg.BytesPerSecond))
	if o.Bytes() > o.cfg.MaxBytes/2 {
		interval *= 2
	}
	return interval
}

// saveLoop commits one transaction per SaveInterval. The first delay depends on
// the incarnation, so that processes that start together do not write at the
// same time. After an outage it commits twice as often until all batches are
// saved.
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

func (o *Owner) observe(operation string, err error) {
	if err != nil && o.cfg.Observe != nil {
		o.cfg.Observe(operation, err)
	}
}

// CutAndCopy creates a batch, sends the requests that are due and waits for the
// responses.
func (o *Owner) CutAndCopy(ctx context.Context) {
	var deliveries sync.WaitGroup
	o.cutAndStartCopying(ctx, &deliveries)
	deliveries.Wait()
}

// cutAndStartCopying creates a batch and starts to send the requests that are
// due. A peer that has not answered its last request gets none and does not
// delay the other peers. It returns the total size of the new batch's copies. It
// leaves out older batches that are copied again because a peer is gone: they
// must not delay the next batch.
func (o *Owner) cutAndStartCopying(ctx context.Context, deliveries *sync.WaitGroup) (bytes int) {
	size := o.cut()
	for peer, request := range o.takeCopyRequests() {
		deliveries.Add(1)
		go (&delivery{owner: o, peer: peer, request: request, done: deliveries}).run(ctx)
	}
	return size * len(o.cfg.Peers())
}

// delivery sends one copy request to one peer.
type delivery struct {
	owner   *Owner
	peer    string
	request CopyRequest
	done    *sync.WaitGroup
}

func (d *delivery) run(ctx context.Context) {
	defer d.done.Done()
	d.owner.send(ctx, d.peer, d.request)
}

// cut creates a batch from the next payload and returns its size, 0 for none.
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

func (o *Owner) takeCopyRequests() map[string]CopyRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	for peer := range o.outbox.holders {
		if o.cfg.PeerLost(peer) {
			o.outbox.ForgetPeer(peer)
		}
	}
	requests := o.outbox.CopyRequests(o.peersNotFull(), maxRequestBytes)
	for peer := range requests {
		if o.inFlight[peer] {
			delete(requests, peer)
			continue
		}
		o.inFlight[peer] = true
	}
	return requests
}

// peersNotFull returns the configured peers that are not backing off after
// ErrFull.
func (o *Owner) peersNotFull() (peers []string) {
	now := o.cfg.Clock.Now()
	for _, peer := range o.cfg.Peers() {
		if now >= o.fullUntil[peer] {
			delete(o.fullUntil, peer)
			peers = append(peers, peer)
		}
	}
	return peers
}

func (o *Owner) send(ctx context.Context, peer string, request CopyRequest) {
	ctx, cancel := context.WithTimeout(ctx, o.cfg.CopyTimeout.Duration())
	defer cancel()
	err := o.cfg.Copy(ctx, peer, request)
	o.observe("copy", err)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.inFlight, peer)
	switch {
	case err == nil:
		o.outbox.MarkDelivered(peer, request)
	case errors.Is(err, ErrFull):
		o.fullUntil[peer] = o.cfg.Clock.Now() + fullPeerBackoff
	}
}

// Save writes the oldest batches to the table in one transaction and returns the
// number of batches that are left.
func (o *Owner) Save(ctx context.Context) (left int, err error) {
	o.saveMu.Lock()
	defer o.saveMu.Unlock()
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

// Flush creates a last batch and saves all batches, for a graceful shutdown.
// While the table is unavailable it retries until maxWait has passed and all
// configured peers have copies, or until ctx ends. It returns an error when some
// batches are not in the table; the peers that have copies then write them.
func (o *Owner) Flush(ctx context.Context, maxWait clock.Millis) (err error) {
	defer func() { err = oops.Wrapf(err, "flush batches") }()
	deadline := o.cfg.Clock.Now() + maxWait
	o.cut()
	for {
		err = o.saveAll(ctx)
		o.CutAndCopy(ctx)
		if err == nil || (o.cfg.Clock.Now() >= deadline && o.allCopied()) {
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

// allCopied reports whether every unsaved batch has as many copies as there are
// configured peers.
func (o *Owner) allCopied() bool {
	copies := len(o.cfg.Peers())
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.outbox.CountCopied(copies) == o.outbox.Len()
}

// ForgetPeer records that a peer has lost its copies, such as by a restart.
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
