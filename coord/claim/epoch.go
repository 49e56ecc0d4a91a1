package claim

import (
	"context"
	"errors"
	"strconv"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

// epochCache keeps the table's epoch in memory for maxAge, which Store sets to a
// quarter of the epoch length.
type epochCache struct {
	client table.Client
	clock  clock.Clock
	key    string
	maxAge clock.Millis

	// lock guards the fields below. It is a channel instead of a mutex, so
	// that waiting for it ends with the waiter's context.
	lock    chan struct{}
	known   bool
	current uint64
	readAt  clock.Millis
}

func (e *epochCache) get(ctx context.Context) (epoch uint64, err error) {
	select {
	case e.lock <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-e.lock }()
	now := e.clock.Now()
	if e.known && now-e.readAt < e.maxAge {
		return e.current, nil
	}
	epoch, _, err = readEpoch(ctx, e.client, e.key)
	if err != nil {
		return 0, err
	}
	e.known, e.current, e.readAt = true, epoch, now
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
	// EpochKey is the key of the row that holds the epoch, as in Config.
	EpochKey string
	// EpochLength is the minimum duration of an epoch.
	EpochLength clock.Millis
	// KeepEpochs is the number of whole epochs for which a claim is kept. No
	// request or transaction may be in flight for that long.
	KeepEpochs uint64
	// Active reports whether this process should clean. Several processes may
	// clean at the same time; they only duplicate work.
	Active func() bool
	// PageSize is the maximum number of rows per scan and per deletion.
	PageSize int
}

// Cleaner advances the table's epoch and deletes the claims of old epochs.
type Cleaner struct {
	cfg             CleanerConfig
	observedVersion uint64
	observedSince   clock.Millis
	observing       bool
}

// NewCleaner returns a Cleaner.
func NewCleaner(cfg CleanerConfig) *Cleaner {
	return &Cleaner{cfg: cfg}
}

// Run calls AdvanceEpoch every quarter of EpochLength until ctx ends, and Sweep
// when the epoch advanced. It continues after failures.
func (c *Cleaner) Run(ctx context.Context) error {
	for {
		if err := c.cfg.Clock.Sleep(ctx, c.cfg.EpochLength/4); err != nil {
			return err
		}
		if !c.cfg.Active() {
			c.observing = false
			continue
		}
		advanced, err := c.AdvanceEpoch(ctx)
		if err == nil && advanced {
			_, err = c.Sweep(ctx)
		}
		if err != nil {
			c.observing = false
		}
	}
}

// AdvanceEpoch increments the epoch if it has not changed for EpochLength by
// this process's clock. It reports whether it did.
func (c *Cleaner) AdvanceEpoch(ctx context.Context) (advanced bool, err error) {
	defer func() { err = oops.Wrapf(err, "advance epoch") }()
	epoch, version, err := readEpoch(ctx, c.cfg.Table, c.cfg.EpochKey)
	if err != nil {
		return false, err
	}
	now := c.cfg.Clock.Now()
	if !c.observing || version != c.observedVersion {
		c.observing, c.observedVersion, c.observedSince = true, version, now
		return false, nil
	}
	if now-c.observedSince < c.cfg.EpochLength {
		return false, nil
	}
	c.observing = false
	err = c.cfg.Table.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: c.cfg.EpochKey, Version: version}},
		Writes:     []table.Write{{Key: c.cfg.EpochKey, Value: []byte(strconv.FormatUint(epoch+1, 10))}},
	})
	if errors.Is(err, table.ErrConflict) {
		return false, nil
	}
	return err == nil, err
}

// Sweep deletes the claims that are more than KeepEpochs epochs old and returns
// how many it deleted.
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
