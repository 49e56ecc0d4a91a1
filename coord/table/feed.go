package table

import (
	"context"
	"errors"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// ErrHistoryGone is returned when the service no longer has the changes since a
// revision. The caller must take a new Snapshot.
var ErrHistoryGone = errors.New("table: history since the revision is gone")

// Feed reads the changes of rows. All fields are required.
//
// A revision counts the transactions of the whole service. A reader takes a
// Snapshot and then requests the changes after its revision:
//
//	rows, revision, err := feed.Snapshot(ctx, "Endpoints/")
//	changes, revision, err := feed.Changes(ctx, "Endpoints/", revision, 2*clock.Second)
type Feed struct {
	// Snapshot reads all rows whose key starts with prefix. Every change that
	// the rows do not include has a greater revision.
	Snapshot func(ctx context.Context, prefix string) (rows []Row, revision uint64, err error)
	// Changes returns the rows that changed after a revision, in order. It
	// blocks until there are any and returns none after wait. A deleted row
	// has Version 0. The next call continues from the returned revision.
	Changes func(ctx context.Context, prefix string, after uint64, wait clock.Millis) (rows []Row, revision uint64, err error)
}
