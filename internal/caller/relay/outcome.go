package relay

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

// handleNoPermit records that the endpoint has no place for the request now.
func (x *exchange) handleNoPermit(placement Placement, permit Permit) result {
	s := x.handler.config.Scheduler
	s.RecordEnd(placement, balance.Canceled)
	if x.callerLeft() {
		x.trace.setResult(0, "caller left")
		return callerGone
	}
	if x.isAbandoned() {
		return notSent
	}
	s.SetAside(placement.Endpoint, permit.AskAgainIn)
	x.attempts.lastReason = "endpoint takes no more requests now"
	x.recordFailure(x.attempts.lastReason, placement, nil)
	return notSent
}

// handleDrained records an attempt whose endpoint is to get no more requests since it was
// chosen.
func (x *exchange) handleDrained(placement Placement) result {
	x.handler.config.Scheduler.RecordEnd(placement, balance.Canceled)
	x.attempts.lastReason = "failure domain of the endpoint has been drained"
	x.recordFailure(x.attempts.lastReason, placement, nil)
	return notSent
}

// handleNoAnswer records an attempt that got no answer. The result shows
// whether the request may have been sent.
func (x *exchange) handleNoAnswer(placement Placement, err error, sentWall clock.Millis) result {
	s := x.handler.config.Scheduler
	x.attempts.lastReason = err.Error()
	var requestError *http1.RequestError
	sent := !errors.As(err, &requestError) || requestError.Sent
	if sent {
		x.attempts.sent++
	}
	if x.callerLeft() {
		s.RecordEnd(placement, balance.Canceled)
		x.trace.setResult(0, "caller left")
		return callerGone
	}
	if !sent {
		s.RecordEnd(placement, x.unreachedOutcome())
		x.recordFailure("endpoint unreachable", placement, err)
		return notSent
	}
	if x.route.Kind != document.Streaming {
		x.countStart(sentWall)
	}
	if x.isAbandoned() {
		return x.handleAbandoned(placement)
	}
	outcome, result := x.unansweredOutcome(placement, err)
	s.RecordEnd(placement, outcome)
	x.recordFailure("no answer from endpoint", placement, err)
	x.recordLost(placement, err)
	return result
}

// handleAbandoned records an attempt that this daemon ended because it shuts down. It says nothing
// of the endpoint.
func (x *exchange) handleAbandoned(placement Placement) result {
	x.handler.config.Scheduler.RecordEnd(placement, balance.Canceled)
	x.attempts.lastReason = shuttingDown.Reason
	x.recordFailure(x.attempts.lastReason, placement, nil)
	return abandoned
}

// handleNotRun records an attempt that the endpoint refused to run.
func (x *exchange) handleNotRun(placement Placement, status int) result {
	outcome, result := x.refusedOutcome()
	x.handler.config.Scheduler.RecordEnd(placement, outcome)
	x.attempts.lastReason = "endpoint did not run the request: " + http.StatusText(status)
	x.recordFailure(x.attempts.lastReason, placement, nil)
	return result
}

// handleNotResumed records an attempt to continue a stream to which the endpoint gave
// another answer than events. The caller has the head of the first one.
func (x *exchange) handleNotResumed(placement Placement, answer *http1.Answer) result {
	x.handler.config.Scheduler.RecordEnd(placement, balance.Failed)
	x.attempts.lastReason = fmt.Sprintf("endpoint did not resume the stream: status %d, content type %q", answer.Status, answer.Header.Get("Content-Type"))
	x.recordFailure(x.attempts.lastReason, placement, nil)
	return noAnswer
}
