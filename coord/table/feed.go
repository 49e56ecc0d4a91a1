package table

import (
	"context"
	"errors"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// ErrHistoryGone is returned when the service no longer has the changes since a
// revision. The caller must take a new snapshot.
var ErrHistoryGone = errors.New("table: history since the revision is gone")

// Position is a point in the history of the service. A service that comes back from
// a copy has lost its newest transactions and gives their revisions out again, in a
// later era. Positions are therefore ordered by their era first.
type Position struct {
	// Era rises each time that the service comes back from a copy. It is 0 if the
	// service never does.
	Era uint64
	// Revision counts the transactions of the whole service within an era.
	Revision uint64
}

// Before reports whether p precedes other.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}

// Page is a part of the rows under a prefix.
type Page struct {
	Rows []Row
	// At is the position of the service when it read the rows.
	At Position
	// More is set if further rows follow.
	More bool
}

// Feed reads the changes of rows. All fields are required.
//
// A reader takes a snapshot, which is all pages of rows, and then requests the changes
// after the position of its first page:
//
//	page, err := feed.ReadPage(ctx, "Endpoints/", "")
//	next, err := feed.ReadPage(ctx, "Endpoints/", page.Rows[len(page.Rows)-1].Key)
//	changes, at, err := feed.Changes(ctx, "Endpoints/", page.At, 2*clock.Second)
//
// If the era of an answer differs from that of the first page, changes may be missing,
// and the reader must take a new snapshot.
type Feed struct {
	// ReadPage reads the next rows whose key starts with prefix and is greater than
	// after, in the order of their keys. Every change that the rows do not include has a
	// later position.
	ReadPage func(ctx context.Context, prefix, after string) (Page, error)
	// Changes returns the rows that changed after a position, in order. It
	// blocks until there are any and returns none after wait. A deleted row
	// has Version 0. The next call continues from the returned position.
	Changes func(ctx context.Context, prefix string, after Position, wait clock.Millis) (rows []Row, at Position, err error)
}
