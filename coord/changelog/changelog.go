// Package changelog keeps a totally ordered log of accepted changes in the
// transactional table, so that many processes follow the same sequence of
// states.
//
// Each change is one transaction. It is conditional on the head of the log and
// on the revision of every entity that it writes; it appends the change, moves
// the head, writes the entities' rows and records the request id of the
// operator. Sending the same proposal again, after an answer was lost or by
// another process, returns the change that the first attempt made. A race for
// the head alone is retried; a race for the same entity ends in a
// ConflictError and nothing is merged.
//
// The revision of an entity is the sequence number of the change that wrote it
// last, 0 while it does not exist. Values are opaque bytes.
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
//	case errors.As(err, &conflict): // somebody else changed conflict.Entity
//	case errors.Is(err, table.ErrUnavailable): // nothing was written
//	case errors.Is(err, table.ErrUnknown): // append the same proposal again to learn what became of it
//	}
//
// Readers load the newest snapshot and the tail, and read on from there:
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

// AnyRevision as the expected revision of an entity accepts whatever revision
// it has, also none. It is meant for writes that are right whatever came
// before, such as the withdrawal of a key.
const AnyRevision uint64 = math.MaxUint64

// Errors that a Log's methods return, possibly wrapped.
var (
	// ErrConflict is matched by every ConflictError.
	ErrConflict = errors.New("changelog: entity was changed by somebody else")
	// ErrRequestIDReused says that the request id was used for another proposal.
	ErrRequestIDReused = errors.New("changelog: request id was used for a different change")
	// ErrGap says that the stored log lacks a change.
	ErrGap = errors.New("changelog: a change is missing")
	// ErrInvalid says that the proposal is malformed.
	ErrInvalid = errors.New("changelog: invalid proposal")
)

// EntityWrite is what one change did to one entity.
type EntityWrite struct {
	// Entity is the name of the entity.
	Entity string
	// Revision is the revision that the entity has after the change.
	Revision uint64
	// Before is the value before the change, nil when it did not exist.
	Before []byte
	// Value is the value after the change, nil when it was deleted.
	Value   []byte
	Deleted bool
}

// Change is one accepted change.
type Change struct {
	// Sequence counts the changes from 1 without gaps.
	Sequence  uint64
	Actor     string
	RequestID string
	// Wall is when the change was proposed, in milliseconds since the Unix
	// epoch, for people.
	Wall   clock.Millis
	Writes []EntityWrite
}

// Write asks for one entity to be set or deleted.
type Write struct {
	Entity  string
	Value   []byte
	Deleted bool
}

// Proposal asks for one change of one or several entities, all or nothing.
type Proposal struct {
	Actor string
	// RequestID identifies the proposal; a retry carries the same.
	RequestID string
	// Expected holds the revision on which each written entity is based. A
	// missing entry is 0: the entity must not exist.
	Expected map[string]uint64
	Writes   []Write
}

// Entry is the state of one entity within a Snapshot.
type Entry struct {
	Entity   string
	Revision uint64
	Value    []byte
}

// Snapshot is the state of all entities after the change Sequence.
type Snapshot struct {
	Sequence uint64
	Entries  []Entry
}

// ConflictError says which entity has another revision than expected.
type ConflictError struct {
	Entity   string
	Expected uint64
	Actual   uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at revision %d, expected %d", e.Entity, e.Actual, e.Expected)
}

// Is reports that e is an ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}
