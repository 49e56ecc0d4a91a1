package batch

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

// CopyStoreConfig configures a CopyStore. FallbackPeers, Copy and Observe are
// optional; Copy is required with FallbackPeers.
type CopyStoreConfig struct {
	Table  table.Client
	Clock  clock.Clock
	Prefix string
	// Alive reports whether an incarnation may still be running. It may be
	// wrong either way: a batch is then written twice, or later.
	Alive func(incarnation string) bool
	// GracePeriod is the time without a request or a sign of life from an
	// owner after which its batches are written.
	GracePeriod clock.Millis
	// SilenceTimeout is the time without a request from an owner after which
	// its batches are written although it seems alive. It must be several
	// times the owner's SaveInterval.
	SilenceTimeout clock.Millis
	// MaxBytes bounds the memory for copies. Copies beyond it are refused
	// with ErrFull.
	MaxBytes int
	// MaxBatchesPerSave bounds the batches of one transaction.
	MaxBatchesPerSave int
	// CallTimeout bounds one call of the table or of Copy.
	CallTimeout clock.Millis
	// FallbackPeers returns the peers that receive the copies of an owner
	// when the owner is dead and the table is unavailable, or when this
	// process shuts down. Copy sends a request to such a peer.
	FallbackPeers func(incarnation string) []string
	Copy          func(ctx context.Context, peer string, request CopyRequest) error
	// Observe is called after batches of a dead owner were saved or a save
	// failed; it may be nil.
	Observe func(incarnation string, batches int, err error)
}

// CopyStore keeps copies of other processes' batches and writes the batches of
// owners that have died.
type CopyStore struct {
	cfg CopyStoreConfig

	mu     sync.Mutex
	owners map[string]*ownerCopies
	bytes  int
}

type ownerCopies struct {
	savedThrough uint64
	payloads     map[uint64][]byte
	// lastRequest is when the owner last sent a request.
	lastRequest clock.Millis
	// lastAlive is when Alive last reported that the owner may be running.
	lastAlive clock.Millis
	// forwardedTo are the fallback peers that have received all copies.
	forwardedTo map[string]bool
}

// NewCopyStore returns an empty CopyStore.
func NewCopyStore(cfg CopyStoreConfig) *CopyStore {
	return &CopyStore{cfg: cfg, owners: make(map[string]*ownerCopies)}
}

// Put stores the batches of a copy request. When it returns ErrFull, it has
// stored none of them.
func (c *CopyStore) Put(request CopyRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	owner := c.owners[request.Incarnation]
	if owner == nil {
		owner = &ownerCopies{payloads: make(map[uint64][]byte)}
		c.owners[request.Incarnation] = owner
	}
	owner.lastRequest = c.cfg.Clock.Now()
	c.dropSaved(owner, request.SavedThrough)
	err := c.addCopies(owner, request)
	if len(owner.payloads) == 0 {
		delete(c.owners, request.Incarnation)
	}
	return err
}

func (c *CopyStore) dropSaved(owner *ownerCopies, saved uint64) {
	owner.savedThrough = max(owner.savedThrough, saved)
	for sequence, payload := range owner.payloads {
		if sequence <= owner.savedThrough {
			c.bytes -= len(payload)
			delete(owner.payloads, sequence)
		}
	}
}

func (c *CopyStore) addCopies(owner *ownerCopies, request CopyRequest) error {
	size := 0
	for _, payload := range request.Payloads {
		size += len(payload)
	}
	if size > 0 && c.bytes+size > c.cfg.MaxBytes {
		return ErrFull
	}
	for i, sequence := range request.Sequences {
		_, have := owner.payloads[sequence]
		if have || sequence <= owner.savedThrough {
			continue
		}
		owner.payloads[sequence] = request.Payloads[i]
		c.bytes += len(request.Payloads[i])
		owner.forwardedTo = nil
	}
	return nil
}

// Bytes returns the total payload size of the copies.
func (c *CopyStore) Bytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

// Run writes the batches of dead owners until ctx ends.
func (c *CopyStore) Run(ctx context.Context) error {
	for {
		if err := c.cfg.Clock.Sleep(ctx, max(c.cfg.GracePeriod/4, 1)); err != nil {
			return err
		}
		c.SaveOrphans(ctx)
	}
}

// SaveOrphans writes the batches of owners that are dead for GracePeriod or
// silent for SilenceTimeout. When the table fails, it forwards the copies to the
// fallback peers, so that they outlive this process.
func (c *CopyStore) SaveOrphans(ctx context.Context) {
	for _, incarnation := range c.orphanedOwners() {
		count, err := c.saveOwner(ctx, incarnation)
		if err != nil {
			_ = c.forward(ctx, incarnation)
		}
		if c.cfg.Observe != nil && (count > 0 || err != nil) {
			c.cfg.Observe(incarnation, count, err)
		}
	}
}

func (c *CopyStore) orphanedOwners() (incarnations []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	for incarnation, owner := range c.owners {
		if c.cfg.Alive(incarnation) {
			owner.lastAlive = now
		}
		silent := now - owner.lastRequest
		dead := now-max(owner.lastAlive, owner.lastRequest) >= c.cfg.GracePeriod
		if dead || silent >= c.cfg.SilenceTimeout {
			incarnations = append(incarnations, incarnation)
		}
	}
	slices.Sort(incarnations)
	return incarnations
}

// maxHandOverAttempts bounds how often HandOver tries to forward the copies.
const maxHandOverAttempts = 5

// HandOver forwards all copies to the fallback peers before this process ends.
// It includes copies of live owners, since an owner may end before it notices
// that this process is gone. Each retry calls FallbackPeers again, so that other
// peers can replace those that fail.
func (c *CopyStore) HandOver(ctx context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "hand over copies") }()
	for range maxHandOverAttempts {
		err = c.forwardAll(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (c *CopyStore) forwardAll(ctx context.Context) error {
	c.mu.Lock()
	incarnations := slices.Sorted(maps.Keys(c.owners))
	c.mu.Unlock()
	var failures []error
	for _, incarnation := range incarnations {
		failures = append(failures, c.forward(ctx, incarnation))
	}
	return errors.Join(failures...)
}

// forward sends the copies of an owner to the fallback peers that have not
// received them.
func (c *CopyStore) forward(ctx context.Context, incarnation string) error {
	if c.cfg.FallbackPeers == nil {
		return nil
	}
	var failures []error
	for _, peer := range c.cfg.FallbackPeers(incarnation) {
		failures = append(failures, c.forwardTo(ctx, incarnation, peer))
	}
	return errors.Join(failures...)
}

func (c *CopyStore) forwardTo(ctx context.Context, incarnation, peer string) error {
	requests := c.forwardRequests(incarnation, peer)
	for _, request := range requests {
		if err := c.send(ctx, peer, request); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if owner := c.owners[incarnation]; owner != nil && len(requests) > 0 {
		if owner.forwardedTo == nil {
			owner.forwardedTo = make(map[string]bool)
		}
		owner.forwardedTo[peer] = true
	}
	return nil
}

func (c *CopyStore) send(ctx context.Context, peer string, request CopyRequest) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout.Duration())
	defer cancel()
	return c.cfg.Copy(ctx, peer, request)
}

// forwardRequests returns requests that carry all copies of an owner, none if
// the peer has received them already.
func (c *CopyStore) forwardRequests(incarnation, peer string) (requests []CopyRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owner := c.owners[incarnation]
	if owner == nil || owner.forwardedTo[peer] {
		return nil
	}
	bytes := maxRequestBytes
	for _, sequence := range slices.Sorted(maps.Keys(owner.payloads)) {
		payload := owner.payloads[sequence]
		if bytes+len(payload) > maxRequestBytes {
			requests = append(requests, CopyRequest{Incarnation: incarnation, SavedThrough: owner.savedThrough})
			bytes = 0
		}
		bytes += len(payload)
		requests[len(requests)-1].add(Batch{Sequence: sequence, Payload: payload})
	}
	return requests
}

func (c *CopyStore) saveOwner(ctx context.Context, incarnation string) (count int, err error) {
	for {
		batches := c.nextBatches(incarnation)
		if len(batches) == 0 {
			return count, nil
		}
		if err := c.save(ctx, batches); err != nil {
			return count, err
		}
		count += len(batches)
		c.remove(batches)
	}
}

func (c *CopyStore) save(ctx context.Context, batches []Batch) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout.Duration())
	defer cancel()
	return Save(ctx, c.cfg.Table, c.cfg.Prefix, batches)
}

func (c *CopyStore) nextBatches(incarnation string) (batches []Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owner := c.owners[incarnation]
	if owner == nil {
		return nil
	}
	for _, sequence := range slices.Sorted(maps.Keys(owner.payloads)) {
		if len(batches) == c.cfg.MaxBatchesPerSave {
			break
		}
		batches = append(batches, Batch{Incarnation: incarnation, Sequence: sequence, Payload: owner.payloads[sequence]})
	}
	return batches
}

func (c *CopyStore) remove(batches []Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range batches {
		owner := c.owners[b.Incarnation]
		if owner == nil {
			return
		}
		if payload, found := owner.payloads[b.Sequence]; found {
			c.bytes -= len(payload)
			delete(owner.payloads, b.Sequence)
		}
		if len(owner.payloads) == 0 {
			delete(c.owners, b.Incarnation)
		}
	}
}
