package relay

import (
	"errors"
	"os"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/wire/response"
)

const (
	// minConnectTime is how long an endpoint must have been given to accept a connection.
	minConnectTime = 200 * clock.Millisecond
	// overdueGrace is added to twice the expected time of an answer before it counts as overdue.
	overdueGrace = 350 * clock.Millisecond
)

// A request whose time limit ends it before the endpoint could be expected to answer says nothing
// of the endpoint. Otherwise a caller with short time limits would take endpoints from all others.

// unreachedOutcome returns what an attempt that was not sent says of its endpoint.
func (x *exchange) unreachedOutcome() balance.Outcome {
	if x.expiredWithin(minConnectTime) {
		return balance.Canceled
	}
	return balance.Unreachable
}

// refusedOutcome returns what an attempt that the endpoint did not run says of it, and the result.
// An endpoint also refuses a request whose time limit has passed in its queue.
func (x *exchange) refusedOutcome() (balance.Outcome, result) {
	if x.timeLeft() <= 0 {
		return balance.Canceled, declined
	}
	return balance.Failed, notRun
}

// unansweredOutcome returns what an attempt without a whole answer says of its endpoint, and the
// result.
func (x *exchange) unansweredOutcome(placement Placement, err error) (balance.Outcome, result) {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && x.expiredWithin(2*placement.ExpectedFirstToken+overdueGrace):
		return balance.Canceled, expired
	case isOutOfMemory(err):
		return balance.Canceled, noAnswer
	}
	return balance.Failed, noAnswer
}

// isOutOfMemory reports whether an answer was given up since this daemon has no memory left for it.
func isOutOfMemory(err error) bool {
	return errors.Is(err, errNoEventMemory) || errors.Is(err, response.ErrNoMemory)
}

// expiredWithin reports whether the time limit of the request has passed within a time after the
// attempt, or its connection, was begun.
func (x *exchange) expiredWithin(time clock.Millis) bool {
	now := x.handler.config.Clock.Now()
	return now >= x.deadline && now-x.attempts.begunAt < time
}
