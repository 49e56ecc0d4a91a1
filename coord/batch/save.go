package batch

import (
	"context"
	"errors"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/coord/table"
)

// maxSaveRounds is how often Save tries again when other processes write some
// of the same batches meanwhile.
const maxSaveRounds = 4

// Save brings batches into the table in one transaction. It returns nil when
// each of them is or was in the table. After an error it may be called again
// with the same batches.
func Save(ctx context.Context, client table.Client, prefix string, batches []Batch) (err error) {
	defer func() { err = oops.Wrapf(err, "save batches") }()
	for range maxSaveRounds {
		if len(batches) == 0 {
			return nil
		}
		err = client.Commit(ctx, saveTxn(prefix, batches))
		if !errors.Is(err, table.ErrConflict) && !errors.Is(err, table.ErrUnknown) {
			return err
		}
		missing, readErr := absent(ctx, client, prefix, batches)
		if readErr != nil {
			return readErr
		}
		if len(missing) == 0 {
			return nil
		}
		batches = missing
	}
	return err
}

func saveTxn(prefix string, batches []Batch) (txn table.Txn) {
	for _, b := range batches {
		key := b.RowKey(prefix)
		txn.Conditions = append(txn.Conditions, table.Condition{Key: key})
		txn.Writes = append(txn.Writes, table.Write{Key: key, Value: b.Payload})
	}
	return txn
}

func absent(ctx context.Context, client table.Client, prefix string, batches []Batch) (missing []Batch, err error) {
	for _, b := range batches {
		row, err := client.Get(ctx, b.RowKey(prefix))
		if err != nil {
			return nil, err
		}
		if row.Version == 0 {
			missing = append(missing, b)
		}
	}
	return missing, nil
}
