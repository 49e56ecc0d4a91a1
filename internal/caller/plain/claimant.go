package plain

import (
	"crypto/sha256"

	coordclaim "github.com/banyanshift/banyanshift/coord/claim"
	"github.com/banyanshift/banyanshift/internal/caller/claim"
	"github.com/banyanshift/banyanshift/internal/caller/entry"
)

// claimant holds the claim of one call. A nil claimant is that of a call
// without an idempotency key, which needs none.
type claimant struct {
	claims *claim.Claims
	scope  string
	won    *coordclaim.Claim
}

// begin claims the call, once. It returns the answer of an earlier call with
// the same key to replay, or the refusal as error.
func (c *claimant) begin(x *entry.Exchange) (replay *claim.Answer, err error) {
	if c == nil || c.won != nil {
		return nil, nil
	}
	decision, err := c.claims.Begin(x.Context, c.scope, x.Request.IdempotencyKey, digest(x), x.Request.FirstTokenTarget)
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

// digest tells calls with the same key apart that are not the same.
func digest(x *entry.Exchange) [32]byte {
	hash := sha256.New()
	_, _ = hash.Write([]byte(x.HTTP.Method + "\n" + x.HTTP.URL.RequestURI() + "\n"))
	_, _ = hash.Write(x.Body)
	return [32]byte(hash.Sum(nil))
}

func (c *claimant) finish(answer claim.Answer) {
	if c != nil && c.won != nil {
		c.claims.Finish(*c.won, answer)
	}
}

func (c *claimant) lose() {
	if c != nil && c.won != nil {
		c.claims.MarkLost(*c.won)
	}
}

func (c *claimant) abandon() {
	if c != nil && c.won != nil {
		c.claims.Release(*c.won)
		c.won = nil
	}
}
