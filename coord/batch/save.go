package batch

import (
	"context"
	"errors"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/coord/table"
)

// maxSaveAttempts bounds the commits of one Save. Save retries without the
// stored batches when another process writes some of them concurrently.
const maxSaveAttempts = 4

// Save writes batches to the table in one transaction. Batches that are already
// in the table count as saved. After an error Save may be called again with the
// same batches.
func Save(ctx context.Context, client table.Client, prefix string, batches []Batch) (err error) {
	defer func() { err = oops.Wrapf(err, "save batches") }()
	for range maxSaveAttempts {
		if len(batches) == 0 {
			return nil
		}
		err = client.Commit(ctx, saveTxn(prefix, batches))
		if !errors.Is(err, table.ErrConflict) && !errors.Is(err, table.ErrUnknown) {
			return err
		}
		missing, readErr := missingBatches(ctx, client, prefix, batches)
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

func missingBatches(ctx context.Context, client table.Client, prefix string, batches []Batch) (missing []Batch, err error) {
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
