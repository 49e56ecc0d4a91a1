// Package claim ensures that a request with an idempotency key runs at most once,
// whichever daemons its retries reach.
//
// Begin claims the key in the scope of a team before the first byte of the
// request is sent to an endpoint, and decides whether the request may run. A
// request that may run must be concluded with exactly one of Finish, MarkLost and
// Release:
//
//   - Finish: the complete answer arrived; retries get the same answer.
//   - MarkLost: bytes were sent to the endpoint and no complete answer arrived;
//     retries get Run: Unknown.
//   - Release: no byte was sent, or the endpoint reported that the request did
//     not run; the key is free again and retries may run.
//
// A retry is refused with Run: Unknown when the answer was too large to keep, the
// daemon that held the claim died, or the request was lost. It never runs again.
//
// When the table does not answer, a claim waits up to half of the class's target,
// so that short interruptions do not fail requests. Once the table has been
// failing for two seconds, requests are refused immediately with Run: Not, which
// is certain, except for one probe per second.
//
// # Usage
//
//	decision, err := claims.Begin(ctx, team, key, sha256.Sum256(body), class.FirstTokenTarget)
//	if err != nil { ... the caller disconnected ... }
//	switch decision.Outcome {
//	case claim.Run:
//		answer, err := forward(...)
//		claims.Finish(decision.Claim, answer)
//	case claim.Replay:
//		... send decision.Answer ...
//	case claim.InProgress, claim.Refuse:
//		... send decision.Refusal ...
//	}
package claim

import (
	"context"
	"errors"
	"net/http"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/claim"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/packed"
	"github.com/banyanshift/banyanshift/internal/caller/request"
)

// lookupTimeout is the timeout of a lookup at the owner of a claim.
const lookupTimeout = clock.Second

// MaxKeyLength is the maximum length of an idempotency key in bytes.
const MaxKeyLength = 255

// Outcome is the decision about a request.
type Outcome string

// The outcomes of Begin.
const (
	// Run means that the request may run once.
	Run Outcome = "Run"
	// Replay means that the recorded answer must be sent.
	Replay Outcome = "Replay"
	// InProgress means that a request with the same key is still running.
	InProgress Outcome = "InProgress"
	// Refuse means that the request must not run.
	Refuse Outcome = "Refuse"
)

// Answer is the part of an endpoint's answer that is sent to the caller.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decision is the result of Begin.
type Decision struct {
	Outcome Outcome
	// Claim is set when the outcome is Run.
	Claim claim.Claim
	// Answer is set when the outcome is Replay.
	Answer Answer
	// Refusal is set when the outcome is InProgress or Refuse.
	Refusal *request.Refusal
}

// Config configures a Claims. All fields but RemoteLookup are required.
type Config struct {
	Store  *claim.Store
	Clock  clock.Clock
	Logger logrus.FieldLogger
	// OwnerAlive reports whether the incarnation of a daemon may still be
	// running according to this daemon's view. A wrong result affects only the
	// response to a retry.
	OwnerAlive func(owner, incarnation string) bool
	// RemoteLookup asks the owner of a claim for its current state; see
	// NewRemoteLookup. When it is nil, only OwnerAlive is used.
	RemoteLookup func(ctx context.Context, owner string, lookup LookupRequest) (LookupResponse, error)
}

// Claims decides whether requests with an idempotency key may run.
type Claims struct {
	cfg     Config
	breaker *circuitBreaker
}

// New returns a Claims.
func New(cfg Config) *Claims {
	return &Claims{cfg: cfg, breaker: newCircuitBreaker(cfg.Clock)}
}

// Begin decides whether a request may run. target is the class's latency target.
// When the caller has disconnected, the error is that of ctx.
func (c *Claims) Begin(ctx context.Context, team, key string, digest [32]byte, target clock.Millis) (Decision, error) {
	if len(key) > MaxKeyLength {
		return refuse(refusalKeyTooLong()), nil
	}
	if !c.breaker.allowAttempt() {
		refusedStoreDown.Add(1)
		return refuse(refusalStoreDown()), nil
	}
	attempt, cancel := context.WithTimeout(ctx, (target / 2).Duration())
	defer cancel()
	result, err := c.cfg.Store.Claim(attempt, team, key, digest)
	if ctx.Err() != nil {
		c.releaseUnused(result, err)
		return Decision{}, ctx.Err()
	}
	c.recordStoreResult(err)
	if err != nil {
		return c.decideClaimError(err), nil
	}
	if result.Outcome == claim.Won {
		claimsWon.Add(1)
		return Decision{Outcome: Run, Claim: result.Claim}, nil
	}
	return c.decideRepeated(c.currentRecord(ctx, team, key, result.Record)), nil
}

// releaseUnused releases a claim that was won after the caller disconnected.
func (c *Claims) releaseUnused(result claim.Result, err error) {
	if err == nil && result.Outcome == claim.Won {
		c.cfg.Store.Release(result.Claim)
	}
}

// recordStoreResult updates the circuit breaker, and logs when the table stops
// answering and when it answers again.
func (c *Claims) recordStoreResult(err error) {
	answered := !errors.Is(err, claim.ErrUnavailable)
	if !c.breaker.recordResult(answered) {
		return
	}
	if answered {
		eventAvailable.Log(c.cfg.Logger, nil)
		return
	}
	eventUnavailable.Log(c.cfg.Logger, logrus.Fields{"Error": err.Error()})
}

func (c *Claims) decideClaimError(err error) Decision {
	var reused *claim.ReusedError
	switch {
	case errors.As(err, &reused):
		return refuse(refusalKeyReused())
	case errors.Is(err, claim.ErrReleasing):
		return refuse(refusalReleasing())
	}
	refusedStoreDown.Add(1)
	return refuse(refusalStoreDown())
}

// currentRecord asks the owner for the state of a claim that is still open
// according to the table. If the owner has restarted, or no longer holds the claim
// although the table still shows it as open, the claim will never finish and
// counts as lost.
func (c *Claims) currentRecord(ctx context.Context, team, key string, record claim.Record) claim.Record {
	if record.State != claim.Claimed || c.cfg.RemoteLookup == nil || record.Incarnation == c.cfg.Store.Incarnation() {
		return record
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout.Duration())
	defer cancel()
	lookup := LookupRequest{Scope: team, Key: key, Nonce: record.Nonce, Incarnation: record.Incarnation}
	response, err := c.cfg.RemoteLookup(ctx, record.Owner, lookup)
	if err != nil {
		return record
	}
	if response.Held {
		return response.Record
	}
	settled, err := c.cfg.Store.Lookup(ctx, team, key)
	if err != nil {
		return record
	}
	if settled.Nonce == record.Nonce && settled.State == claim.Claimed {
		eventOwnerDied.Log(c.cfg.Logger, logrus.Fields{"Owner": record.Owner, "Incarnation": record.Incarnation})
		settled.State = claim.Lost
	}
	return settled
}

// decideRepeated decides about a request whose key is already claimed.
func (c *Claims) decideRepeated(record claim.Record) Decision {
	switch {
	case record.State == claim.Completed && !record.AnswerDropped:
		return c.replay(record)
	case record.State == claim.Completed:
		return refuse(refusalAnswerDropped())
	case record.State == claim.Lost:
		return refuse(refusalLost())
	case record.State == claim.Released:
		return refuse(refusalReleasing())
	case c.cfg.OwnerAlive(record.Owner, record.Incarnation):
		return Decision{Outcome: InProgress, Refusal: refusalInProgress()}
	}
	eventOwnerDied.Log(c.cfg.Logger, logrus.Fields{"Owner": record.Owner, "Incarnation": record.Incarnation})
	return refuse(refusalLost())
}

func (c *Claims) replay(record claim.Record) Decision {
	var answer Answer
	if err := packed.Unmarshal(record.Answer, &answer); err != nil {
		return refuse(refusalAnswerDropped())
	}
	claimsReplayed.Add(1)
	return Decision{Outcome: Replay, Answer: answer}
}

func refuse(refusal *request.Refusal) Decision {
	return Decision{Outcome: Refuse, Refusal: refusal}
}

// Finish records the answer of a request that ran, unless it is too long to be kept.
func (c *Claims) Finish(won claim.Claim, answer Answer) {
	if !c.cfg.Store.KeepsAnswer(len(answer.Body)) {
		c.cfg.Store.FinishWithoutAnswer(won)
		return
	}
	encoded, err := msgpack.Marshal(answer)
	if err != nil {
		c.cfg.Store.MarkLost(won)
		return
	}
	c.cfg.Store.Finish(won, encoded)
}

// FinishWithoutAnswer records that a request ran whose answer was not kept.
func (c *Claims) FinishWithoutAnswer(won claim.Claim) {
	c.cfg.Store.FinishWithoutAnswer(won)
}

// MarkLost records that a request was sent to an endpoint and that no complete
// answer arrived.
func (c *Claims) MarkLost(won claim.Claim) {
	claimsLost.Add(1)
	c.cfg.Store.MarkLost(won)
}

// Release frees the key of a request that certainly did not run.
func (c *Claims) Release(won claim.Claim) {
	c.cfg.Store.Release(won)
}
