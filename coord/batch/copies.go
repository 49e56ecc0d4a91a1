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

// CopyStoreConfig configures a Copies. All fields must be set but Heirs, Copy and
// Observe.
type CopyStoreConfig struct {
	Table  table.Client
	Clock  clock.Clock
	Prefix string
	// Alive reports whether an incarnation may still be running. It may be
	// wrong either way: a batch is then written twice, or later.
	Alive func(incarnation string) bool
	// GracePeriod is for how long an owner must have been dead, and silent, before
	// its batches are written.
	GracePeriod clock.Millis
	// SilenceTimeout is for how long an owner that seems to live may be silent about
	// batches that it has copies of. It must be several times the owner's
	// SaveInterval.
	SilenceTimeout clock.Millis
	// MaxBytes bounds the memory for copies. Copies beyond it are refused
	// with ErrFull.
	MaxBytes int
	// MaxBatchesPerSave is how many batches one transaction carries at most.
	MaxBatchesPerSave int
	// CallTimeout bounds one call of the table.
	CallTimeout clock.Millis
	// FallbackPeers returns the peers to which the copies of an owner are passed on
	// when the owner is dead and the table does not answer, or when this
	// process ends. Copy sends them a parcel.
	FallbackPeers func(incarnation string) []string
	Copy          func(ctx context.Context, peer string, parcel CopyRequest) error
	// Observe is told of rescued batches and of failures; it may be nil.
	Observe func(incarnation string, batches int, err error)
}

// CopyStore keeps copies of other processes' batches and writes those of owners
// that have died.
type CopyStore struct {
	cfg CopyStoreConfig

	mu     sync.Mutex
	owners map[string]*ownerCopies
	bytes  int
}

type ownerCopies struct {
	saved    uint64
	payloads map[uint64][]byte
	// heard is when the owner sent a parcel, seen when it was alive.
	heard clock.Millis
	seen  clock.Millis
	// passed are the heirs that have got all copies.
	passed map[string]bool
}

// NewCopyStore returns an empty Copies.
func NewCopyStore(cfg CopyStoreConfig) *CopyStore {
	return &CopyStore{cfg: cfg, owners: make(map[string]*ownerCopies)}
}

// Put takes a parcel from its owner. When it returns ErrFull, none of the
// parcel's batches were kept.
func (c *CopyStore) Put(parcel CopyRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	owner := c.owners[parcel.Incarnation]
	if owner == nil {
		owner = &ownerCopies{payloads: make(map[uint64][]byte)}
		c.owners[parcel.Incarnation] = owner
	}
	owner.heard = c.cfg.Clock.Now()
	c.forget(owner, parcel.SavedThrough)
	err := c.keep(owner, parcel)
	if len(owner.payloads) == 0 {
		delete(c.owners, parcel.Incarnation)
	}
	return err
}

func (c *CopyStore) forget(owner *ownerCopies, saved uint64) {
	owner.saved = max(owner.saved, saved)
	for sequence, payload := range owner.payloads {
		if sequence <= owner.saved {
			c.bytes -= len(payload)
			delete(owner.payloads, sequence)
		}
	}
}

func (c *CopyStore) keep(owner *ownerCopies, parcel CopyRequest) error {
	size := 0
	for _, payload := range parcel.Payloads {
		size += len(payload)
	}
	if size > 0 && c.bytes+size > c.cfg.MaxBytes {
		return ErrFull
	}
	for i, sequence := range parcel.Sequences {
		_, have := owner.payloads[sequence]
		if have || sequence <= owner.saved {
			continue
		}
		owner.payloads[sequence] = parcel.Payloads[i]
		c.bytes += len(parcel.Payloads[i])
		owner.passed = nil
	}
	return nil
}

// Bytes returns the size of the copies.
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

// SaveOrphans writes the batches of owners that have been dead for Grace. While the
// table does not answer, it passes the copies on, so that they outlive this
// process.
func (c *CopyStore) SaveOrphans(ctx context.Context) {
	for _, incarnation := range c.orphaned() {
		count, err := c.rescue(ctx, incarnation)
		if err != nil {
			_ = c.passOn(ctx, incarnation)
		}
		if c.cfg.Observe != nil && (count > 0 || err != nil) {
			c.cfg.Observe(incarnation, count, err)
		}
	}
}

func (c *CopyStore) orphaned() (incarnations []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	for incarnation, owner := range c.owners {
		if c.cfg.Alive(incarnation) {
			owner.seen = now
		}
		silent := now - owner.heard
		dead := now-max(owner.seen, owner.heard) >= c.cfg.GracePeriod
		if dead || silent >= c.cfg.SilenceTimeout {
			incarnations = append(incarnations, incarnation)
		}
	}
	slices.Sort(incarnations)
	return incarnations
}

// maxHandOverRounds is how often HandOver asks for heirs anew.
const maxHandOverRounds = 5

// HandOver passes all copies on to their heirs, before this process ends. Copies
// of owners that live are passed on too, since those may end before they notice.
// Heirs that fail are asked for anew, so that others can take their place.
func (c *CopyStore) HandOver(ctx context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "hand over copies") }()
	for range maxHandOverRounds {
		err = c.passAllOn(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (c *CopyStore) passAllOn(ctx context.Context) error {
	c.mu.Lock()
	incarnations := slices.Sorted(maps.Keys(c.owners))
	c.mu.Unlock()
	var failures []error
	for _, incarnation := range incarnations {
		failures = append(failures, c.passOn(ctx, incarnation))
	}
	return errors.Join(failures...)
}

// passOn sends the copies of an owner to those of its heirs that have not got
// them.
func (c *CopyStore) passOn(ctx context.Context, incarnation string) error {
	if c.cfg.FallbackPeers == nil {
		return nil
	}
	var failures []error
	for _, heir := range c.cfg.FallbackPeers(incarnation) {
		failures = append(failures, c.passTo(ctx, incarnation, heir))
	}
	return errors.Join(failures...)
}

func (c *CopyStore) passTo(ctx context.Context, incarnation, heir string) error {
	parcels := c.inheritance(incarnation, heir)
	for _, parcel := range parcels {
		if err := c.send(ctx, heir, parcel); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if owner := c.owners[incarnation]; owner != nil && len(parcels) > 0 {
		if owner.passed == nil {
			owner.passed = make(map[string]bool)
		}
		owner.passed[heir] = true
	}
	return nil
}

func (c *CopyStore) send(ctx context.Context, heir string, parcel CopyRequest) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout.Duration())
	defer cancel()
	return c.cfg.Copy(ctx, heir, parcel)
}

// inheritance returns the copies of an owner in parcels, none if the heir has got
// them already.
func (c *CopyStore) inheritance(incarnation, heir string) (parcels []CopyRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owner := c.owners[incarnation]
	if owner == nil || owner.passed[heir] {
		return nil
	}
	bytes := maxParcelBytes
	for _, sequence := range slices.Sorted(maps.Keys(owner.payloads)) {
		payload := owner.payloads[sequence]
		if bytes+len(payload) > maxParcelBytes {
			parcels = append(parcels, CopyRequest{Incarnation: incarnation, SavedThrough: owner.saved})
			bytes = 0
		}
		bytes += len(payload)
		parcels[len(parcels)-1].add(Batch{Sequence: sequence, Payload: payload})
	}
	return parcels
}

func (c *CopyStore) rescue(ctx context.Context, incarnation string) (count int, err error) {
	for {
		batches := c.next(incarnation)
		if len(batches) == 0 {
			return count, nil
		}
		if err := c.save(ctx, batches); err != nil {
			return count, err
		}
		count += len(batches)
		c.drop(batches)
	}
}

func (c *CopyStore) save(ctx context.Context, batches []Batch) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout.Duration())
	defer cancel()
	return Save(ctx, c.cfg.Table, c.cfg.Prefix, batches)
}

func (c *CopyStore) next(incarnation string) (batches []Batch) {
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

func (c *CopyStore) drop(batches []Batch) {
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
