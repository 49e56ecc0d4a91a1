// Package claim lets at most one of many processes claim a key in a table, so
// that the work identified by the key is started at most once.
//
// A claim is a row of the table. It is written on condition that the row is
// absent or holds a tombstone, and the work may start only after the write was
// confirmed. If the table's answer is lost, the row is read back and recognized
// by the claim's nonce. If that fails too, the claim is abandoned: the work is
// not started, and the claim is released in the background as soon as the table
// answers again.
//
// A released row is kept as a tombstone instead of being deleted. The condition
// of a claim transaction still in flight then no longer holds, however late it
// arrives. Every release therefore changes the version of the row, even if the
// row must be created for it.
//
// The owner of a claim records how the work ended: Completed with the answer,
// Completed without an answer that was too large to keep, or Lost if it is
// unknown whether the work ran. Claims of a dead owner stay Claimed. A reader
// that considers the owner dead treats the outcome as unknown. This is safe even
// if the reader is wrong: a claim once won is never granted to another process.
//
// Claims of many requests share a transaction (see Config.CommitInterval), and
// a Relay batches the claims of many processes.
//
// A Cleaner removes old claims. Their age is counted in epochs stored in the
// table, not by the clock of any process.
//
// # Usage
//
//	store := claim.New(claim.Config{Table: client, Clock: clk, Prefix: "Claim/", EpochKey: "ClaimEpoch",
//		Owner: "vm-3", Incarnation: "vm-3.81f2"})
//	go store.Run(ctx)
//
//	result, err := store.Claim(ctx, "halvorsen", "honorarium-118", digest)
//	switch {
//	case err != nil:               // not claimed; the work must not be started
//	case result.Outcome == claim.Won:
//		answer, err := work()
//		store.Finish(result.Claim, answer)
//	case result.Outcome == claim.Existing:
//		// result.Record is the record of the existing claim
//	}
package claim

import (
	"errors"
	"fmt"
	"net/url"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/packed"
	"github.com/banyanshift/banyanshift/coord/table"
)

// ErrUnavailable is returned when the claim was not confirmed because the table
// did not answer in time or too many releases are pending. The work must not be
// started. If the claim was written after all, it is released in the background.
var ErrUnavailable = errors.New("claim: table unavailable")

// ErrReleasing is returned while this process releases an earlier claim of the
// same key. The work was not started; the caller may retry the claim later.
var ErrReleasing = errors.New("claim: an earlier claim is being released")

// ReusedError is returned when the key was claimed for a different body.
type ReusedError struct {
	Scope string
	Key   string
}

// Error implements error.
func (e *ReusedError) Error() string {
	return fmt.Sprintf("claim: key %q of %s was used with another body", e.Key, e.Scope)
}

// State is the recorded state of a claim.
type State string

// The states of a claim.
const (
	// Claimed means that the owner may have started the work.
	Claimed State = "Claimed"
	// Completed means that the work ended and the owner received its answer.
	Completed State = "Completed"
	// Lost means that the owner started the work and cannot know its outcome.
	Lost State = "Lost"
	// Released means that the work was not started. The key is free.
	Released State = "Released"
)

// Record is the value of a claim's row, encoded with msgpack.
type Record struct {
	State State
	// Nonce is unique to one attempt to claim.
	Nonce string
	// Owner and Incarnation identify the process that made the claim.
	Owner       string
	Incarnation string
	// Digest identifies the body of the work.
	Digest [32]byte
	// Epoch is the epoch of the table when the claim was made.
	Epoch uint64
	// Answer is the result of Completed work if it was kept.
	Answer []byte
	// AnswerDropped means that the work is Completed but its answer was not
	// kept: it was too large, or too many answers were waiting to be written.
	AnswerDropped bool
}

// Claim is the right to start the work of a key once.
type Claim struct {
	Scope  string
	Key    string
	Record Record
	row    string
}

// Outcome is the result of a successful call of Store.Claim.
type Outcome string

// The outcomes of Claim.
const (
	// Won means that the caller owns the claim and must end it by Finish,
	// MarkLost or Release.
	Won Outcome = "Won"
	// Existing means that the key is already claimed.
	Existing Outcome = "Existing"
)

// Result is what Store.Claim returns.
type Result struct {
	Outcome Outcome
	// Claim is set when the outcome is Won.
	Claim Claim
	// Record is the record of the existing claim when the outcome is Existing.
	Record Record
}

// RowKey returns the table key of a claim's row.
func RowKey(prefix, scope, key string) string {
	return prefix + url.PathEscape(scope) + "/" + url.PathEscape(key)
}

func decode(row table.Row) (record Record, err error) {
	if row.Version == 0 {
		return Record{}, nil
	}
	err = packed.Unmarshal(row.Value, &record)
	return record, err
}

func encode(record Record) []byte {
	value, err := msgpack.Marshal(record)
	if err != nil {
		panic("claim: cannot encode record: " + err.Error())
	}
	return value
}
