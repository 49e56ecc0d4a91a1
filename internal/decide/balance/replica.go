package balance

import (
	"math"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/throughput"
)

// sampleWeight is the weight of a new sample in a moving average of failures.
const sampleWeight = 0.08

// Ejection times of unreachable endpoints. The time doubles with each
// consecutive failure.
const (
	minEjection = 400 * clock.Millisecond
	maxEjection = 4 * clock.Second
)

// prefillDecayTime is the time constant of the exponential decay of past
// prefill time.
const prefillDecayTime = 3 * clock.Second

// replica is the state of one endpoint.
type replica struct {
	Endpoint
	// jobCount counts the jobs that have not ended. waiting holds those without
	// a first token, and pendingTokens counts their uncached prompt tokens.
	jobCount      int
	waiting       map[uint64]*job
	pendingTokens int
	// running counts the jobs that generate tokens, by rank.
	running [rankCount]int
	// reservedTokens is the cache space that the jobs need in addition to their
	// cached prefixes, in tokens.
	reservedTokens int
	// busyUntil is when all queued prompts are expected to be computed.
	busyUntil clock.Millis
	// decayedPrefill is the recent prefill time in ms, decayed up to prefillAt.
	decayedPrefill float64
	prefillAt      clock.Millis
	// speed measures the prompt tokens that the endpoint computes, or the requests that a
	// plain service completes, in a ms.
	speed throughput.Meter
	rate  cachedRate
	// failureShare is the moving average of the share of requests that fail.
	failureShare           float64
	consecutiveUnreachable int
	ejectedUntil           clock.Millis
	// quietUntil is the end of the last quiet time, 0 if there was none.
	quietUntil clock.Millis
	// asideUntil is the time until which there is no place for a request.
	asideUntil clock.Millis
	// nextColdTurn is when the cold endpoint can take a further request, as far as is known
	// of the requests to it.
	nextColdTurn clock.Millis
	// reportedLoad is the number of requests that the endpoint reported at
	// reportedAt.
	reportedLoad int
	reportedAt   clock.Millis
	cache        *cache
	// copiesUntil is when the copies from and to the endpoint that this daemon knows of end.
	copiesUntil clock.Millis
	// reassignedUntil is the time until which the address counts as that of another endpoint,
	// and reassignments how often in a row it was found to be so.
	reassignedUntil clock.Millis
	reassignments   int
}

// rankCount is the number of ranks.
const rankCount = 4

// rank limits a priority to the existing ranks; 0 is the most urgent.
func rank(priority int) int {
	return min(max(priority, 0), rankCount-1)
}

func newReplica(now clock.Millis) *replica {
	return &replica{waiting: make(map[uint64]*job), prefillAt: now, cache: newCache()}
}

func (r *replica) add(now clock.Millis, j *job, p *pool) {
	r.jobCount++
	r.waiting[j.ID] = j
	r.pendingTokens += j.Uncached
	r.reservedTokens += j.Uncached + j.Output
	r.takeColdTurn(now)
	if r.CacheTokens == 0 {
		return
	}
	work := p.prefillTime(now, r, j.Uncached)
	r.busyUntil = max(r.busyUntil, now) + clock.Millis(work)
	r.decayedPrefill = r.recentPrefill(now) + work
	r.prefillAt = now
	r.cache.add(j.Parts, r.CacheTokens)
}

func (r *replica) recordFirstToken(now clock.Millis, j *job, p *pool) {
	j.hasFirstToken = true
	r.running[rank(j.Priority)]++
	delete(r.waiting, j.ID)
	r.pendingTokens -= j.Uncached
	r.busyUntil = min(r.busyUntil, now+clock.Millis(p.prefillTime(now, r, r.pendingTokens)))
}

func (r *replica) remove(now clock.Millis, j *job, p *pool) {
	r.jobCount--
	r.reservedTokens -= j.Uncached + j.Output
	if j.hasFirstToken {
		r.running[rank(j.Priority)]--
		return
	}
	delete(r.waiting, j.ID)
	r.pendingTokens -= j.Uncached
	r.busyUntil = min(r.busyUntil, now+clock.Millis(p.prefillTime(now, r, r.pendingTokens)))
}

// recentPrefill returns the decayed prefill time at now, in ms.
func (r *replica) recentPrefill(now clock.Millis) float64 {
	return r.decayedPrefill * math.Exp(-float64(now-r.prefillAt)/float64(prefillDecayTime))
}

// promptShare returns the share of its recent time that the endpoint needs for
// the prompts sent to it. It exceeds 1 if it got more than it can compute.
func (r *replica) promptShare(now clock.Millis) float64 {
	return r.recentPrefill(now) / float64(prefillDecayTime)
}

// overdue returns how late the most overdue first token is. A first token is
// late after twice its expected time plus overdueGrace.
func (r *replica) overdue(now clock.Millis) clock.Millis {
	worst := clock.Millis(0)
	for _, j := range r.waiting {
		worst = max(worst, now-j.sentAt-2*j.Expected-overdueGrace)
	}
	return worst
}

// overdueGrace allows for the time until another daemon's report of a first token arrives.
const overdueGrace = 350 * clock.Millisecond

// recordOutcome updates the failure averages from a job's outcome, and ejects
// the endpoint if it was unreachable.
func (p *pool) recordOutcome(now clock.Millis, j *job, outcome Outcome) {
	r := j.replica
	if outcome == Canceled {
		return
	}
	failed := 0.0
	if outcome != Succeeded {
		failed = 1
	} else {
		r.reassignments = 0
	}
	r.failureShare += (failed - r.failureShare) * 2 * sampleWeight
	p.failureShare += (failed - p.failureShare) * sampleWeight / float64(max(len(p.members), 1))
	if outcome != Unreachable {
		r.consecutiveUnreachable = 0
		return
	}
	r.consecutiveUnreachable++
	ejection := min(minEjection<<min(r.consecutiveUnreachable-1, 8), maxEjection)
	r.ejectedUntil = now + ejection
}
