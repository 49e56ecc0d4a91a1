package balance

import (
	"math"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// An engine that always has prompts to compute generates tokens so slowly that
// few streams end in time: its steps are ten to twenty times as long. So prompts
// get a share of an engine's time, the less urgent ones a smaller one. This
// answers an overload in which prompts that nobody will wait for would otherwise
// take the engines from those that could still be served.
//
// The shares bind as far as the whole back end is strained: one busy endpoint
// among idle ones is a matter of placement. A prompt then counts for more the
// longer it takes, so that those whose parts are cached are let in first.
var promptShares = [priorities]float64{0.98, 0.92, 0.4, 0.4}

const (
	// shortShare is how much more a prompt gets that takes no time; those
	// that take longPrompt get no more.
	shortShare = 0.1
	// strainFrom is the mean share of their time that endpoints spend on
	// prompts at which a back end begins to be strained, and strainFull that
	// at which it is so fully.
	strainFrom = 0.3
	strainFull = 0.55
	// strainedPrompt is the time that a prompt takes to count as the whole
	// time of an endpoint while the back end is fully strained.
	strainedPrompt = 1500 * clock.Millisecond
)

// share returns how long the endpoint must be spared other prompts until the
// request may be let in, 0 if it may be now.
func (b *Balancer) share(now clock.Millis, request Request, choice Choice) clock.Millis {
	r := b.replicas[choice.Endpoint]
	if r == nil || r.CacheTokens == 0 {
		return 0
	}
	strain := b.strain(now, request.Backend)
	own := b.prompt(request, choice)
	taken := r.promptShare(now)
	taken += strain * float64(own) / float64(strainedPrompt)
	allowed := promptShares[rank(request.Priority)] + (1 - strain)
	allowed += shortShare * (1 - float64(min(own, longPrompt))/float64(longPrompt))
	if taken <= allowed {
		return 0
	}
	return clock.Millis(float64(recentSpan) * math.Log(taken/allowed))
}

// strain returns how strained a back end is, from 0 to 1.
func (b *Balancer) strain(now clock.Millis, backend string) float64 {
	busy, serving := b.PromptLoad(now, backend)
	if serving == 0 {
		return 1
	}
	mean := busy / float64(serving)
	return min(max((mean-strainFrom)/(strainFull-strainFrom), 0), 1)
}
