package balance

import "github.com/banyanshift/banyanshift/coord/clock"

// Weights of the costs, which are all in milliseconds of the request's time to
// its first token.
const (
	// baseTime is the time to the first token of an empty prompt.
	baseTime = 25
	// slotWait is the time until a slot of a full endpoint comes free.
	slotWait = 60
	// memoryWait is the time lost when the cache cannot hold the request.
	memoryWait = 2000
	// harmShare is what a millisecond of computing a prompt costs for each
	// stream that runs beside it.
	harmShare = 0.06
	// maxHarmed bounds the streams that count as harmed.
	maxHarmed = 10
	// exposureShare is what a millisecond of recent computing of prompts
	// costs a stream that is about to run beside more of it.
	exposureShare = 0.08
	// otherDomain is the cost of leaving the failure domain, and
	// otherDomainPerKB that of each kilobyte sent there.
	otherDomain      = 4
	otherDomainPerKB = 1.5
	// failureCost is the cost of an endpoint of which every request fails.
	failureCost = 1500
	// minStay is the least time until which a leaving endpoint gets new
	// requests; some of it may pass before they arrive.
	minStay = 900 * clock.Millisecond
	// tokenTime is how long the generation of a token takes at most in a busy
	// engine.
	tokenTime = 8 * clock.Millisecond
	// spreadShare is by how much endpoints may differ, for each millisecond
	// of unseen work, and still be taken for equally good.
	spreadShare = 2
	// reportAge is how long a stated load says something.
	reportAge = 300 * clock.Millisecond
)

// estimate is what a request would meet at an endpoint.
type estimate struct {
	uncached int
	waits    Delays
	cost     float64
}

// estimate foresees a request at the endpoint r.
func (p *pool) estimate(now clock.Millis, r *replica, request Request) estimate {
	var e estimate
	if r.CacheTokens > 0 {
		e = p.engine(now, r, request)
	} else {
		e.waits.Work = p.plain(now, r)
	}
	e.waits.Overdue = float64(r.overdue(now))
	e.cost += e.waits.total()
	if excess := r.failures - p.failures; excess > 0 {
		e.cost += excess * failureCost
	}
	if r.FailureDomain != request.FailureDomain {
		e.cost += otherDomain + otherDomainPerKB*float64(request.BodyBytes)/1024
	}
	return e
}

// plain foresees the time of an answer from a plain service.
func (p *pool) plain(now clock.Millis, r *replica) float64 {
	load := r.jobs
	if now-r.reportedAt < reportAge {
		load = max(load, r.reported)
	}
	queued := max(0, load+1-max(r.Slots, 1))
	return p.work * (1 + float64(load)/float64(8*max(r.Slots, 1)) + float64(queued)/float64(max(r.Slots, 1)))
}

// engine foresees the first token of a model engine, and what the prompt costs
// the streams beside it.
func (p *pool) engine(now clock.Millis, r *replica, request Request) estimate {
	uncached := request.PromptTokens() - r.cache.match(request.Parts)
	own := p.prefillTime(r, uncached)
	e := estimate{uncached: uncached}
	e.waits.Work = baseTime + own
	e.waits.Queue = float64(max(r.busyUntil-now, 0))
	if full := r.jobs + 1 - r.Slots; full > 0 {
		e.waits.Slot = float64(full) * slotWait
	}
	if r.held+uncached+request.Output > r.CacheTokens {
		e.waits.Memory = memoryWait
	}
	e.cost = own * harmShare * float64(r.harmed(request.Priority))
	e.cost += r.recentPrefill(now) * exposureShare * exposure(request)
	return e
}

// harmed counts the streams that a prompt of that priority would delay; streams
// that are more urgent count twice.
func (r *replica) harmed(priority int) int {
	n := 0
	for other, running := range r.running {
		if other < rank(priority) {
			n += running
		}
		n += running
	}
	return min(n, maxHarmed)
}

// exposure is how much a stream suffers from prompts beside it: the longer it
// generates, the more.
func exposure(request Request) float64 {
	const longStream = 200
	return min(float64(request.Output)/longStream, 1)
}
