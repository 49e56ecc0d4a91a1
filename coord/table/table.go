// Package table describes the transactional table service that coordination
// builds on, as a small typed client.
//
// The service keeps rows, each a key, a value and a version that grows with
// every write. A transaction checks conditions on versions and writes rows,
// all or nothing. The service may be down or slow, and an answer may be lost
// after the transaction has taken effect: Commit then returns ErrUnknown and
// the caller must read back what became of it.
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
//	case errors.Is(err, table.ErrConflict): // somebody else was first; nothing was written
//	case errors.Is(err, table.ErrUnavailable): // nothing was written
//	case errors.Is(err, table.ErrUnknown): // it may have been written: read back
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
	// ErrConflict says that a condition did not hold and nothing was written.
	ErrConflict = errors.New("table: a condition of the transaction does not hold")
	// ErrUnavailable says that the service did not take the call: nothing was
	// written or read.
	ErrUnavailable = errors.New("table: service unavailable")
	// ErrUnknown says that no answer came: the transaction may have been
	// written, may yet be written, or not.
	ErrUnknown = errors.New("table: outcome unknown")
)

// Row is one row of the table. A row that does not exist has Version 0 and a
// nil Value.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Condition requires that the row Key has exactly this Version; 0 requires
// that it does not exist.
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
}

// Client gives access to the table. All fields must be set.
type Client struct {
	// Get reads one row. A missing row is no error.
	Get func(ctx context.Context, key string) (Row, error)
	// Scan reads at most limit rows whose key starts with prefix and is
	// greater than after, in the order of their keys.
	Scan func(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit executes a transaction.
	Commit func(ctx context.Context, txn Txn) error
}
