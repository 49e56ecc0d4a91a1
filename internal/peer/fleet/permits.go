package fleet

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/decide/strain"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

const (
	// permitTimeout limits the wait for the answer of an owner.
	permitTimeout = 150 * clock.Millisecond
	// maxPermitDelay is how late a permit may be used. Requests that are held up for
	// longer would arrive together.
	maxPermitDelay = 200 * clock.Millisecond
	// ownerFailureMemory is how long an owner that did not answer is passed over.
	ownerFailureMemory = 3 * clock.Second
	// maxOwnersAsked limits the owners that are asked for one permit.
	maxOwnersAsked = 2
	// noOwnerDelay is when to ask again if no owner answered.
	noOwnerDelay = 200 * clock.Millisecond
	// minPermitWait, permitWaitStep and maxWaitRank give how long a request may wait for
	// its turn: longer the more urgent it is. maxWaitShare is the share of its time left.
	minPermitWait  = 100 * clock.Millisecond
	permitWaitStep = 100 * clock.Millisecond
	maxWaitRank    = 3
	maxWaitShare   = 8
)

// permits asks for and gives the permits for endpoints that have stated terms.
type permits struct {
	fleet *Fleet
	// anyTerms is set while the book has entries, so that requests to endpoints without
	// terms do not wait for the lock.
	anyTerms atomic.Bool
	lastID   atomic.Uint64

	mu      sync.Mutex
	book    *strain.Book
	limiter *strain.Limiter
	// news lists the changed terms that were heard here and are to be reported.
	news []heardTerms
	// ownerFailedAt is when owners last did not answer, by address.
	ownerFailedAt map[string]clock.Millis
}

// heardTerms is a statement of an endpoint that this daemon heard itself.
type heardTerms struct {
	statement strain.Statement
	heardAt   clock.Millis
}

func newPermits(f *Fleet, firstID uint64) *permits {
	p := &permits{fleet: f, book: strain.NewBook(), limiter: strain.NewLimiter(), ownerFailedAt: make(map[string]clock.Millis)}
	p.lastID.Store(firstID)
	return p
}

// setEndpoints forgets the terms of endpoints that have ended.
func (p *permits) setEndpoints(list []roster.Endpoint) {
	incarnations := make(map[string]int64, len(list))
	for _, endpoint := range list {
		incarnations[endpoint.ID] = endpoint.Incarnation
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.Keep(func(id string) (current int64, known bool) {
		current, known = incarnations[id]
		return current, known
	})
}

// RecordTerms records the terms in an answer of an endpoint. The daemon that hears of a
// change tells all others.
func (f *Fleet) RecordTerms(placement relay.Placement, terms strain.Terms) {
	p := f.permits
	if terms.IsZero() && !p.anyTerms.Load() {
		return
	}
	now := f.config.Clock.Now()
	statement := strain.Statement{Endpoint: placement.Endpoint, Incarnation: placement.Incarnation, Terms: terms}
	if !p.record(now, statement, "Answer") {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.news = append(p.news, heardTerms{statement: statement, heardAt: now})
}

// record records terms with the back end of the endpoint, and logs a change.
func (p *permits) record(heardAt clock.Millis, s strain.Statement, source string) (changed bool) {
	s.Backend = p.fleet.config.Scheduler.Endpoint(s.Endpoint).Backend
	p.mu.Lock()
	changed = p.book.Record(heardAt, s)
	p.anyTerms.Store(!p.book.IsEmpty())
	p.mu.Unlock()
	if changed {
		eventTerms.Log(p.fleet.config.Logger, logrus.Fields{
			"Endpoint": s.Endpoint, "RequestsPerSecond": s.Terms.RequestsPerSecond, "RefusalsPerSecond": s.Terms.RefusalsPerSecond, "Source": source,
		})
	}
	return changed
}

// takeNews returns the changed terms to report.
func (p *permits) takeNews(now clock.Millis) (news []endpointTerms) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, heard := range p.news {
		news = append(news, newEndpointTerms(heard.statement, now-heard.heardAt))
	}
	p.news = nil
	return news
}

// applyNews records terms that other daemons heard.
func (p *permits) applyNews(list []endpointTerms) {
	now := p.fleet.config.Clock.Now()
	for _, e := range list {
		p.record(now-e.Age, e.statement(), "Peer")
	}
}

// IsBrittle reports whether an endpoint has said that it fails if it has to refuse many
// requests.
func (f *Fleet) IsBrittle(endpoint roster.Endpoint) bool {
	p := f.permits
	if !p.anyTerms.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Terms(endpoint.ID, endpoint.Backend).RefusalsPerSecond > 0
}

// Acquire asks for the permit to send a request to an endpoint, and waits for its turn.
func (f *Fleet) Acquire(ctx context.Context, placement relay.Placement, priority int, timeLeft clock.Millis) relay.Permit {
	p := f.permits
	if !p.anyTerms.Load() {
		return relay.Permit{Granted: true}
	}
	request, needed := p.newRequest(placement, priority, timeLeft)
	if !needed {
		return relay.Permit{Granted: true}
	}
	askedAt := f.config.Clock.Now()
	answer, owner := p.ask(ctx, request)
	if !answer.Granted {
		permitResults.Add("Refused", 1)
		return relay.Permit{AskAgainIn: answer.Wait}
	}
	err := f.config.Clock.Sleep(ctx, answer.Wait)
	late := f.config.Clock.Now()-askedAt-answer.Wait > maxPermitDelay
	if err != nil || late {
		permitResults.Add("GivenBack", 1)
		p.release(owner, request, strain.NotSent)
		return relay.Permit{}
	}
	permitResults.Add("Granted", 1)
	return relay.Permit{Granted: true, Release: func(outcome strain.Outcome) { p.release(owner, request, outcome) }}
}

// newRequest returns the request for a permit. needed is false if the endpoint has no terms.
func (p *permits) newRequest(placement relay.Placement, priority int, timeLeft clock.Millis) (request permitRequest, needed bool) {
	backend := p.fleet.config.Scheduler.Endpoint(placement.Endpoint).Backend
	p.mu.Lock()
	defer p.mu.Unlock()
	terms := p.book.Terms(placement.Endpoint, backend)
	if terms.IsZero() {
		return permitRequest{}, false
	}
	urgency := maxWaitRank - min(max(priority, 0), maxWaitRank)
	return permitRequest{
		ID: p.lastID.Add(1), Terms: newEndpointTerms(strain.Statement{Endpoint: placement.Endpoint, Incarnation: placement.Incarnation, Terms: terms}, 0),
		MaxWait:  min(minPermitWait+clock.Millis(urgency)*permitWaitStep, timeLeft/maxWaitShare),
		Lifetime: timeLeft,
	}, true
}

// ask asks the owner of the endpoint, or the next one if it does not answer.
func (p *permits) ask(ctx context.Context, request permitRequest) (answer permitAnswer, owner string) {
	f := p.fleet
	for _, owner := range p.owners(request.Terms.ID) {
		if owner == f.config.Self.Address {
			return p.decide(request), owner
		}
		callCtx, cancel := context.WithTimeout(ctx, permitTimeout.Duration())
		answer, err := link.Call[permitRequest, permitAnswer](callCtx, f.config.Link, link.Peer{Address: owner}, message.FleetPermit, request)
		cancel()
		if err == nil {
			return answer, owner
		}
		if ctx.Err() != nil {
			return permitAnswer{}, ""
		}
		p.recordOwnerFailure(owner, err)
	}
	return permitAnswer{Wait: noOwnerDelay}, ""
}

// owners returns the daemons to ask for permits of an endpoint.
func (p *permits) owners(endpoint string) (addresses []string) {
	f := p.fleet
	now := f.config.Clock.Now()
	domain := f.config.Scheduler.Endpoint(endpoint).FailureDomain
	f.mu.Lock()
	all := f.view.Owners(now, domain, endpoint)
	f.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range all {
		if failedAt, failed := p.ownerFailedAt[address]; !failed || now-failedAt > ownerFailureMemory {
			addresses = append(addresses, address)
		}
	}
	return addresses[:min(len(addresses), maxOwnersAsked)]
}

func (p *permits) recordOwnerFailure(owner string, err error) {
	p.fleet.config.Logger.WithError(err).WithField("Address", owner).Debug("owner of an endpoint could not be asked for a permit")
	now := p.fleet.config.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.ownerFailedAt, func(_ string, at clock.Millis) bool { return now-at > ownerFailureMemory })
	p.ownerFailedAt[owner] = now
}

// decide decides on a permit as the owner of the endpoint.
func (p *permits) decide(request permitRequest) permitAnswer {
	f := p.fleet
	endpoint, jobs := f.config.Scheduler.Endpoint(request.Terms.ID), f.config.Scheduler.JobCount(request.Terms.ID)
	p.mu.Lock()
	defer p.mu.Unlock()
	decision := p.limiter.Decide(f.config.Clock.Now(), strain.Ask{
		Endpoint: request.Terms.ID, Permit: request.ID, Terms: request.Terms.statement().Terms,
		Slots: endpoint.Slots, Jobs: jobs, MaxWait: request.MaxWait, Lifetime: request.Lifetime,
	})
	return permitAnswer{Granted: decision.Granted, Wait: decision.Wait}
}

// release tells the owner how a request with a permit has ended.
func (p *permits) release(owner string, request permitRequest, outcome strain.Outcome) {
	ended := permitEnd{ID: request.ID, Terms: request.Terms, Outcome: outcome}
	if owner == p.fleet.config.Self.Address {
		p.finish(ended)
		return
	}
	if request.Terms.RefusalsPerSecond > 0 {
		p.fleet.send([]string{owner}, message.FleetPermitEnd, ended)
	}
}

func (p *permits) finish(ended permitEnd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.Finish(p.fleet.config.Clock.Now(), ended.Terms.ID, ended.ID, ended.Terms.statement().Terms, ended.Outcome)
}

func (f *Fleet) servePermit(_ context.Context, _ string, request permitRequest) (permitAnswer, error) {
	return f.permits.decide(request), nil
}

func (f *Fleet) servePermitEnd(_ context.Context, _ string, ended permitEnd) (struct{}, error) {
	f.permits.finish(ended)
	return struct{}{}, nil
}
