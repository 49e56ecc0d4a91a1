package relay

import (
	"errors"
	"net/http"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

// maxTries bounds how many endpoints are tried for one request, those that
// could not be connected to included.
const maxTries = 5

// minRetryTime is the least time that is worth another attempt.
const minRetryTime = 20 * clock.Millisecond

// result is what came of sending a request to an endpoint.
type result int

const (
	// answered: the caller has the whole answer, or as much as there will be.
	answered result = iota
	// notSent: no byte of the request left.
	notSent
	// notRun: the endpoint says that it did not run the request.
	notRun
	// failed: the endpoint ran the request and answered with an error, which
	// is kept in attempts.answer.
	failed
	// lost: the request may have run, and its answer is not to be had.
	lost
	// abandoned: the caller has left.
	abandoned
)

// attempts remembers the attempts of one request.
type attempts struct {
	// tried are the endpoints that get the request no more.
	tried []string
	// sent counts those that may have received it.
	sent int
	// mayHaveRun says that one of them may have run it.
	mayHaveRun bool
	// answer is an endpoint's error, for the caller unless a later attempt
	// does better.
	answer *heldAnswer
	// last is the reason of the last attempt that failed.
	last string
}

// heldAnswer is a whole answer that was read from an endpoint.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// forward sends the request until it is answered or no further attempt is
// allowed.
func (x *exchange) forward() {
	x.handler.config.Scheduler.CountRequest(x.backend)
	for range maxTries {
		placement, refusal := x.place()
		if refusal.Reason != "" {
			x.conclude(refusal)
			return
		}
		switch x.attempt(placement) {
		case answered, abandoned:
			return
		case failed, lost:
			x.attempts.mayHaveRun = true
			if !x.route.Repeatable() {
				x.conclude(Refusal{Reason: x.attempts.last})
				return
			}
		case notSent, notRun:
		}
		x.attempts.tried = append(x.attempts.tried, placement.Endpoint)
	}
	x.conclude(Refusal{Reason: x.attempts.last, RetryAfter: staleRetry})
}

// place asks for an endpoint, and for a retry from the budget where the request
// has been sent before.
func (x *exchange) place() (Placement, Refusal) {
	s := x.handler.config.Scheduler
	if x.timeLeft() < minRetryTime && len(x.attempts.tried) > 0 {
		return Placement{}, Refusal{Reason: "no time left for another attempt: " + x.attempts.last}
	}
	if x.attempts.sent >= max(x.route.Attempts, 1) {
		return Placement{}, Refusal{Reason: "no attempts left: " + x.attempts.last, RetryAfter: staleRetry}
	}
	if x.attempts.sent > 0 && !s.TakeRetry(x.backend) {
		return Placement{}, Refusal{Reason: "retry budget exhausted: " + x.attempts.last, RetryAfter: staleRetry}
	}
	return s.Place(x.placeRequest(), x.timeLeft())
}

// conclude gives the final answer when nothing further is tried.
func (x *exchange) conclude(refusal Refusal) {
	switch {
	case x.r.Context().Err() != nil:
		x.trace.end(0, "caller left")
	case x.stream.started:
		x.breakOff(refusal.Reason)
	case x.attempts.answer != nil:
		x.pass(x.attempts.answer)
	case x.attempts.mayHaveRun && x.timeLeft() <= 0:
		x.refuse(http.StatusGatewayTimeout, Refusal{Reason: "time limit reached: " + refusal.Reason})
	case x.attempts.mayHaveRun:
		x.refuse(http.StatusBadGateway, Refusal{Reason: refusal.Reason})
	default:
		x.refuse(http.StatusServiceUnavailable, refusal)
	}
}

// attempt sends the request to an endpoint and passes its answer on.
func (x *exchange) attempt(placement Placement) result {
	h := x.handler
	x.trace.place(x, placement)
	request := http1.Request{
		ID:       x.call.ID,
		Method:   x.call.Method,
		Head:     h.config.Wire.EncodeAttempt(&x.call, x.describe(placement)),
		Body:     x.body,
		Deadline: x.deadline + answerMargin,
	}
	sentWall := h.config.Clock.Wall()
	answer, err := h.config.Pool.Do(x.r.Context(), placement.Endpoint, placement.Address, request)
	if err != nil {
		return x.unanswered(placement, err, sentWall)
	}
	defer answer.Close()
	x.attempts.sent++
	head := h.config.Wire.DecodeAnswer(answer.Status, answer.Header)
	if head.Load != nil {
		h.config.Scheduler.RecordLoad(placement.Endpoint, *head.Load)
	}
	switch {
	case head.WrongEndpoint:
		return x.misdirected(placement)
	case head.NotRun:
		return x.turnedAway(placement, answer.Status)
	case x.route.Kind == document.Streaming && answer.Status == http.StatusOK:
		return x.passStream(placement, answer, head)
	}
	return x.passWhole(placement, answer, head, sentWall)
}

func (x *exchange) describe(placement Placement) Attempt {
	attempt := Attempt{
		Endpoint:      placement.Endpoint,
		Team:          x.teamName(),
		TimeLeft:      max(x.timeLeft(), 1),
		Priority:      x.priority(),
		ToModelEngine: x.call.Prompt != nil,
	}
	attempt.ResumeAfterEventID = x.call.LastEventID
	if x.stream.lastID != "" {
		attempt.ResumeAfterEventID = x.stream.lastID
	}
	return attempt
}

// unanswered judges an attempt without an answer.
func (x *exchange) unanswered(placement Placement, err error, sentWall clock.Millis) result {
	s := x.handler.config.Scheduler
	x.attempts.last = err.Error()
	var failure *http1.RequestError
	sent := !errors.As(err, &failure) || failure.Sent
	if sent {
		x.attempts.sent++
	}
	if x.r.Context().Err() != nil {
		s.RecordEnd(placement, balance.Canceled)
		x.trace.end(0, "caller left")
		return abandoned
	}
	if !sent {
		s.RecordEnd(placement, balance.Unreachable)
		x.lost("endpoint unreachable", placement, err)
		return notSent
	}
	s.RecordEnd(placement, balance.Failed)
	x.lost("no answer from endpoint", placement, err)
	if x.route.Kind != document.Streaming {
		x.countBegun(sentWall)
	}
	return lost
}

// misdirected judges an attempt at an address that another endpoint has now.
func (x *exchange) misdirected(placement Placement) result {
	s := x.handler.config.Scheduler
	s.RecordEnd(placement, balance.Unreachable)
	s.InvalidateAddress(placement.Endpoint)
	x.attempts.sent--
	x.attempts.last = "another endpoint has the address"
	x.lost(x.attempts.last, placement, nil)
	return notSent
}

// turnedAway judges an attempt that the endpoint did not run.
func (x *exchange) turnedAway(placement Placement, status int) result {
	x.handler.config.Scheduler.RecordEnd(placement, balance.Failed)
	x.attempts.last = "endpoint did not run the request: " + http.StatusText(status)
	x.lost(x.attempts.last, placement, nil)
	return notRun
}

// countBegun counts the request for billing, once.
func (x *exchange) countBegun(wall clock.Millis) {
	if x.began || x.team == nil {
		return
	}
	x.began = true
	x.handler.config.RecordStarted(x.team.Name, wall)
}
