package plain

import (
	"crypto/sha256"

	coordclaim "github.com/banyanshift/banyanshift/coord/claim"
	"github.com/banyanshift/banyanshift/internal/caller/claim"
	"github.com/banyanshift/banyanshift/internal/caller/entry"
)

// callClaim holds the claim of one call. It is nil for a call without an
// idempotency key, which needs no claim.
type callClaim struct {
	claims *claim.Claims
	scope  string
	won    *coordclaim.Claim
}

// begin claims the call unless this callClaim holds the claim already. It returns
// the recorded answer of an earlier call with the same key, or a refusal as the
// error.
func (c *callClaim) begin(x *entry.Exchange) (replay *claim.Answer, err error) {
	if c == nil || c.won != nil {
		return nil, nil
	}
	decision, err := c.claims.Begin(x.Context, c.scope, x.Request.IdempotencyKey, requestDigest(x), x.Request.FirstTokenTarget)
	if err != nil {
		return nil, err
	}
	switch decision.Outcome {
	case claim.Run:
		c.won = &decision.Claim
		return nil, nil
	case claim.Replay:
		return &decision.Answer, nil
	}
	return nil, decision.Refusal
}

// requestDigest returns a hash of the method, URI and body, which detects that an
// idempotency key is reused for another call.
func requestDigest(x *entry.Exchange) [32]byte {
	hash := sha256.New()
	_, _ = hash.Write([]byte(x.HTTP.Method + "\n" + x.HTTP.URL.RequestURI() + "\n"))
	_, _ = hash.Write(x.Body)
	return [32]byte(hash.Sum(nil))
}

func (c *callClaim) finish(read callAnswer) {
	switch {
	case c == nil || c.won == nil:
	case read.isSent:
		c.claims.FinishWithoutAnswer(*c.won)
	default:
		c.claims.Finish(*c.won, read.Answer)
	}
}

func (c *callClaim) markLost() {
	if c != nil && c.won != nil {
		c.claims.MarkLost(*c.won)
	}
}

func (c *callClaim) release() {
	if c != nil && c.won != nil {
		c.claims.Release(*c.won)
		c.won = nil
	}
}
