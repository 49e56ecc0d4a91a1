// Package balance chooses the endpoint on which a request runs and decides
// whether the request is admitted there. A choice minimizes the request's
// expected time to first token plus the estimated slowdown of the streams that
// already run on the endpoint.
//
// It is designed for many short streams next to a few requests with long
// prompts. An engine interleaves prompt computation (prefill) with token
// generation, so that a long prompt delays its own first token, the prompts
// queued behind it and the tokens of every running stream. Prompts share
// prefixes, which an engine does not compute again while it has them cached.
//
// Every daemon has its own Balancer. Daemons send each other updates about
// their requests, which arrive some hundred milliseconds late, so that all
// daemons choose from nearly the same view.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	b := balance.New()
//	b.SetEndpoints(now, endpoints)
//	choice, found := b.Choose(now, request)
//	excess, admitted := b.Admit(now, request, choice, timeLeft)
//	b.RecordLocalJob(now, balance.Job{ID: 7, Endpoint: choice.Endpoint, ...})
//	b.RecordFirstToken(now, 7)
//	b.RecordEnd(now, 7, balance.Succeeded)
package balance

import (
	"math"
	"slices"
	"sort"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/throughput"
)

// Endpoint is a replica that can run requests.
type Endpoint struct {
	ID            string
	Backend       string
	FailureDomain string
	// Incarnation changes when the endpoint restarts with an empty cache.
	Incarnation int64
	// SoftwareVersion is the version of the endpoint's software, not of its model.
	SoftwareVersion string
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// CacheTokens is the size of the key-value cache; 0 for plain services.
	CacheTokens int
	// Leaving endpoints get new requests only through ChooseLeaving. LeavesAt
	// is the earliest time at which the endpoint may be gone, 0 if unknown.
	Leaving  bool
	LeavesAt clock.Millis
	// Cheap endpoints can be reclaimed with seconds' notice.
	Cheap bool
	// ColdUntil is the time until which the endpoint is cold, 0 if it never was. While it is
	// cold, it takes ColdRate requests a second from all daemons, or any number if that is 0.
	// Both are of this daemon and not part of messages.
	ColdUntil clock.Millis `msgpack:"-"`
	ColdRate  float64      `msgpack:"-"`
	// CopyRate is how many tokens of its cache the endpoint copies to others of its back end in a
	// ms, 0 if it does not. It is of this daemon and not part of messages.
	CopyRate float64 `msgpack:"-"`
}

// Outcome is how a job ended.
type Outcome int

// The outcomes.
const (
	// Succeeded jobs were answered.
	Succeeded Outcome = iota
	// Failed jobs got an error or no answer.
	Failed
	// Unreachable jobs could not be sent to the endpoint.
	Unreachable
	// Canceled jobs were canceled by the caller.
	Canceled
)

// Balancer tracks the endpoints and the jobs that run on them.
type Balancer struct {
	replicas map[string]*replica
	backends map[string]*pool
	jobs     map[uint64]*job
	// local contains the IDs of the jobs that this daemon sent.
	local  map[uint64]bool
	remote RemoteTraffic
	// drained lists the drained failure domains.
	drained []string
}

// pool holds the endpoints of a back end and their combined measurements.
type pool struct {
	members []*replica
	// speed measures all endpoints together. An endpoint of which nothing is known is
	// expected to be like the others.
	speed throughput.Meter
	rate  cachedRate
	// failureShare is the moving average of the share of requests that fail.
	failureShare float64
	eventGaps    EventGaps
	// cached is the result of findCached, kept for its memory.
	cached cachedPrompt
}

// job is a Job that has not ended.
type job struct {
	Job
	replica       *replica
	sentAt        clock.Millis
	hasFirstToken bool
	// queueFactor is the ratio of the response time to the service time at a plain service
	// that had queued requests when the job was sent.
	queueFactor float64
}

// New returns a Balancer without endpoints.
func New() *Balancer {
	return &Balancer{
		replicas: make(map[string]*replica),
		backends: make(map[string]*pool),
		jobs:     make(map[uint64]*job),
		local:    make(map[uint64]bool),
	}
}

// SetEndpoints replaces the set of endpoints. An endpoint that was marked as
// leaving stays so until its incarnation changes.
func (b *Balancer) SetEndpoints(now clock.Millis, endpoints []Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	for _, endpoint := range endpoints {
		listed[endpoint.ID] = true
		r := b.replicas[endpoint.ID]
		if r == nil || r.Incarnation != endpoint.Incarnation {
			r = newReplica(now)
			b.replicas[endpoint.ID] = r
		}
		leaving := r.Leaving && r.Incarnation == endpoint.Incarnation
		r.Endpoint = endpoint
		r.Leaving = r.Leaving || leaving
	}
	for id := range b.replicas {
		if !listed[id] {
			delete(b.replicas, id)
		}
	}
	b.groupByBackend()
}

// groupByBackend rebuilds the member lists of the back ends, sorted by endpoint
// ID.
func (b *Balancer) groupByBackend() {
	for _, p := range b.backends {
		p.members = p.members[:0]
	}
	for _, r := range b.replicas {
		p := b.backend(r.Backend)
		p.members = append(p.members, r)
	}
	for _, p := range b.backends {
		sort.Slice(p.members, func(i, j int) bool { return p.members[i].ID < p.members[j].ID })
	}
}

func (b *Balancer) backend(name string) *pool {
	p := b.backends[name]
	if p == nil {
		p = &pool{}
		b.backends[name] = p
	}
	return p
}

// MarkLeaving marks an endpoint as leaving.
func (b *Balancer) MarkLeaving(id string) {
	if r := b.replicas[id]; r != nil {
		r.Leaving = true
	}
}

// Choose returns the endpoint with the lowest cost for the request, and falls
// back to ejected endpoints, to those whose quiet time has just ended and to those of domains
// to avoid, if there are no others. It does not record the request; see RecordLocalJob.
func (b *Balancer) Choose(now clock.Millis, request Request) (choice Choice, found bool) {
	p := b.backends[request.Backend]
	if p == nil {
		return Choice{}, false
	}
	choice, found = b.choose(now, p, request, func(s Standing, r *replica, _ estimate) bool {
		return s == Available && !slices.Contains(request.AvoidDomains, r.FailureDomain)
	})
	if !found {
		choice, found = b.choose(now, p, request, func(s Standing, _ *replica, _ estimate) bool { return s <= Ejected })
	}
	return choice, found
}

// ChooseLeaving returns the endpoint with the lowest cost among the leaving
// endpoints that stay long enough to answer the request. It is for requests
// that no other endpoint can serve in time.
func (b *Balancer) ChooseLeaving(now clock.Millis, request Request) (choice Choice, found bool) {
	p := b.backends[request.Backend]
	if p == nil {
		return Choice{}, false
	}
	return b.choose(now, p, request, func(s Standing, r *replica, e estimate) bool {
		responseTime := clock.Millis(e.delays.total()) + clock.Millis(request.Output)*maxTokenTime
		remaining := r.LeavesAt - now
		return s == Leaving && now >= r.ejectedUntil && remaining >= minRemainingTime && responseTime <= remaining
	})
}

// choose returns the eligible endpoint with the lowest cost. Costs get a
// pseudo-random addition in proportion to the work of other daemons that is not
// yet known here, so that daemons don't all choose the same endpoint.
func (b *Balancer) choose(now clock.Millis, p *pool, request Request, eligible func(s Standing, r *replica, e estimate) bool) (choice Choice, found bool) {
	best := 0.0
	load, serving := b.promptLoad(now, p, 1)
	share := load / float64(max(serving, 1))
	unreportedWork, price := b.unreportedWork(share), workPrice(share)
	cached := b.findCached(now, p, request)
	promptTokens := request.PromptTokens()
	for i, r := range p.members {
		if slices.Contains(request.Exclude, r.ID) || !request.Software.allows(&r.Endpoint) || !r.holds(promptTokens) {
			continue
		}
		standing := b.standing(now, r)
		if standing > Leaving {
			continue
		}
		e := p.estimate(now, r, request, price, cached.tokens[i], cached.sources)
		if !eligible(standing, r, e) {
			continue
		}
		cost := e.cost
		if unreportedWork > 0 {
			cost += tieBreakWeight * unreportedWork * tieBreak(r.ID, request.TieBreakSeed)
		}
		if !found || cost < best {
			best, found = cost, true
			choice = Choice{Endpoint: r.ID, Uncached: e.uncached, ExpectedFirstToken: clock.Millis(e.delays.total()), Delays: e.delays}
			if e.copied.from != nil {
				choice.CopyFrom, choice.CopyTokens, choice.CopyTime = e.copied.from.ID, e.copied.tokens, clock.Millis(e.copied.time)
			}
		}
	}
	return choice, found
}

// RecordLocalJob records that this daemon sent a job.
func (b *Balancer) RecordLocalJob(now clock.Millis, sent Job) {
	b.local[sent.ID] = true
	b.add(now, sent)
}

// RecordRemoteJob records that another daemon sent a job; age is the time since
// then.
func (b *Balancer) RecordRemoteJob(now clock.Millis, sent Job, age clock.Millis) {
	b.add(now-age, sent)
}

// add records a job, unless it is known already: a report may arrive by two paths.
func (b *Balancer) add(sentAt clock.Millis, sent Job) {
	r := b.replicas[sent.Endpoint]
	if r == nil || b.jobs[sent.ID] != nil {
		return
	}
	j := &job{Job: sent, replica: r, sentAt: sentAt, queueFactor: r.queueFactor(sentAt)}
	b.jobs[sent.ID] = j
	r.add(sentAt, j, b.backend(r.Backend))
	b.recordCopy(sentAt, j)
}

// RecordFirstToken records that a job of this daemon has produced its first token, and returns
// the time since it was sent, less that of the copy that it waited for, 0 if the job is not known.
func (b *Balancer) RecordFirstToken(now clock.Millis, id uint64) (elapsed clock.Millis) {
	j := b.jobs[id]
	if j == nil || j.hasFirstToken {
		return 0
	}
	p := b.backend(j.replica.Backend)
	elapsed = max(now-j.sentAt-j.CopyTime, 1)
	p.measure(j, elapsed)
	j.replica.recordFirstToken(now, j, p)
	return elapsed
}

// RecordRemoteFirstToken records that a job of another daemon has produced its first token,
// elapsed after it was sent. elapsed is 0 if that is not known.
func (b *Balancer) RecordRemoteFirstToken(now clock.Millis, id uint64, elapsed clock.Millis) {
	j := b.jobs[id]
	if j == nil || j.hasFirstToken {
		return
	}
	p := b.backend(j.replica.Backend)
	if elapsed > 0 {
		p.measure(j, elapsed)
	}
	j.replica.recordFirstToken(now, j, p)
}

// RecordEnd records that a job has ended.
func (b *Balancer) RecordEnd(now clock.Millis, id uint64, outcome Outcome) {
	j := b.jobs[id]
	if j == nil {
		return
	}
	p := b.backend(j.replica.Backend)
	if b.local[id] {
		p.recordOutcome(now, j, outcome)
	}
	j.replica.remove(now, j, p)
	delete(b.jobs, id)
	delete(b.local, id)
}

// RecordLoad records the load that an endpoint reported.
func (b *Balancer) RecordLoad(now clock.Millis, id string, running, waiting, slots int) {
	r := b.replicas[id]
	if r == nil {
		return
	}
	r.reportedLoad = running + waiting
	r.reportedAt = now
	if slots > 0 {
		r.Slots = slots
	}
}

// PromptLoad returns the sum of the recent prompt shares of a back end's
// endpoints (1 is the whole time of one endpoint), and the number of its
// endpoints that are neither leaving nor drained nor have lost their address.
func (b *Balancer) PromptLoad(now clock.Millis, backend string) (load float64, serving int) {
	p := b.backends[backend]
	if p == nil {
		return 0, 0
	}
	return b.promptLoad(now, p, math.Inf(1))
}

// promptLoad sums the recent prompt shares of the endpoints that are not drained, each limited
// to maxShare, and counts those of them that are not leaving.
func (b *Balancer) promptLoad(now clock.Millis, p *pool, maxShare float64) (load float64, serving int) {
	for _, r := range p.members {
		if b.IsDrained(r.FailureDomain) {
			continue
		}
		load += min(r.promptShare(now), maxShare)
		if !r.Leaving && !r.isReassigned(now) {
			serving++
		}
	}
	return load, serving
}

// ExpireJobs removes jobs older than maxAge, for which the update about their
// end was lost.
func (b *Balancer) ExpireJobs(now, maxAge clock.Millis) {
	for id, j := range b.jobs {
		if now-j.sentAt > maxAge {
			j.replica.remove(now, j, b.backend(j.replica.Backend))
			delete(b.jobs, id)
			delete(b.local, id)
		}
	}
}
