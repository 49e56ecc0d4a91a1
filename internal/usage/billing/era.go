package billing

import (
	"context"
	"errors"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/packed"
	"github.com/banyanshift/banyanshift/coord/table"
)

// eraRow is the key of the row with the eraRecord.
const eraRow = "Usage/Era"

// clockTolerance is by how much more than sealDelay the times of day of two holders may
// differ, without one of them taking a window that the other has sealed for unsealed.
const clockTolerance = clock.Second

// errEraMissing means that an answer of the table names no era, although the table has eras.
var errEraMissing = errors.New("billing: the table has eras, and its answer names none")

// eraRecord says what the seals in the table prove: no window from First on was sealed before
// the table entered Era, see table.Position. As long as the table is of that era, such a
// window has its row if it was ever sealed. This stays true whoever holds the lease later.
type eraRecord struct {
	Era   uint64
	First int64
}

// enterEra learns the era of the table at the start of a term.
func (t *termRun) enterEra(ctx context.Context) {
	if t.eraKnown {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	if err := t.readEra(ctx); err != nil {
		eventFailed.Log(t.config.Logger, logrus.Fields{"Step": "era", "Error": err.Error()})
	}
}

// learnEra makes sure that t.era is of the era in which a row was missing.
func (t *termRun) learnEra(ctx context.Context, era uint64) error {
	if !t.eraKnown || t.era.Era != era {
		if err := t.readEra(ctx); err != nil {
			return err
		}
	}
	if t.era.Era != era {
		return table.ErrEraChanged
	}
	return nil
}

// readEra takes over the record of the table. If that is of another era, it is replaced by
// what this holder of the lease knows.
func (t *termRun) readEra(ctx context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "learn which seals the table holds") }()
	row, err := t.config.Table.Get(ctx, eraRow)
	if err != nil {
		return err
	}
	record, own := t.decodeEra(row), eraRecord{Era: row.Era, First: t.firstUnsealed(row.Era)}
	if row.Era == 0 && (record.Era != 0 || t.config.Eras.Seen()) {
		return errEraMissing
	}
	if record.Era != row.Era {
		if err := t.writeEra(ctx, row, own); err != nil {
			return err
		}
		record = own
	}
	record.First = min(record.First, own.First) // The clock of the writer may have been ahead.
	t.era, t.eraKnown = record, true
	return nil
}

// decodeEra returns the record in a row. One that is missing or cannot be read is of no era.
func (t *termRun) decodeEra(row table.Row) (record eraRecord) {
	if row.Version == 0 {
		return eraRecord{}
	}
	if err := packed.Unmarshal(row.Value, &record); err != nil {
		eventUnreadable.Log(t.config.Logger, logrus.Fields{"Key": row.Key, "Error": err.Error()})
		return eraRecord{}
	}
	return record
}

// firstUnsealed returns the window from which on none was sealed before an era: it had not
// ended, on any clock, when this daemon saw the era, or when its term began, and this daemon
// has not sealed it. Nobody sealed any before the first start of the system.
func (t *termRun) firstUnsealed(era uint64) (first int64) {
	since := t.startedAt
	if at, seen := t.config.Eras.SeenAt(era); seen {
		since = min(since, at)
	}
	if !t.config.Eras.SinceStart(era) {
		first = t.windowAt(since + clockTolerance)
	}
	for _, seal := range t.config.Tally.Seals(first) {
		first = max(first, seal.Window+1)
	}
	return first
}

// windowAt returns the window at a time of the steady clock. The time of day may have been
// corrected since.
func (t *termRun) windowAt(at clock.Millis) int64 {
	clk := t.config.Clock
	return t.config.Tally.WindowAt(clk.Wall() - (clk.Now() - at))
}

func (t *termRun) writeEra(ctx context.Context, row table.Row, record eraRecord) error {
	value, err := msgpack.Marshal(record)
	if err != nil {
		return err
	}
	return t.config.Table.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: eraRow, Version: row.Version}},
		Writes:     []table.Write{{Key: eraRow, Value: value}},
		Era:        row.Era,
	})
}
