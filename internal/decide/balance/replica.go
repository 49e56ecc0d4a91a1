package balance

import (
	"math"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Starting values until something was measured.
const (
	// initialRate is in prompt tokens a millisecond.
	initialRate = 35
	// initialWork is the time of a request to a plain service, in ms.
	initialWork = 20
)

// Bounds of what is learned.
const (
	minRate = 4
	maxRate = 400
	// learnShare is the weight of one measurement in a mean.
	learnShare = 0.08
	// learnTokens is the least prompt that tells something of the rate.
	learnTokens = 1500
	maxSlowness = 10
)

// Ejection of endpoints that cannot be reached.
const (
	ejectFirst = 400 * clock.Millisecond
	ejectMost  = 4 * clock.Second
)

// recentSpan is the time constant with which past computing of prompts is
// forgotten.
const recentSpan = 3 * clock.Second

// replica is what is known of one endpoint.
type replica struct {
	Endpoint
	// jobs counts requests that have not ended, waiting those without first
	// token, and pending the prompt tokens that those still compute.
	jobs    int
	waiting map[uint64]*job
	pending int
	// running counts the jobs that have begun to generate, by rank.
	running [priorities]int
	// held is the memory that the jobs need besides shared parts, in tokens.
	held int
	// busyUntil is when the prompts that it has are expected to be computed.
	busyUntil clock.Millis
	// prefill is the recent time spent on prompts, decaying, as of prefillAt.
	prefill   float64
	prefillAt clock.Millis
	// slowness is the time that prompts took relative to the expected one.
	slowness float64
	// failures is the mean share of requests that failed.
	failures     float64
	inARow       int
	ejectedUntil clock.Millis
	// reported is the load that the endpoint stated at reportedAt.
	reported   int
	reportedAt clock.Millis
	cache      *cache
	// moved says that its address belongs to another endpoint.
	moved bool
}

// priorities is how many ranks are told apart.
const priorities = 4

// rank returns the rank of a priority; 0 is the most urgent.
func rank(priority int) int {
	return min(max(priority, 0), priorities-1)
}

func newReplica(now clock.Millis) *replica {
	return &replica{waiting: make(map[uint64]*job), slowness: 1, prefillAt: now, cache: newCache()}
}

func (r *replica) add(now clock.Millis, j *job, p *pool) {
	r.jobs++
	r.waiting[j.ID] = j
	r.pending += j.Uncached
	r.held += j.Uncached + j.Output
	if r.CacheTokens == 0 {
		return
	}
	work := p.prefillTime(r, j.Uncached)
	r.busyUntil = max(r.busyUntil, now) + clock.Millis(work)
	r.prefill = r.recentPrefill(now) + work
	r.prefillAt = now
	r.cache.add(j.Parts, r.CacheTokens)
}

func (r *replica) firstToken(now clock.Millis, j *job, p *pool) {
	j.first = true
	r.running[rank(j.Priority)]++
	delete(r.waiting, j.ID)
	r.pending -= j.Uncached
	r.busyUntil = min(r.busyUntil, now+clock.Millis(p.prefillTime(r, r.pending)))
}

func (r *replica) remove(now clock.Millis, j *job, p *pool) {
	r.jobs--
	r.held -= j.Uncached + j.Output
	if j.first {
		r.running[rank(j.Priority)]--
		return
	}
	delete(r.waiting, j.ID)
	r.pending -= j.Uncached
	r.busyUntil = min(r.busyUntil, now+clock.Millis(p.prefillTime(r, r.pending)))
}

// recentPrefill is the time lately spent on prompts, in ms.
func (r *replica) recentPrefill(now clock.Millis) float64 {
	return r.prefill * math.Exp(-float64(now-r.prefillAt)/float64(recentSpan))
}

// promptShare is the part of its time that the endpoint lately spent on prompts.
// It is above 1 while more was sent than it can compute.
func (r *replica) promptShare(now clock.Millis) float64 {
	return r.recentPrefill(now) / float64(recentSpan)
}

// overdue is by how much the first token of the oldest waiting job is late.
func (r *replica) overdue(now clock.Millis) clock.Millis {
	worst := clock.Millis(0)
	for _, j := range r.waiting {
		worst = max(worst, now-j.sent-j.Expected-j.Expected/2-overdueGrace)
	}
	return worst
}

// overdueGrace is how late a first token may be before the endpoint is doubted.
const overdueGrace = 150 * clock.Millisecond

// prefillTime is how long the endpoint computes that many prompt tokens, in ms.
func (p *pool) prefillTime(r *replica, tokens int) float64 {
	return float64(tokens) / p.rate * r.slowness
}

// learn corrects the rate and the slowness of the endpoint by a first token.
func (p *pool) learn(now clock.Millis, j *job) {
	took := float64(max(now-j.sent, 1))
	r := j.replica
	if r.CacheTokens == 0 {
		p.work += (took - p.work) * learnShare
		return
	}
	if j.Uncached < learnTokens {
		return
	}
	ratio := took / float64(max(j.Expected, 1))
	ratio = min(max(ratio, 0.25), 4)
	p.rate = min(max(p.rate*math.Pow(ratio, -learnShare/2), minRate), maxRate)
	r.slowness = min(max(r.slowness*math.Pow(ratio, 2*learnShare), 1), maxSlowness)
}

// judge notes whether the endpoint serves.
func (p *pool) judge(now clock.Millis, j *job, outcome Outcome) {
	r := j.replica
	if outcome == Canceled {
		return
	}
	failed := 0.0
	if outcome != Succeeded {
		failed = 1
	}
	r.failures += (failed - r.failures) * 2 * learnShare
	p.failures += (failed - p.failures) * learnShare / float64(max(len(p.members), 1))
	if outcome != Unreachable {
		r.inARow = 0
		return
	}
	r.inARow++
	span := min(ejectFirst<<min(r.inARow-1, 8), ejectMost)
	r.ejectedUntil = now + span
}
