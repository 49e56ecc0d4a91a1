// Package claim lets one of many processes claim a key in a table, so that the
// work which the key stands for is started at most once.
//
// A claim is a row of the table. It is written under the condition that the
// row is absent, or holds a claim that was released unused, and the work may
// start only after the write was confirmed. When the answer of the table is
// lost, the row is read back and recognized by the claim's own nonce. When that
// fails too, the claim is given up: the work is not started, and the claim is
// released in the background as soon as the table answers again.
//
// A released row is kept as a tombstone instead of being deleted. A claim whose
// transaction is still under way somewhere then finds that its condition no
// longer holds, however late it arrives. Every release therefore moves the
// version of the row, also when the row still has to be created for it.
//
// The owner of a claim records how the work ended: Completed with the answer,
// Completed with an answer that was too large to keep, or Lost when nobody knows
// whether the work ran. Claims whose owner has died stay Claimed; whoever asks
// decides from its own view of the owners that nobody knows, which is safe
// whether or not the view is right: a claim once won is never given to anybody
// else.
//
// Claims of many requests are written in one transaction, see Config.CommitInterval, and
// those of many processes too, see Relay.
//
// Old claims are removed by a Cleaner. Age is counted in epochs of the table,
// not in anybody's clock.
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
//		// result.Record says what is known of the first one
//	}
package claim

import (
	"errors"
	"fmt"
	"net/url"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/table"
)

// ErrUnavailable says that no claim was made because the table did not answer
// in time. The work must not be started. Should the claim have been written
// nevertheless, it is released in the background.
var ErrUnavailable = errors.New("claim: table unavailable")

// ErrReleasing says that a claim of the same key is being released at the
// moment. The work was not started and may be claimed again a little later.
var ErrReleasing = errors.New("claim: an earlier claim is being released")

// ReusedError says that the key was claimed for another body.
type ReusedError struct {
	Scope string
	Key   string
}

// Error implements error.
func (e *ReusedError) Error() string {
	return fmt.Sprintf("claim: key %q of %s was used with another body", e.Key, e.Scope)
}

// State says what is recorded about a claim.
type State string

// The states of a claim.
const (
	// Claimed says that the owner may have started the work.
	Claimed State = "Claimed"
	// Completed says that the work has ended and the answer was seen.
	Completed State = "Completed"
	// Lost says that the owner started the work and cannot know its outcome.
	Lost State = "Lost"
	// Released says that the work was not started. The key is free.
	Released State = "Released"
)

// Record is the value of a claim's row, encoded with msgpack.
type Record struct {
	State State
	// Nonce is unique to one attempt to claim.
	Nonce string
	// Owner and Incarnation name the process that made the claim.
	Owner       string
	Incarnation string
	// Digest identifies the body of the work.
	Digest [32]byte
	// Epoch is the epoch of the table when the claim was made.
	Epoch uint64
	// Answer is what the work returned, when it is Completed and small enough.
	Answer []byte
	// AnswerDropped says that the work is Completed and that its answer was
	// too large to keep.
	AnswerDropped bool
}

// Claim is the right to start the work of one key once.
type Claim struct {
	Scope  string
	Key    string
	Record Record
	row    string
}

// Outcome says what came of an attempt to claim.
type Outcome string

// The outcomes of Claim.
const (
	// Won says that the caller has the claim and must end it by Finish, MarkLost
	// or Release.
	Won Outcome = "Won"
	// Existing says that the key is taken.
	Existing Outcome = "Existing"
)

// Result is what Store.Claim returns.
type Result struct {
	Outcome Outcome
	// Claim is set when the outcome is Won.
	Claim Claim
	// Record is the record of the other claim when the outcome is Existing.
	Record Record
}

// RowKey returns the key of the row of a claim.
func RowKey(prefix, scope, key string) string {
	return prefix + url.PathEscape(scope) + "/" + url.PathEscape(key)
}

func decode(row table.Row) (record Record, err error) {
	if row.Version == 0 {
		return Record{}, nil
	}
	err = msgpack.Unmarshal(row.Value, &record)
	return record, err
}

func encode(record Record) []byte {
	value, err := msgpack.Marshal(record)
	if err != nil {
		panic("claim: a record cannot be encoded: " + err.Error())
	}
	return value
}
