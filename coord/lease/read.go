package lease

import (
	"context"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/coord/packed"
	"github.com/banyanshift/banyanshift/coord/table"
)

// Peek returns the row of a lease for processes that do not compete for it. The
// Holder of a row that was never written is empty.
func Peek(ctx context.Context, client table.Client, key string) (row Row, err error) {
	_, row, err = read(ctx, client, key)
	return row, err
}

func read(ctx context.Context, client table.Client, key string) (stored table.Row, row Row, err error) {
	defer func() { err = oops.Wrapf(err, "read lease %s", key) }()
	stored, err = client.Get(ctx, key)
	if err != nil || stored.Version == 0 {
		return stored, Row{}, err
	}
	err = packed.Unmarshal(stored.Value, &row)
	return stored, row, err
}
