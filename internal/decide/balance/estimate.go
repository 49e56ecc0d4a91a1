package balance

import "github.com/banyanshift/banyanshift/coord/clock"

// Costs and their weights. A cost is a time in milliseconds that is comparable
// to the request's time to first token.
const (
	// baseFirstTokenTime is the time to first token of an empty prompt.
	baseFirstTokenTime = 25
	// slotWait is the expected wait for a free slot, for each request beyond
	// the number of slots.
	slotWait = 60
	// memoryWait is the time lost if the key-value cache has no room for the
	// request.
	memoryWait = 2000
	// streamDelayCost is the cost of a millisecond of prefill for each stream
	// that runs on the same endpoint.
	streamDelayCost = 0.06
	// maxDelayedStreams limits the result of replica.delayedStreams.
	maxDelayedStreams = 10
	// exposureCost is the cost of each millisecond of recent prefill on the
	// endpoint for a long stream, which further prompts are likely to delay.
	exposureCost = 0.08
	// crossDomainCost is the fixed cost of sending a request to another
	// failure domain, and crossDomainCostPerKB the cost of each kilobyte of its
	// body.
	crossDomainCost      = 4
	crossDomainCostPerKB = 1.5
	// failureCost is the cost of an endpoint on which every request fails.
	failureCost = 1500
	// minRemainingTime is the minimum time that a leaving endpoint must have
	// left to get a new request; the request needs part of it to arrive.
	minRemainingTime = 900 * clock.Millisecond
	// maxTokenTime is the maximum time to generate a token in a busy engine.
	maxTokenTime = 8 * clock.Millisecond
	// tieBreakWeight is the cost difference, for each millisecond of unreported
	// work, below which endpoints count as equal.
	tieBreakWeight = 2
	// maxReportAge is the maximum age at which a load report is used.
	maxReportAge = 300 * clock.Millisecond
)

// estimate is the expected delay and cost of a request on an endpoint.
type estimate struct {
	uncached int
	copied   promptCopy
	delays   Delays
	cost     float64
}

// estimate predicts the delays and the cost of a request on the endpoint r. price is that of a
// ms of an endpoint's time, cached the number of prompt tokens that r has cached, and sources are
// the endpoints from which it can copy more.
func (p *pool) estimate(now clock.Millis, r *replica, request Request, price float64, cached int, sources []copySource) estimate {
	var e estimate
	if r.CacheTokens > 0 {
		e = p.estimateEngine(now, r, request, price, cached, sources)
	} else {
		e.delays.Work = p.estimateService(now, r)
	}
	e.delays.Overdue = float64(r.overdue(now))
	e.delays.Cold = float64(r.coldWait(now))
	e.cost += e.delays.total()
	if excess := r.failureShare - p.failureShare; excess > 0 {
		e.cost += excess * failureCost
	}
	if r.FailureDomain != request.FailureDomain {
		e.cost += crossDomainCost + crossDomainCostPerKB*float64(request.BodyBytes)/1024
	}
	return e
}

// estimateService predicts the response time of a plain service in
// milliseconds.
func (p *pool) estimateService(now clock.Millis, r *replica) float64 {
	return p.serviceTime(now, r) * (r.queueFactor(now) + float64(r.load(now))/(8*float64(max(r.Slots, 1))))
}

// load returns the number of requests at the endpoint that are known of, or that it reported
// a short time ago.
func (r *replica) load(now clock.Millis) int {
	if now-r.reportedAt < maxReportAge {
		return max(r.jobCount, r.reportedLoad)
	}
	return r.jobCount
}

// queueFactor returns the ratio of the response time of a further request to its service time
// at a plain service.
func (r *replica) queueFactor(now clock.Millis) float64 {
	slots := max(r.Slots, 1)
	return 1 + float64(max(0, r.load(now)+1-slots))/float64(slots)
}

// estimateEngine predicts the time to first token on a model engine, and the
// cost of the mutual delays of the request and the other work on the endpoint.
func (p *pool) estimateEngine(now clock.Millis, r *replica, request Request, price float64, cached int, sources []copySource) estimate {
	copied := p.bestCopy(now, r, cached, sources)
	uncached := request.PromptTokens() - cached - copied.tokens
	prefill := p.prefillTime(now, r, uncached)
	e := estimate{uncached: uncached, copied: copied}
	e.delays.Copy = copied.time
	e.delays.Work = baseFirstTokenTime + prefill
	e.delays.Queue = float64(max(r.busyUntil-now, 0))
	if full := r.jobCount + 1 - r.Slots; full > 0 {
		e.delays.Slot = float64(full) * slotWait
	}
	if r.reservedTokens+uncached+request.Output > r.CacheTokens {
		e.delays.Memory = memoryWait
	}
	_, mean := p.speedOf(now, r)
	// A copy is priced like the work that it saves, so that prompts stay where they are cached.
	e.cost = price * float64(uncached+copied.tokens) / mean
	e.cost += prefill * streamDelayCost * float64(r.delayedStreams(request.Priority))
	e.cost += r.recentPrefill(now) * exposureCost * exposure(request)
	e.cost += p.pauseCost(now, r, request, prefill)
	return e
}

const (
	// maxWorkPrice limits the result of workPrice.
	maxWorkPrice = 8
	// idleWorkPrice is its result for an idle back end: work delays the prompts and the streams
	// at its endpoint.
	idleWorkPrice = 2
)

// workPrice returns what a ms of an endpoint's time costs the requests that come later, in ms.
// While its endpoints are busy with prompts for a share of their time, work that is added makes the
// queue longer by 1/(1-share) of its length, as with random arrivals. A prompt thus stays with
// the endpoint that has it cached the longer, the busier the back end is. The price is for the
// time that an endpoint of mean speed needs, so that it does not add to what slow ones cost the
// request itself.
func workPrice(share float64) float64 {
	if share >= 1 {
		return maxWorkPrice
	}
	return min(idleWorkPrice/(1-share), maxWorkPrice)
}

// delayedStreams counts the running streams that a prompt of the given priority
// would delay, up to a limit. More urgent streams count twice.
func (r *replica) delayedStreams(priority int) int {
	n := 0
	for other, running := range r.running {
		if other < rank(priority) {
			n += running
		}
		n += running
	}
	return min(n, maxDelayedStreams)
}

// exposure returns how sensitive a stream is to prompts on the same endpoint,
// from 0 to 1. It grows with the number of tokens to generate.
func exposure(request Request) float64 {
	const longStreamTokens = 200
	return min(float64(request.Output)/longStreamTokens, 1)
}
