// Package window closes windows over batches of records, seals their figures and
// reports each window once.
//
// A window is closed in one transaction, which writes the window's row and the
// record of which batches have been counted. The transaction is conditional on
// the version of that record and on the row of the lease, so of two processes
// that both believe they hold the lease one fails. Batches that come later go to
// the next window, and batches that come again are recognized by their identity
// and deleted, whenever that is.
//
// Only sealed windows are reported, in the order of their numbers and with the
// bytes that were sealed, so a report that is sent again is the same report. How
// far windows were reported is kept in a row of its own. The function that sends
// the report must do so over a connection that is guarded by the lease.
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
	// ErrLeaseNotHeld says that this process does not hold the lease.
	ErrLeaseNotHeld = errors.New("window: lease is not held")
	// ErrConflict says that another process closed a window at the same time.
	ErrConflict = errors.New("window: another process was first")
)

// Header identifies a window.
type Header struct {
	Scope string
	// Number counts the windows of a scope from 1 without gaps.
	Number uint64
	// Fence is the fencing number of the lease under which it was closed.
	Fence uint64
	// Start and End are Unix milliseconds, for people.
	Start clock.Millis
	End   clock.Millis
}

// Sealed is a closed window. Value never changes.
type Sealed struct {
	Scope  string
	Number uint64
	Value  []byte
}

// Config configures a Sealer. All fields must be set but Observe.
type Config struct {
	Table table.Client
	Clock clock.Clock
	// Scope names the part of the batches that is summed up together. Their
	// incarnations start with the scope and a slash.
	Scope string
	// BatchPrefix is the prefix of all batches' rows; the scope is added.
	BatchPrefix string
	// WindowPrefix, StatePrefix and ReportedPrefix are the prefixes of the
	// rows that the Sealer keeps; the scope is added.
	WindowPrefix   string
	StatePrefix    string
	ReportedPrefix string
	// Lease returns the fencing number of the lease, and until when it is
	// held; ok is false when it is not held.
	Lease func() (fence uint64, until clock.Millis, ok bool)
	// LeaseCondition returns a condition that holds as long as the lease with this
	// fencing number has not passed on.
	LeaseCondition func(ctx context.Context, fence uint64) (table.Condition, error)
	// Fold sums up the payloads of batches into the value of a window. It
	// must leave out payloads that it cannot read, not fail.
	Fold func(header Header, payloads [][]byte) ([]byte, error)
	// Report sends a window. It is called again after an error.
	Report func(ctx context.Context, fence uint64, sealed Sealed) error
	// Interval is the length of a window.
	Interval clock.Millis
	// MaxBatches is how many batches a window has at most. When there are
	// more, the next window is closed at once.
	MaxBatches int
	// IncarnationRetention is for how many windows without a batch an
	// incarnation's counted identities are remembered. No copy of a batch
	// may turn up for the first time later than that.
	IncarnationRetention uint64
	// CallTimeout bounds one call of the table or of Report.
	CallTimeout clock.Millis
	// Observe is told of the outcome of each step; it may be nil.
	Observe func(step Step, number uint64, err error)
}

// Step names a step of a Sealer.
type Step string

// The steps.
const (
	StepClose  Step = "Close"
	StepReport Step = "Report"
)

// RowKey returns the key of a window's row.
func RowKey(prefix, scope string, number uint64) string {
	return fmt.Sprintf("%s%s/%020d", prefix, scope, number)
}
