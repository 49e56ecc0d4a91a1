package balance

import "github.com/banyanshift/banyanshift/coord/clock"

// lateStreamCost is the cost of a stream whose events pause for longer than its target, in ms.
// More urgent streams cost twice as much.
const lateStreamCost = 200

// EventGaps holds the targets for the longest pause between two events of a back end's streams
// by rank, 0 for ranks without one.
type EventGaps [rankCount]clock.Millis

// Add adds the target of a route with a priority. The smallest target of a rank counts.
func (g *EventGaps) Add(priority int, target clock.Millis) {
	if held := g[rank(priority)]; target > 0 && (held == 0 || target < held) {
		g[rank(priority)] = target
	}
}

// SetEventGaps sets the targets of a back end.
func (b *Balancer) SetEventGaps(backend string, gaps EventGaps) {
	b.backend(backend).eventGaps = gaps
}

// pauseCost returns the cost of the pauses that a request on an endpoint causes. While the
// endpoint computes prompts, the events of its streams pause, for longer the more prompts
// follow on each other. A stream that is late already cannot be made so again: long prompts
// thus gather at endpoints that have others, and leave the rest to streams.
func (p *pool) pauseCost(now clock.Millis, r *replica, request Request, prefill float64) float64 {
	ahead := p.prefillTime(now, r, r.pendingTokens)
	cost := lateShare(ahead, request.EventGap)
	for other, running := range r.running {
		if running == 0 {
			continue
		}
		late := float64(running) * (lateShare(ahead+prefill, p.eventGaps[other]) - lateShare(ahead, p.eventGaps[other]))
		if other < rank(request.Priority) {
			late *= 2
		}
		cost += late
	}
	return cost * lateStreamCost
}

// lateShare returns the share of streams with a target for pauses that are late if prompts are
// computed for a time, in ms. Streams of half a target and less bear it.
func lateShare(prefill float64, target clock.Millis) float64 {
	if target <= 0 {
		return 0
	}
	half := float64(target) / 2
	return min(max((prefill-half)/half, 0), 1)
}
