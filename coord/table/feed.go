package table

import (
	"context"
	"errors"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// ErrHistoryGone says that the service no longer has the changes since a revision:
// the rows have to be read anew.
var ErrHistoryGone = errors.New("table: history since the revision is gone")

// Feed gives access to the changes of rows. All fields must be set.
//
// A revision counts the transactions of the whole service. A feed begins with
// a Snapshot and goes on with the changes after its revision:
//
//	rows, revision, err := feed.Snapshot(ctx, "Endpoints/")
//	changes, revision, err := feed.Changes(ctx, "Endpoints/", revision, 2*clock.Second)
type Feed struct {
	// Snapshot reads all rows whose key starts with prefix. Every change that
	// it does not show has a greater revision.
	Snapshot func(ctx context.Context, prefix string) (rows []Row, revision uint64, err error)
	// Changes returns the rows changed after a revision, in order, as soon as
	// there are any, or none after wait. A deleted row has Version 0. It goes
	// on from the returned revision.
	Changes func(ctx context.Context, prefix string, after uint64, wait clock.Millis) (rows []Row, revision uint64, err error)
}
