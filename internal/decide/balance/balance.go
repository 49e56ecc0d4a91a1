// Package balance chooses the endpoint on which a request runs, by the time to
// its first token that is to be expected and by what the request does to those
// that run there already.
//
// It answers the load of many short streams beside a few with long prompts: an
// engine computes prompts between the tokens of the requests that it runs, so
// that a long prompt delays its own first token, those behind it, and the
// pauses of every stream beside it. Prompts share leading parts, which an
// engine that has them cached does not compute again.
//
// Every daemon has a Balancer of its own. It learns of the requests of the
// others by messages, some hundred milliseconds late, so that the choices of
// all daemons rest on nearly the same picture.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	b := balance.New()
//	b.SetEndpoints(now, endpoints)
//	choice, found := b.Choose(now, request)
//	b.RecordLocalJob(now, balance.Job{ID: 7, Endpoint: choice.Endpoint, ...})
//	b.RecordFirstToken(now, 7)
//	b.RecordEnd(now, 7, balance.Succeeded)
package balance

import (
	"math"
	"slices"
	"sort"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Endpoint is a replica that requests may be sent to.
type Endpoint struct {
	ID            string
	Backend       string
	FailureDomain string
	// Incarnation changes when the endpoint starts anew with empty memory.
	Incarnation int64
	// Slots is how many requests it runs at the same time.
	Slots int
	// CacheTokens is the size of the key-value cache; 0 for plain services.
	CacheTokens int
	// Leaving endpoints get new requests only through ChooseLeaving, until
	// LeavesAt, which is when they may be gone; 0 where it is not known.
	Leaving  bool
	LeavesAt clock.Millis
	// Cheap endpoints can be taken away with seconds' notice.
	Cheap bool
}

// PromptPart is a leading part of a prompt. Hash stands for the part and all parts
// before it.
type PromptPart struct {
	Hash   uint64
	Tokens int
}

// Request is what a choice depends on.
type Request struct {
	Backend string
	// FailureDomain is where the request came in.
	FailureDomain string
	// BodyBytes is the size of what has to be sent.
	BodyBytes int
	// Parts is the prompt; empty for requests to plain services.
	Parts []PromptPart
	// Output is the expected number of generated tokens.
	Output int
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Started requests have been answered in part.
	Started bool
	// TieBreakSeed is another number for each request; it decides between endpoints
	// that are about equally good.
	TieBreakSeed uint64
	// Exclude names endpoints that must not be chosen.
	Exclude []string
}

// PromptTokens returns the number of prompt tokens.
func (r Request) PromptTokens() int {
	total := 0
	for _, part := range r.Parts {
		total += part.Tokens
	}
	return total
}

// Choice is an endpoint for a request.
type Choice struct {
	Endpoint string
	// Uncached is how many prompt tokens are expected to be computed.
	Uncached int
	// ExpectedFirstToken is the expected time to the first token, or to the whole
	// answer of a plain service.
	ExpectedFirstToken clock.Millis
	// Delays says what ExpectedFirstToken is made of.
	Delays Delays
}

// Job is a request that was sent to an endpoint, by this daemon or another.
type Job struct {
	ID       uint64
	Endpoint string
	Parts    []PromptPart
	Uncached int
	Output   int
	Priority int
	// Expected is the expected time to the first token.
	Expected clock.Millis
}

// Outcome is how a job ended.
type Outcome int

// The outcomes.
const (
	// Succeeded jobs were answered.
	Succeeded Outcome = iota
	// Failed jobs were answered with an error, or not at all.
	Failed
	// Unreachable jobs could not be sent.
	Unreachable
	// Canceled jobs were broken off by the caller.
	Canceled
)

// Balancer knows the endpoints and what runs on them.
type Balancer struct {
	replicas map[string]*replica
	backends map[string]*pool
	jobs     map[uint64]*job
	// local is set for the jobs of this daemon.
	local  map[uint64]bool
	others RemoteTraffic
}

// pool is what is known of all endpoints of a back end together.
type pool struct {
	members []*replica
	// rate is how many prompt tokens an engine computes in a millisecond.
	rate float64
	// work is the mean time of a request to a plain service.
	work float64
	// failures is the mean share of requests that fail.
	failures float64
}

// job is a Job that has not ended.
type job struct {
	Job
	replica *replica
	sent    clock.Millis
	first   bool
}

// New returns a Balancer that knows no endpoints.
func New() *Balancer {
	return &Balancer{
		replicas: make(map[string]*replica),
		backends: make(map[string]*pool),
		jobs:     make(map[uint64]*job),
		local:    make(map[uint64]bool),
	}
}

// SetEndpoints replaces the known endpoints.
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
	b.regroup()
}

// regroup sorts the endpoints by back end.
func (b *Balancer) regroup() {
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
		p = &pool{rate: initialRate, work: initialWork}
		b.backends[name] = p
	}
	return p
}

// MarkLeaving marks an endpoint as leaving, whoever said so.
func (b *Balancer) MarkLeaving(id string) {
	if r := b.replicas[id]; r != nil {
		r.Leaving = true
	}
}

// InvalidateAddress marks an endpoint whose address belongs to another; it is not chosen
// again.
func (b *Balancer) InvalidateAddress(id string) {
	if r := b.replicas[id]; r != nil {
		r.Leaving = true
		r.moved = true
	}
}

// Choose returns the best endpoint for the request. It changes nothing.
func (b *Balancer) Choose(now clock.Millis, request Request) (choice Choice, found bool) {
	p := b.backends[request.Backend]
	if p == nil {
		return Choice{}, false
	}
	choice, found = b.choose(now, p, request, func(r *replica, _ estimate) bool { return !r.Leaving && now >= r.ejectedUntil })
	if !found {
		choice, found = b.choose(now, p, request, func(r *replica, _ estimate) bool { return !r.Leaving })
	}
	return choice, found
}

// ChooseLeaving returns the best endpoint among those that are leaving and stay
// long enough to answer the request. It is for requests that no other endpoint
// can serve in time.
func (b *Balancer) ChooseLeaving(now clock.Millis, request Request) (choice Choice, found bool) {
	p := b.backends[request.Backend]
	if p == nil {
		return Choice{}, false
	}
	return b.choose(now, p, request, func(r *replica, e estimate) bool {
		answered := clock.Millis(e.waits.total()) + clock.Millis(request.Output)*tokenTime
		stay := r.LeavesAt - now
		return r.Leaving && !r.moved && now >= r.ejectedUntil && stay >= minStay && answered <= stay
	})
}

// choose takes the least cost among the endpoints that are eligible.
func (b *Balancer) choose(now clock.Millis, p *pool, request Request, eligible func(r *replica, e estimate) bool) (choice Choice, found bool) {
	best := 0.0
	unseen := b.unseen(now, p)
	for _, r := range p.members {
		if slices.Contains(request.Exclude, r.ID) {
			continue
		}
		e := p.estimate(now, r, request)
		if !eligible(r, e) {
			continue
		}
		cost := e.cost
		if unseen > 0 {
			cost += spreadShare * unseen * spread(r.ID, request.TieBreakSeed)
		}
		if !found || cost < best {
			best, found = cost, true
			choice = Choice{Endpoint: r.ID, Uncached: e.uncached, ExpectedFirstToken: clock.Millis(e.waits.total()), Delays: e.waits}
		}
	}
	return choice, found
}

// RecordLocalJob records that this daemon sent a job.
func (b *Balancer) RecordLocalJob(now clock.Millis, sent Job) {
	b.local[sent.ID] = true
	b.add(now, sent)
}

// RecordRemoteJob records that another daemon sent a job, age ago.
func (b *Balancer) RecordRemoteJob(now clock.Millis, sent Job, age clock.Millis) {
	b.add(now-age, sent)
}

func (b *Balancer) add(now clock.Millis, sent Job) {
	r := b.replicas[sent.Endpoint]
	if r == nil {
		return
	}
	j := &job{Job: sent, replica: r, sent: now}
	b.jobs[sent.ID] = j
	r.add(now, j, b.backend(r.Backend))
}

// RecordFirstToken records that a job has produced its first token.
func (b *Balancer) RecordFirstToken(now clock.Millis, id uint64) {
	j := b.jobs[id]
	if j == nil || j.first {
		return
	}
	p := b.backend(j.replica.Backend)
	if b.local[id] {
		p.learn(now, j)
	}
	j.replica.firstToken(now, j, p)
}

// RecordEnd records that a job has ended.
func (b *Balancer) RecordEnd(now clock.Millis, id uint64, outcome Outcome) {
	j := b.jobs[id]
	if j == nil {
		return
	}
	p := b.backend(j.replica.Backend)
	if b.local[id] {
		p.judge(now, j, outcome)
	}
	j.replica.remove(now, j, p)
	delete(b.jobs, id)
	delete(b.local, id)
}

// RecordLoad records what an endpoint said of its load.
func (b *Balancer) RecordLoad(now clock.Millis, id string, running, waiting, slots int) {
	r := b.replicas[id]
	if r == nil {
		return
	}
	r.reported = running + waiting
	r.reportedAt = now
	if slots > 0 {
		r.Slots = slots
	}
}

// PromptLoad returns how many endpoints' worth of time the prompts of a back end took
// lately, and how many endpoints it has that can be given work.
func (b *Balancer) PromptLoad(now clock.Millis, backend string) (busy float64, serving int) {
	p := b.backends[backend]
	if p == nil {
		return 0, 0
	}
	return p.busy(now, math.Inf(1))
}

// busy sums up the parts of their time that the endpoints spent on prompts
// lately, of each at most the given part, and counts those that can be given
// work.
func (p *pool) busy(now clock.Millis, most float64) (busy float64, serving int) {
	for _, r := range p.members {
		busy += min(r.promptShare(now), most)
		if !r.Leaving {
			serving++
		}
	}
	return busy, serving
}

// ExpireJobs forgets jobs that are older than maxAge, whose end was not heard of.
func (b *Balancer) ExpireJobs(now, maxAge clock.Millis) {
	for id, j := range b.jobs {
		if now-j.sent > maxAge {
			j.replica.remove(now, j, b.backend(j.replica.Backend))
			delete(b.jobs, id)
			delete(b.local, id)
		}
	}
}
