package claim

import (
	"context"
	"errors"
	"strconv"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

// epochs keeps the table's epoch in memory for a quarter of its length.
type epochs struct {
	client table.Client
	clock  clock.Clock
	key    string
	maxAge clock.Millis

	// gate is held while the epoch is used or read; it is a channel so that
	// waiting for it ends with the waiter's context.
	gate    chan struct{}
	known   bool
	current uint64
	read    clock.Millis
}

func (e *epochs) get(ctx context.Context) (epoch uint64, err error) {
	select {
	case e.gate <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-e.gate }()
	now := e.clock.Now()
	if e.known && now-e.read < e.maxAge {
		return e.current, nil
	}
	epoch, _, err = readEpoch(ctx, e.client, e.key)
	if err != nil {
		return 0, err
	}
	e.known, e.current, e.read = true, epoch, now
	return epoch, nil
}

func readEpoch(ctx context.Context, client table.Client, key string) (epoch, version uint64, err error) {
	defer func() { err = oops.Wrapf(err, "read epoch %s", key) }()
	row, err := client.Get(ctx, key)
	if err != nil || row.Version == 0 {
		return 0, 0, err
	}
	epoch, err = strconv.ParseUint(string(row.Value), 10, 64)
	return epoch, row.Version, err
}

// CleanerConfig configures a Cleaner.
type CleanerConfig struct {
	Table  table.Client
	Clock  clock.Clock
	Prefix string
	// EpochKey is the row that holds the epoch, the same as in Config.
	EpochKey string
	// EpochLength is how long an epoch lasts at least.
	EpochLength clock.Millis
	// KeepEpochs is for how many whole epochs a claim is kept. No request and no
	// transaction may be under way for as long as that.
	KeepEpochs uint64
	// Active says whether this process should clean. Several that do so at
	// the same time do no harm, they only do the work twice.
	Active func() bool
	// PageSize is how many rows are read at once and at most deleted at once.
	PageSize int
}

// Cleaner moves the table's epoch on and deletes the claims of old epochs.
type Cleaner struct {
	cfg     CleanerConfig
	version uint64
	since   clock.Millis
	watched bool
}

// NewCleaner returns a Cleaner.
func NewCleaner(cfg CleanerConfig) *Cleaner {
	return &Cleaner{cfg: cfg}
}

// Run cleans until ctx ends. It tries again after a failure.
func (c *Cleaner) Run(ctx context.Context) error {
	for {
		if err := c.cfg.Clock.Sleep(ctx, c.cfg.EpochLength/4); err != nil {
			return err
		}
		if !c.cfg.Active() {
			c.watched = false
			continue
		}
		moved, err := c.AdvanceEpoch(ctx)
		if err == nil && moved {
			_, err = c.Sweep(ctx)
		}
		if err != nil {
			c.watched = false
		}
	}
}

// AdvanceEpoch moves the epoch on when it stood still for EpochLength of this
// process's clock. It reports whether it did.
func (c *Cleaner) AdvanceEpoch(ctx context.Context) (moved bool, err error) {
	defer func() { err = oops.Wrapf(err, "advance epoch") }()
	epoch, version, err := readEpoch(ctx, c.cfg.Table, c.cfg.EpochKey)
	if err != nil {
		return false, err
	}
	now := c.cfg.Clock.Now()
	if !c.watched || version != c.version {
		c.watched, c.version, c.since = true, version, now
		return false, nil
	}
	if now-c.since < c.cfg.EpochLength {
		return false, nil
	}
	c.watched = false
	err = c.cfg.Table.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: c.cfg.EpochKey, Version: version}},
		Writes:     []table.Write{{Key: c.cfg.EpochKey, Value: []byte(strconv.FormatUint(epoch+1, 10))}},
	})
	if errors.Is(err, table.ErrConflict) {
		return false, nil
	}
	return err == nil, err
}

// Sweep deletes the claims of epochs that are over for longer than Keep, and
// returns how many.
func (c *Cleaner) Sweep(ctx context.Context) (deleted int, err error) {
	defer func() { err = oops.Wrapf(err, "sweep claims") }()
	epoch, _, err := readEpoch(ctx, c.cfg.Table, c.cfg.EpochKey)
	if err != nil {
		return 0, err
	}
	after := ""
	for {
		rows, err := c.cfg.Table.Scan(ctx, c.cfg.Prefix, after, c.cfg.PageSize)
		if err != nil || len(rows) == 0 {
			return deleted, err
		}
		count, err := c.deleteOld(ctx, rows, epoch)
		deleted += count
		if err != nil {
			return deleted, err
		}
		after = rows[len(rows)-1].Key
	}
}

func (c *Cleaner) deleteOld(ctx context.Context, rows []table.Row, epoch uint64) (count int, err error) {
	var txn table.Txn
	for _, row := range rows {
		record, err := decode(row)
		if err != nil || record.Epoch+c.cfg.KeepEpochs >= epoch {
			continue
		}
		txn.Conditions = append(txn.Conditions, table.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, table.Write{Key: row.Key, Delete: true})
	}
	if len(txn.Writes) == 0 {
		return 0, nil
	}
	err = c.cfg.Table.Commit(ctx, txn)
	if errors.Is(err, table.ErrConflict) {
		return 0, nil
	}
	return len(txn.Writes), err
}
