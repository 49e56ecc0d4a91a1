// Package table defines a typed client of the transactional table service that
// coordination builds on, and an in-memory implementation for tests.
//
// The service stores rows. A row has a key, a value and a version that grows
// with every write. A transaction checks conditions on versions and writes rows
// atomically. The service may be down or slow, and an answer may be lost after
// the transaction has taken effect: Commit then returns ErrUnknown and the
// caller must read the rows back to learn the outcome.
//
// # Usage
//
//	row, err := client.Get(ctx, "Lease/sask-central")
//	...
//	err = client.Commit(ctx, table.Txn{
//		Conditions: []table.Condition{{Key: row.Key, Version: row.Version}},
//		Writes:     []table.Write{{Key: row.Key, Value: next}},
//	})
//	switch {
//	case errors.Is(err, table.ErrConflict): // the row has changed; nothing was written
//	case errors.Is(err, table.ErrUnavailable): // nothing was written
//	case errors.Is(err, table.ErrUnknown): // the row may have been written: read it back
//	}
//
// Tests and examples use the client of a Memory.
package table

import (
	"context"
	"errors"
)

// Errors that a Client's functions return, possibly wrapped.
var (
	// ErrConflict is returned when a condition did not hold and nothing was
	// written.
	ErrConflict = errors.New("table: a condition of the transaction does not hold")
	// ErrUnavailable is returned when the service did not execute the call:
	// nothing was written or read.
	ErrUnavailable = errors.New("table: service unavailable")
	// ErrUnknown is returned when no answer arrived: the transaction may have
	// taken effect, may yet take effect, or may never do so.
	ErrUnknown = errors.New("table: outcome unknown")
	// ErrEraChanged is returned when the service has come back from a copy since
	// the era of the transaction: the conditions may have held for other states of
	// the rows, and the transaction may have taken effect.
	ErrEraChanged = errors.New("table: the era has changed")
)

// Row is one row of the table. A row that does not exist has Version 0 and a
// nil Value.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	// Era is the era in which the row was read, see Position.
	Era uint64
}

// Condition requires that the row with key Key has exactly this Version; 0
// requires that the row does not exist.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets the value of a row, or deletes the row. A row that is deleted and
// written again continues with a greater version.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is a transaction: if all Conditions hold, all Writes take effect.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	// Era is the era of the reads that gave the versions of Conditions. It does not
	// matter if there are none.
	Era uint64
}

// Client reads and writes the table. All fields are required.
type Client struct {
	// Get reads one row. A missing row is not an error.
	Get func(ctx context.Context, key string) (Row, error)
	// Scan reads at most limit rows whose key starts with prefix and is
	// greater than after, in the order of their keys.
	Scan func(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit executes a transaction atomically.
	Commit func(ctx context.Context, txn Txn) error
}
