// Package claim is the filter of the caller path that lets a request with an
// idempotency key run at most once, whichever daemons its retries reach.
//
// Begin claims the key of a team before the first byte of the request is handed
// to an endpoint. Its decision says whether the request may run. A request that
// may run must be concluded with exactly one of Finish, MarkLost and Release:
//
//   - Finish: the whole answer was received; retries get the same answer.
//   - MarkLost: bytes were sent to the endpoint and no complete answer arrived;
//     retries get Run: Unknown.
//   - Release: no byte was sent, or the endpoint reported that the request did
//     not run; the key is free again and retries may run.
//
// An answer too large to keep, a claim whose daemon died, and a lost request all
// lead to a refusal of the retry with Run: Unknown. There is never a second run.
//
// While the table does not answer, a claim waits for up to half of the class's
// target, so that a short disturbance is not noticed. Once the table has failed
// for two seconds, requests are refused at once with a true Run: Not, except for
// one probe a second.
//
// # Usage
//
//	decision, err := claims.Begin(ctx, team, key, sha256.Sum256(body), class.FirstTokenTarget)
//	if err != nil { ... the caller has gone ... }
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
	"github.com/banyanshift/banyanshift/internal/caller/request"
)

// askTimeout bounds the question to the owner of a claim.
const askTimeout = clock.Second

// MaxKeyLength is the greatest length of an idempotency key, in bytes.
const MaxKeyLength = 255

// Outcome says what is to be done with a request.
type Outcome string

// The outcomes of Begin.
const (
	// Run says that the request may run, once.
	Run Outcome = "Run"
	// Replay says that the recorded answer is to be sent.
	Replay Outcome = "Replay"
	// InProgress says that the same request is still running somewhere.
	InProgress Outcome = "InProgress"
	// Refuse says that the request must not run.
	Refuse Outcome = "Refuse"
)

// Answer is what an endpoint answered, as far as it is sent to the caller.
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
	// running, as far as this daemon knows. A wrong answer changes only what
	// the caller of a retry is told.
	OwnerAlive func(owner, incarnation string) bool
	// RemoteLookup asks the owner of a claim what has become of it, see Asker. When it
	// is nil, OwnerAlive alone decides.
	RemoteLookup func(ctx context.Context, owner string, question LookupRequest) (LookupResponse, error)
}

// Claims decides about requests that carry an idempotency key.
type Claims struct {
	cfg    Config
	outage *outage
}

// New returns a Claims.
func New(cfg Config) *Claims {
	return &Claims{cfg: cfg, outage: newOutage(cfg.Clock)}
}

// Begin decides whether a request may run. target is the class's latency target.
// The error is the context's when the caller has gone.
func (c *Claims) Begin(ctx context.Context, team, key string, digest [32]byte, target clock.Millis) (Decision, error) {
	if len(key) > MaxKeyLength {
		return refuse(refusalKeyTooLong()), nil
	}
	if !c.outage.admit() {
		refusedStoreDown.Add(1)
		return refuse(refusalStoreDown()), nil
	}
	attempt, cancel := context.WithTimeout(ctx, (target / 2).Duration())
	defer cancel()
	result, err := c.cfg.Store.Claim(attempt, team, key, digest)
	if ctx.Err() != nil {
		c.discard(result, err)
		return Decision{}, ctx.Err()
	}
	c.observe(err)
	if err != nil {
		return c.failed(err), nil
	}
	if result.Outcome == claim.Won {
		claimsWon.Add(1)
		return Decision{Outcome: Run, Claim: result.Claim}, nil
	}
	return c.repeated(c.latest(ctx, team, key, result.Record)), nil
}

// discard releases a claim that was won for a caller who has gone.
func (c *Claims) discard(result claim.Result, err error) {
	if err == nil && result.Outcome == claim.Won {
		c.cfg.Store.Release(result.Claim)
	}
}

// observe logs when the table stops answering and when it answers again.
func (c *Claims) observe(err error) {
	answered := !errors.Is(err, claim.ErrUnavailable)
	if !c.outage.observe(answered) {
		return
	}
	if answered {
		eventAvailable.Log(c.cfg.Logger, nil)
		return
	}
	eventUnavailable.Log(c.cfg.Logger, logrus.Fields{"Error": err.Error()})
}

func (c *Claims) failed(err error) Decision {
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

// latest asks the owner of a claim that has not ended, as far as the table says.
// An owner that was started anew, or that no longer holds the claim although the
// table says so, will never end it.
func (c *Claims) latest(ctx context.Context, team, key string, record claim.Record) claim.Record {
	if record.State != claim.Claimed || c.cfg.RemoteLookup == nil || record.Incarnation == c.cfg.Store.Incarnation() {
		return record
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	question := LookupRequest{Scope: team, Key: key, Nonce: record.Nonce, Incarnation: record.Incarnation}
	reply, err := c.cfg.RemoteLookup(ctx, record.Owner, question)
	if err != nil {
		return record
	}
	if reply.Held {
		return reply.Record
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

// repeated decides about a request whose key was claimed before.
func (c *Claims) repeated(record claim.Record) Decision {
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
	if err := msgpack.Unmarshal(record.Answer, &answer); err != nil {
		return refuse(refusalAnswerDropped())
	}
	claimsReplayed.Add(1)
	return Decision{Outcome: Replay, Answer: answer}
}

func refuse(refusal *request.Refusal) Decision {
	return Decision{Outcome: Refuse, Refusal: refusal}
}

// Finish records the answer of a request that ran.
func (c *Claims) Finish(won claim.Claim, answer Answer) {
	encoded, err := msgpack.Marshal(answer)
	if err != nil {
		c.cfg.Store.MarkLost(won)
		return
	}
	c.cfg.Store.Finish(won, encoded)
}

// MarkLost records that a request was handed over and that no whole answer came.
func (c *Claims) MarkLost(won claim.Claim) {
	claimsLost.Add(1)
	c.cfg.Store.MarkLost(won)
}

// Release frees the key of a request that certainly did not run.
func (c *Claims) Release(won claim.Claim) {
	c.cfg.Store.Release(won)
}
