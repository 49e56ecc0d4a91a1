// Package changelog keeps a totally ordered log of accepted changes in the
// transactional table, so that many processes follow the same sequence of
// states.
//
// Each change is one transaction. It is conditional on the head of the log and
// on the revision of every entity that it writes. It appends the change, moves
// the head, writes the rows of the entities and records the operator's request
// ID. Appending is idempotent: when a proposal is sent again, after a lost answer
// or by another process, Append returns the change that the first attempt made.
// A conflict on the head alone is retried. A conflict on an entity fails with a
// ConflictError; concurrent changes are never merged.
//
// The revision of an entity is the sequence number of the change that last wrote
// it, 0 while the entity does not exist. Values are opaque bytes.
//
// # Usage
//
//	log := changelog.New(changelog.Config{Table: client, Clock: clk, Prefix: "Config"})
//
//	change, err := log.Append(ctx, changelog.Proposal{
//		Actor:     "ada",
//		RequestID: "4b1c",
//		Expected:  map[string]uint64{"Team/everest": 17},
//		Writes:    []changelog.Write{{Entity: "Team/everest", Value: value}},
//	})
//	var conflict *changelog.ConflictError
//	switch {
//	case errors.As(err, &conflict): // another proposal changed conflict.Entity
//	case errors.Is(err, table.ErrUnavailable): // nothing was written
//	case errors.Is(err, table.ErrUnknown): // append the same proposal again to learn the outcome
//	}
//
// Readers load the newest snapshot and the changes after it, and then poll for
// further changes:
//
//	snapshot, tail, err := log.Load(ctx)
//	changes, err := log.Tail(ctx, sequence, 500)
package changelog

import (
	"errors"
	"fmt"
	"math"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// AnyRevision as the expected revision of an entity matches every revision, also
// that of an entity that does not exist. It is meant for writes that are correct
// in any state, such as the withdrawal of a key.
const AnyRevision uint64 = math.MaxUint64

// Errors that a Log's methods return, possibly wrapped.
var (
	// ErrConflict is matched by every ConflictError.
	ErrConflict = errors.New("changelog: entity was changed by somebody else")
	// ErrRequestIDReused is returned when the request ID was used for another
	// proposal.
	ErrRequestIDReused = errors.New("changelog: request id was used for a different change")
	// ErrGap is returned when a change is missing from the stored log.
	ErrGap = errors.New("changelog: a change is missing")
	// ErrInvalid is returned for a malformed proposal.
	ErrInvalid = errors.New("changelog: invalid proposal")
)

// EntityWrite is the effect of one change on one entity.
type EntityWrite struct {
	// Entity is the name of the entity.
	Entity string
	// Revision is the revision of the entity after the change.
	Revision uint64
	// Before is the value before the change, nil when the entity did not
	// exist.
	Before []byte
	// Value is the value after the change, nil when the entity was deleted.
	Value   []byte
	Deleted bool
}

// Change is one accepted change.
type Change struct {
	// Sequence counts the changes from 1 without gaps.
	Sequence  uint64
	Actor     string
	RequestID string
	// Wall is the wall-clock time at which the change was proposed, in
	// milliseconds since the Unix epoch, for display only.
	Wall   clock.Millis
	Writes []EntityWrite
}

// Write sets or deletes one entity.
type Write struct {
	Entity  string
	Value   []byte
	Deleted bool
}

// Proposal requests an atomic change of one or several entities.
type Proposal struct {
	Actor string
	// RequestID is the idempotency key of the proposal; a retry carries the
	// same ID.
	RequestID string
	// Expected holds the required current revision of each written entity. A
	// missing entry means 0: the entity must not exist.
	Expected map[string]uint64
	Writes   []Write
}

// Entry is the state of one entity within a Snapshot.
type Entry struct {
	Entity   string
	Revision uint64
	Value    []byte
}

// Snapshot is the state of all entities after the change with number Sequence.
type Snapshot struct {
	Sequence uint64
	Entries  []Entry
}

// ConflictError describes an entity whose revision differs from the expected
// one.
type ConflictError struct {
	Entity   string
	Expected uint64
	Actual   uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at revision %d, expected %d", e.Entity, e.Actual, e.Expected)
}

// Is makes errors.Is match ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}
