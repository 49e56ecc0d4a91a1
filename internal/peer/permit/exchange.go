// Package permit asks for and gives the permits to send requests to endpoints that have
// stated terms.
//
// Package strain decides; this package finds the owner of an endpoint, the daemon that gives
// the permits of all daemons, and asks it. A daemon that hears of new terms in an answer
// reports them through the tree of daemons.
//
// # Usage
//
//	e := permit.New(permit.Config{Link: l, Clock: clk, Logger: logger, Owners: owners, ...})
//	e.RecordTerms(placement, terms)
//	permit := e.Acquire(ctx, placement, priority, timeLeft)
//	news := e.TakeNews(now) // for the next report
package permit

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

// Config configures an Exchange. All fields must be set.
type Config struct {
	Link   *link.Link
	Clock  clock.Clock
	Logger logrus.FieldLogger
	// Self is the address of this daemon's link.
	Self string
	// Owners returns the addresses of the daemons that may own an endpoint of a failure
	// domain, the owner first.
	Owners func(domain, endpoint string) []string
	// Endpoint returns an endpoint, the zero value if it is not known.
	Endpoint func(id string) roster.Endpoint
	// JobCount returns the number of requests at an endpoint that this daemon knows of.
	JobCount func(endpoint string) int
	// FirstID is the first ID of this daemon's permits.
	FirstID uint64
}

// Exchange asks for and gives permits. It is safe for concurrent use.
type Exchange struct {
	config Config
	// anyTerms is set while the book has entries, so that requests to endpoints without
	// terms do not wait for the lock.
	anyTerms atomic.Bool
	// anyColdUntil is the time until which some endpoint is cold.
	anyColdUntil atomic.Int64
	lastID       atomic.Uint64

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

// New returns an Exchange that knows no terms and registers its handlers with the link, which
// must not have been started.
func New(config Config) *Exchange {
	e := &Exchange{config: config, book: strain.NewBook(), limiter: strain.NewLimiter(), ownerFailedAt: make(map[string]clock.Millis)}
	e.lastID.Store(config.FirstID)
	link.Handle(config.Link, message.FleetPermit, e.servePermit)
	link.Handle(config.Link, message.FleetPermitEnd, e.servePermitEnd)
	return e
}

// SetEndpoints forgets the terms of endpoints that have ended.
func (e *Exchange) SetEndpoints(list []roster.Endpoint) {
	incarnations := make(map[string]int64, len(list))
	coldUntil := clock.Millis(0)
	for _, endpoint := range list {
		incarnations[endpoint.ID] = endpoint.Incarnation
		coldUntil = max(coldUntil, endpoint.ColdUntil)
	}
	e.anyColdUntil.Store(int64(coldUntil))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.book.Keep(func(id string) (current int64, known bool) {
		current, known = incarnations[id]
		return current, known
	})
}

// RecordTerms records the terms in an answer of an endpoint. The daemon that hears of a
// change tells all others.
func (e *Exchange) RecordTerms(placement relay.Placement, terms strain.Terms) {
	if terms.IsZero() && !e.anyTerms.Load() {
		return
	}
	now := e.config.Clock.Now()
	statement := strain.Statement{Endpoint: placement.Endpoint, Incarnation: placement.Incarnation, Terms: terms}
	if !e.record(now, statement, "Answer") {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.news = append(e.news, heardTerms{statement: statement, heardAt: now})
}

// record records terms with the back end of the endpoint, and logs a change.
func (e *Exchange) record(heardAt clock.Millis, s strain.Statement, source string) (changed bool) {
	s.Backend = e.config.Endpoint(s.Endpoint).Backend
	e.mu.Lock()
	changed = e.book.Record(heardAt, s)
	e.anyTerms.Store(!e.book.IsEmpty())
	e.mu.Unlock()
	if changed {
		eventTerms.Log(e.config.Logger, logrus.Fields{
			"Endpoint": s.Endpoint, "RequestsPerSecond": s.Terms.RequestsPerSecond, "RefusalsPerSecond": s.Terms.RefusalsPerSecond, "Source": source,
		})
	}
	return changed
}

// TakeNews returns the changed terms to report.
func (e *Exchange) TakeNews(now clock.Millis) (news []Terms) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, heard := range e.news {
		news = append(news, newTerms(heard.statement, now-heard.heardAt))
	}
	e.news = nil
	return news
}

// ApplyNews records terms that other daemons heard.
func (e *Exchange) ApplyNews(list []Terms) {
	now := e.config.Clock.Now()
	for _, terms := range list {
		e.record(now-terms.Age, terms.statement(), "Peer")
	}
}

// IsBrittle reports whether an endpoint has said that it fails if it has to refuse many
// requests.
func (e *Exchange) IsBrittle(endpoint roster.Endpoint) bool {
	if !e.anyTerms.Load() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.book.Terms(endpoint.ID, endpoint.Backend).RefusalsPerSecond > 0
}

// Acquire asks for the permit to send a request to an endpoint, and waits for its turn.
func (e *Exchange) Acquire(ctx context.Context, placement relay.Placement, priority int, timeLeft clock.Millis) relay.Permit {
	if !e.anyTerms.Load() && int64(e.config.Clock.Now()) >= e.anyColdUntil.Load() {
		return relay.Permit{Granted: true}
	}
	request, needed := e.newRequest(placement, priority, timeLeft)
	if !needed {
		return relay.Permit{Granted: true}
	}
	askedAt := e.config.Clock.Now()
	answer, owner := e.ask(ctx, request)
	if !answer.Granted {
		permitResults.Add("Refused", 1)
		return relay.Permit{AskAgainIn: answer.Wait}
	}
	err := e.config.Clock.Sleep(ctx, answer.Wait)
	late := e.config.Clock.Now()-askedAt-answer.Wait > maxPermitDelay
	if err != nil || late {
		permitResults.Add("GivenBack", 1)
		e.release(owner, request, strain.NotSent)
		return relay.Permit{}
	}
	permitResults.Add("Granted", 1)
	return relay.Permit{Granted: true, Release: func(outcome strain.Outcome) { e.release(owner, request, outcome) }}
}

// newRequest returns the request for a permit. needed is false if the endpoint has no terms.
func (e *Exchange) newRequest(placement relay.Placement, priority int, timeLeft clock.Millis) (request permitRequest, needed bool) {
	endpoint := e.config.Endpoint(placement.Endpoint)
	isCold := endpoint.IsCold(e.config.Clock.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	terms := e.book.Terms(placement.Endpoint, endpoint.Backend)
	if isCold {
		terms = terms.WithRate(endpoint.ColdRate)
	}
	if terms.IsZero() {
		return permitRequest{}, false
	}
	urgency := maxWaitRank - min(max(priority, 0), maxWaitRank)
	return permitRequest{
		ID: e.lastID.Add(1), Terms: newTerms(strain.Statement{Endpoint: placement.Endpoint, Incarnation: placement.Incarnation, Terms: terms}, 0),
		MaxWait:  min(minPermitWait+clock.Millis(urgency)*permitWaitStep, timeLeft/maxWaitShare),
		Lifetime: timeLeft,
	}, true
}

// ask asks the owner of the endpoint, or the next one if it does not answer.
func (e *Exchange) ask(ctx context.Context, request permitRequest) (answer permitAnswer, owner string) {
	for _, owner := range e.owners(request.Terms.ID) {
		if owner == e.config.Self {
			return e.decide(request), owner
		}
		callCtx, cancel := context.WithTimeout(ctx, permitTimeout.Duration())
		answer, err := link.Call[permitRequest, permitAnswer](callCtx, e.config.Link, link.Peer{Address: owner}, message.FleetPermit, request)
		cancel()
		if err == nil {
			return answer, owner
		}
		if ctx.Err() != nil {
			return permitAnswer{}, ""
		}
		e.recordOwnerFailure(owner, err)
	}
	return permitAnswer{Wait: noOwnerDelay}, ""
}

// owners returns the daemons to ask for permits of an endpoint.
func (e *Exchange) owners(endpoint string) (addresses []string) {
	now := e.config.Clock.Now()
	domain := e.config.Endpoint(endpoint).FailureDomain
	all := e.config.Owners(domain, endpoint)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, address := range all {
		if failedAt, failed := e.ownerFailedAt[address]; !failed || now-failedAt > ownerFailureMemory {
			addresses = append(addresses, address)
		}
	}
	return addresses[:min(len(addresses), maxOwnersAsked)]
}

func (e *Exchange) recordOwnerFailure(owner string, err error) {
	e.config.Logger.WithError(err).WithField("Address", owner).Debug("owner of an endpoint could not be asked for a permit")
	now := e.config.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.ownerFailedAt, func(_ string, at clock.Millis) bool { return now-at > ownerFailureMemory })
	e.ownerFailedAt[owner] = now
}

// decide decides on a permit as the owner of the endpoint.
func (e *Exchange) decide(request permitRequest) permitAnswer {
	endpoint, jobs := e.config.Endpoint(request.Terms.ID), e.config.JobCount(request.Terms.ID)
	e.mu.Lock()
	defer e.mu.Unlock()
	decision := e.limiter.Decide(e.config.Clock.Now(), strain.Ask{
		Endpoint: request.Terms.ID, Permit: request.ID, Terms: request.Terms.statement().Terms,
		Slots: endpoint.Slots, Jobs: jobs, MaxWait: request.MaxWait, Lifetime: request.Lifetime,
	})
	return permitAnswer{Granted: decision.Granted, Wait: decision.Wait}
}

// release tells the owner how a request with a permit has ended.
func (e *Exchange) release(owner string, request permitRequest, outcome strain.Outcome) {
	ended := permitEnd{ID: request.ID, Terms: request.Terms, Outcome: outcome}
	if owner == e.config.Self {
		e.finish(ended)
		return
	}
	if request.Terms.RefusalsPerSecond > 0 {
		if err := link.Send(e.config.Link, link.Peer{Address: owner}, message.FleetPermitEnd, ended); err != nil {
			e.config.Logger.WithError(err).WithField("Address", owner).Debug("owner of an endpoint could not be told of the end of a request")
		}
	}
}

func (e *Exchange) finish(ended permitEnd) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiter.Finish(e.config.Clock.Now(), ended.Terms.ID, ended.ID, ended.Terms.statement().Terms, ended.Outcome)
}

func (e *Exchange) servePermit(_ context.Context, _ string, request permitRequest) (permitAnswer, error) {
	return e.decide(request), nil
}

func (e *Exchange) servePermitEnd(_ context.Context, _ string, ended permitEnd) (struct{}, error) {
	e.finish(ended)
	return struct{}{}, nil
}
