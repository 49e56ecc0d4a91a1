package relay

import (
	"context"
	"errors"
	"net/http"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/budget"
	"github.com/banyanshift/banyanshift/internal/decide/strain"
	"github.com/banyanshift/banyanshift/internal/endpoint/connect"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

// maxTries limits the endpoints that are tried for one request, including
// those that refuse the connection.
const maxTries = 5

// minRetryTime is the shortest time until the deadline in which a request is
// retried.
const minRetryTime = 20 * clock.Millisecond

// result is the outcome of an attempt to send a request to an endpoint.
type result int

const (
	// brokenOff: the answer broke off after a part of it was written to the caller. This is
	// the zero value, so that it is also the result of an attempt that a panic ends.
	brokenOff result = iota
	// answered: the answer was written to the caller in full.
	answered
	// notSent: no endpoint that could run the request received any of it.
	notSent
	// notRun: the endpoint reported that it did not run the request.
	notRun
	// declined: as notRun, for a reason that lies in the request: a condition that the endpoint
	// does not meet, or its time limit.
	declined
	// failed: the endpoint ran the request and answered with an error, which
	// is stored in attemptState.errorAnswer.
	failed
	// noAnswer: the request may have run, and no usable answer arrived.
	noAnswer
	// expired: as noAnswer, but the time limit ended the attempt before its answer was overdue.
	expired
	// callerGone: the caller has disconnected.
	callerGone
	// abandoned: this daemon ended the attempt, and the request may have run.
	abandoned
)

// attemptState holds the results of the attempts so far of one request.
type attemptState struct {
	// exclude lists the endpoints that have been tried; no further attempt
	// uses them.
	exclude []string
	// unreached counts the endpoints that the request could not be sent to, by failure domain.
	unreached map[string]int
	// begunAt is when the latest attempt began, or began to be sent.
	begunAt clock.Millis
	// sent counts the endpoints that may have received the request.
	sent int
	// mayHaveRun is true if one of these endpoints may have run the request.
	mayHaveRun bool
	// openedAt is when the connection of the last attempt was opened.
	openedAt clock.Millis
	// errorAnswer is the last 5xx answer of an endpoint. The caller gets it
	// if no later attempt succeeds.
	errorAnswer *bufferedAnswer
	// lastDeclined is set if the endpoint of the most recent attempt declined the request.
	lastDeclined bool
	// lastReason is why the most recent attempt failed.
	lastReason string
}

// bufferedAnswer is an endpoint's answer that has been read in full.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// forward sends the request to one endpoint after the other until it is
// answered or no further attempt is allowed.
func (x *exchange) forward() {
	x.handler.config.Scheduler.CountRequest(x.backend)
	for range maxTries {
		if x.isAbandoned() {
			x.conclude(shuttingDown)
			return
		}
		placement, outcome, refusal := x.tryOnce()
		if refusal.Reason != "" {
			x.conclude(refusal)
			return
		}
		switch outcome {
		case answered, brokenOff, callerGone:
			return
		case abandoned:
			x.attempts.mayHaveRun = true
		case failed, noAnswer, expired:
			x.attempts.mayHaveRun = true
			if !x.mayTryAgain() || !x.proveStart() {
				x.conclude(Refusal{Reason: x.attempts.lastReason})
				return
			}
		case notSent:
			x.attempts.recordUnreached(placement.FailureDomain)
		case notRun, declined:
		}
		x.attempts.lastDeclined = outcome == declined
		x.attempts.exclude = append(x.attempts.exclude, placement.Endpoint)
	}
	x.conclude(Refusal{Reason: x.attempts.lastReason, RetryAfter: defaultRetryAfter})
}

// maxUnreached is how many endpoints of a failure domain are tried in vain before others are
// preferred. The endpoints of a domain that has just gone down have no requests and look best.
const maxUnreached = 2

// recordUnreached records that the request could not be sent to an endpoint of a domain.
func (a *attemptState) recordUnreached(domain string) {
	if a.unreached == nil {
		a.unreached = make(map[string]int)
	}
	a.unreached[domain]++
}

// avoidDomains returns the failure domains of which several endpoints were tried in vain.
func (a *attemptState) avoidDomains() (domains []string) {
	for domain, count := range a.unreached {
		if count >= maxUnreached {
			domains = append(domains, domain)
		}
	}
	return domains
}

// tryOnce sends the request to an endpoint, unless it is in quarantine or has no place.
func (x *exchange) tryOnce() (placement Placement, outcome result, refusal Refusal) {
	admission := x.admit()
	if !admission.Granted {
		return Placement{}, notSent, admission.Refusal
	}
	if admission.Release != nil {
		defer func() { admission.Release(outcome != noAnswer && outcome != expired && outcome != brokenOff) }()
	}
	placement, refusal = x.place()
	if refusal.Reason != "" {
		return placement, notSent, refusal
	}
	return placement, x.attempt(placement), Refusal{}
}

// place asks the scheduler for an endpoint. If the request has been sent
// before, it first checks the time and attempts left and takes a retry from the
// budget.
func (x *exchange) place() (Placement, Refusal) {
	s := x.handler.config.Scheduler
	if x.timeLeft() < minRetryTime && len(x.attempts.exclude) > 0 {
		return Placement{}, Refusal{Reason: "no time left for another attempt: " + x.attempts.lastReason}
	}
	if x.bodyReleased || x.hasUsedAttempts() {
		return Placement{}, Refusal{Reason: "no attempts left: " + x.attempts.lastReason, RetryAfter: defaultRetryAfter}
	}
	if x.attempts.sent > 0 && !s.TakeRetry(budget.Retry{Backend: x.backend, Declined: x.attempts.lastDeclined}) {
		return Placement{}, Refusal{Reason: "retry budget exhausted: " + x.attempts.lastReason, RetryAfter: defaultRetryAfter}
	}
	return s.Place(x.placeRequest(), x.timeLeft())
}

// conclude writes the final answer when no further attempt is made.
func (x *exchange) conclude(refusal Refusal) {
	switch {
	case x.callerLeft():
		x.trace.setResult(0, "caller left")
	case x.stream.headSent:
		x.trace.setResult(0, refusal.Reason)
	case x.attempts.errorAnswer != nil:
		x.writeAnswer(x.attempts.errorAnswer)
	case x.attempts.mayHaveRun && x.timeLeft() <= 0:
		x.refuse(http.StatusGatewayTimeout, Refusal{Reason: "time limit reached: " + refusal.Reason})
	case x.attempts.mayHaveRun:
		x.refuse(http.StatusBadGateway, Refusal{Reason: refusal.Reason})
	case refusal.Final:
		x.refuse(http.StatusUnprocessableEntity, refusal)
	default:
		x.refuse(http.StatusServiceUnavailable, refusal)
	}
}

// attempt sends the request to an endpoint and forwards its answer, if it gets a permit.
func (x *exchange) attempt(placement Placement) (outcome result) {
	x.trace.recordPlacement(x, placement)
	permit := x.handler.config.Scheduler.Acquire(x.ctx, placement, x.priority(), x.timeLeft())
	if !permit.Granted {
		return x.handleNoPermit(placement, permit)
	}
	if permit.Release != nil {
		defer func() { permit.Release(outcome.asStrain()) }()
	}
	return x.send(placement)
}

// asStrain returns what the result says of the endpoint's strain.
func (r result) asStrain() strain.Outcome {
	switch r {
	case notSent, declined, expired:
		return strain.NotSent
	case notRun:
		return strain.Refused
	case noAnswer, brokenOff:
		return strain.Failed
	case answered, failed, callerGone, abandoned:
	}
	return strain.Answered
}

// send sends the request to an endpoint and forwards its answer.
func (x *exchange) send(placement Placement) result {
	h := x.handler
	x.attempts.begunAt = h.config.Clock.Now()
	connection, err := x.connectChecked(placement)
	x.attempts.openedAt = connection.OpenedAt
	sentWall := h.config.Clock.Wall()
	if errors.Is(err, connect.ErrRestarted) || errors.Is(err, connect.ErrNoReport) {
		return x.handleUnchecked(placement, err)
	}
	if err != nil {
		return x.handleNoAnswer(placement, err, sentWall)
	}
	if !h.config.Scheduler.MaySend(placement) {
		connection.Cancel()
		return x.handleDrained(placement)
	}
	x.attempts.begunAt = h.config.Clock.Now()
	answer, err := connection.Do(x.ctx, x.newRequest(placement))
	if err != nil {
		return x.handleNoAnswer(placement, err, sentWall)
	}
	defer answer.Close()
	x.attempts.sent++
	head := h.config.Wire.DecodeAnswer(answer.Status, answer.Header)
	if head.Misdirected {
		return x.handleMisdirected(placement, head)
	}
	h.config.Scheduler.RecordSignals(placement, head)
	h.config.Quarantine.RecordAnswer(placement)
	if !head.NotRun && x.isLastAttempt() {
		x.releaseBody(answer)
	}
	switch {
	case head.NotRun:
		return x.handleNotRun(placement, answer.Status)
	case x.isStream(answer):
		return x.forwardStream(placement, answer, head)
	case x.stream.headSent:
		return x.handleNotResumed(placement, answer)
	}
	return x.forwardBuffered(placement, answer, head, sentWall)
}

// connect finds a way to the endpoint within the time that is left.
func (x *exchange) connect(placement Placement) (connection connect.Connection, err error) {
	ctx, cancel := context.WithTimeout(x.ctx, x.timeLeft().Duration())
	defer cancel()
	connection, err = x.handler.config.Connect(ctx, connect.Target{
		Endpoint: placement.Endpoint, Address: placement.Address, FailureDomain: placement.FailureDomain,
		ExpectedAnswer: placement.ExpectedFirstToken, Repeatable: x.route.Repeatable(), BodyBytes: x.bodyBytes,
	})
	if err == nil && connection.Peer != "" {
		x.trace.recordPeer(x, placement, connection.Peer)
	}
	return connection, err
}

// newRequest returns the request to an endpoint, which states the time that is left now.
func (x *exchange) newRequest(placement Placement) http1.Request {
	return http1.Request{
		ID:       x.call.ID,
		Method:   x.call.Method,
		Head:     x.handler.config.Wire.EncodeAttempt(&x.call, x.newAttempt(placement)),
		Body:     x.body,
		Deadline: x.deadline + answerMargin,
	}
}

func (x *exchange) newAttempt(placement Placement) Attempt {
	return Attempt{
		Endpoint:           placement.Endpoint,
		Team:               x.teamName(),
		TimeLeft:           max(x.timeLeft(), 1),
		Priority:           x.priority(),
		ToModelEngine:      x.call.Prompt != nil,
		CopyFrom:           placement.CopyFrom,
		ResumeAfterEventID: x.resumeAfter(),
	}
}

// resumeAfter returns the ID of the last event that the caller has received, empty if the
// stream starts at its beginning.
func (x *exchange) resumeAfter() string {
	if x.stream.position.lastID != "" {
		return x.stream.position.lastID
	}
	return x.call.LastEventID
}

// countStart counts the request for billing when it starts to run. Later calls
// for the same request do nothing.
func (x *exchange) countStart(wall clock.Millis) {
	if x.startCounted || x.team == nil {
		return
	}
	x.startCounted = true
	x.handler.config.RecordStarted(x.team.Name, wall)
}
