package fleet

import (
	"context"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

// tableLoop registers this daemon in the table and discovers the others there.
func (f *Fleet) tableLoop(ctx context.Context) error {
	registered := false
	for {
		err := f.syncTable(ctx, &registered)
		delay := tableInterval
		if err != nil {
			eventRegisterFailed.Log(f.config.Logger, logrus.Fields{"Error": err.Error()})
			delay = tableRetryDelay + clock.Millis(f.config.Rand.Int64N(int64(tableRetryDelay)))
		}
		if err := f.config.Clock.Sleep(ctx, delay); err != nil {
			return err
		}
	}
}

// syncTable writes the row of this daemon once, and adds the daemons of the
// other rows as peers.
func (f *Fleet) syncTable(ctx context.Context, registered *bool) (err error) {
	defer func() { err = oops.Wrapf(err, "list daemons") }()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	if !*registered {
		value, err := msgpack.Marshal(vm{ID: f.config.Self.ID, Address: f.config.Self.Address})
		if err != nil {
			return err
		}
		write := table.Write{Key: rowPrefix + f.config.Self.ID, Value: value}
		if err := f.config.Table.Commit(ctx, table.Txn{Writes: []table.Write{write}}); err != nil {
			return err
		}
		*registered = true
	}
	const maxRows = 500
	rows, err := f.config.Table.Scan(ctx, rowPrefix, "", maxRows)
	if err != nil {
		return err
	}
	for _, row := range rows {
		var other vm
		if err := msgpack.Unmarshal(row.Value, &other); err != nil {
			f.config.Logger.WithError(err).WithField("Key", row.Key).Warn("row of a daemon could not be decoded")
			continue
		}
		f.addPeer(other.ID, other.Address)
	}
	return nil
}
