package balance

import (
	"math"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// maxPromptShares limits the share of an engine's time that prompts may take,
// by rank. While an engine always has prompts to compute, its steps are ten to
// twenty times as long, and it generates tokens so slowly that few streams end
// in time. In an overload, prompts whose callers will time out anyway would
// otherwise take the engine time from requests that can still be served.
//
// The limits take effect gradually as the whole back end gets saturated; a
// single busy endpoint among idle ones is left to the choice of the endpoint.
// In a saturated back end a prompt counts in proportion to its prefill time, so
// that prompts with a cached prefix are admitted first.
var maxPromptShares = [rankCount]float64{0.98, 0.92, 0.4, 0.4}

const (
	// longPromptTime is the prefill time from which a prompt counts as long.
	longPromptTime = 250 * clock.Millisecond
	// shortPromptBonus is the additional share for a prompt without prefill
	// time. It falls to 0 for a prompt that takes longPromptTime.
	shortPromptBonus = 0.1
	// saturationStart and saturationComplete are the mean prompt shares of the
	// endpoints at which the saturation of a back end starts and is complete.
	saturationStart    = 0.3
	saturationComplete = 0.55
	// saturatingPromptTime is the prefill time that counts as the whole time of
	// an endpoint in a completely saturated back end.
	saturatingPromptTime = 1500 * clock.Millisecond
)

// promptShareWait returns how long the endpoint must get no other prompts
// before a request with a prefill time can be admitted, 0 if it can be admitted now.
func (a admission) promptShareWait(now clock.Millis, r *replica, prefill clock.Millis) clock.Millis {
	if r.CacheTokens == 0 {
		return 0
	}
	used := r.promptShare(now)
	used += a.saturation * float64(prefill) / float64(saturatingPromptTime)
	allowed := a.maxPromptShare() + (1 - a.saturation)
	allowed += shortPromptBonus * (1 - float64(min(prefill, longPromptTime))/float64(longPromptTime))
	if used <= allowed {
		return 0
	}
	return clock.Millis(float64(prefillDecayTime) * math.Log(used/allowed))
}

// maxPromptShare returns the share of an engine's time that prompts may take for the request
// to be admitted in a saturated back end. It is that of the most urgent rank if there is no more
// urgent work to keep room for. Among requests of teams of equal priority, those of more urgent
// routes are admitted longer, so that the shorter ones of them are not refused while long
// prompts of less urgent routes begin.
func (a admission) maxPromptShare() float64 {
	if !a.hasMoreUrgent {
		return maxPromptShares[0]
	}
	share := maxPromptShares[rank(a.request.Priority)]
	return max(share, (share+maxPromptShares[rank(a.request.RoutePriority)])/2)
}

// saturation returns the saturation of a back end with prompts, from 0 to 1.
func (b *Balancer) saturation(now clock.Millis, p *pool) float64 {
	load, serving := b.promptLoad(now, p, math.Inf(1))
	if serving == 0 {
		return 1
	}
	mean := load / float64(serving)
	return min(max((mean-saturationStart)/(saturationComplete-saturationStart), 0), 1)
}
