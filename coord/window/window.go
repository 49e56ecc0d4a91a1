// Package window aggregates batches of records into numbered windows, seals each
// window in a table and reports it.
//
// A window is closed in one transaction, which writes the window's row and the
// record of the batches that have been counted. The transaction is conditional
// on the version of that record and on the row of the lease. If two processes
// both assume that they hold the lease, the transaction of one of them fails.
// Batches that arrive after a window is closed are counted in the next one.
// Batches that arrive again are recognized by their identity and deleted.
//
// Only sealed windows are reported, in the order of their numbers. A retried
// report carries the same sealed bytes. A row of its own stores the number of
// the last reported window. The function that sends the report must use a
// connection that is guarded by the lease.
//
// # Usage
//
//	sealer := window.New(window.Config{
//		Table: client, Clock: clk, Scope: "sask-central",
//		BatchPrefix: "Usage/Batch/", WindowPrefix: "Usage/Window/", StatePrefix: "Usage/Sealed/", ReportedPrefix: "Usage/Reported/",
//		Lease: holder.Lease, LeaseCondition: condition, Fold: fold, Report: report, Interval: clock.Minute,
//	})
//	go sealer.Run(ctx)
package window

import (
	"context"
	"errors"
	"fmt"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

// Errors that a Sealer's methods return, possibly wrapped.
var (
	// ErrLeaseNotHeld is returned when this process does not hold the lease.
	ErrLeaseNotHeld = errors.New("window: lease is not held")
	// ErrConflict is returned when another process has closed or reported a
	// window or taken the lease at the same time.
	ErrConflict = errors.New("window: rows were changed by another process")
)

// Header identifies a window.
type Header struct {
	Scope string
	// Number counts the windows of a scope from 1 without gaps.
	Number uint64
	// Fence is the fencing number of the lease under which it was closed.
	Fence uint64
	// Start and End are Unix milliseconds, for display only.
	Start clock.Millis
	End   clock.Millis
}

// Sealed is a closed window. Value never changes.
type Sealed struct {
	Scope  string
	Number uint64
	Value  []byte
}

// Config configures a Sealer. All fields except Observe are required.
type Config struct {
	Table table.Client
	Clock clock.Clock
	// Scope selects the batches that are aggregated: those of incarnations
	// that start with the scope and a slash.
	Scope string
	// BatchPrefix is the key prefix of all batch rows; the scope is appended.
	BatchPrefix string
	// WindowPrefix, StatePrefix and ReportedPrefix are the key prefixes of
	// the rows that the Sealer writes; the scope is appended.
	WindowPrefix   string
	StatePrefix    string
	ReportedPrefix string
	// Lease returns the fencing number and the expiry of the lease; ok is
	// false when it is not held.
	Lease func() (fence uint64, expiry clock.Millis, ok bool)
	// LeaseCondition returns a condition that holds while no other process
	// has acquired the lease since the one with this fencing number.
	LeaseCondition func(ctx context.Context, fence uint64) (table.Condition, error)
	// Fold aggregates the payloads of batches into the value of a window. It
	// must skip payloads that it cannot decode, not fail.
	Fold func(header Header, payloads [][]byte) ([]byte, error)
	// Report sends a window. It is retried after an error.
	Report func(ctx context.Context, fence uint64, sealed Sealed) error
	// Interval is the length of a window.
	Interval clock.Millis
	// MaxBatches limits the batches of a window: the Sealer reads no further
	// page of rows once it has that many. When there are more batches, the
	// next window is closed at once.
	MaxBatches int
	// IncarnationRetention is the number of windows without a batch of an
	// incarnation after which its counted identities are dropped. A copy of a
	// batch that arrives later than that would be counted again.
	IncarnationRetention uint64
	// CallTimeout bounds one call of the table or of Report.
	CallTimeout clock.Millis
	// Observe is called with the outcome of each step; it may be nil.
	Observe func(step Step, number uint64, err error)
}

// Step names a step of a Sealer.
type Step string

// Steps of a Sealer.
const (
	StepClose  Step = "Close"
	StepReport Step = "Report"
)

// RowKey returns the key of a window's row.
func RowKey(prefix, scope string, number uint64) string {
	return fmt.Sprintf("%s%s/%020d", prefix, scope, number)
}
