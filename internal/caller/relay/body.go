package relay

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/body"
	"github.com/banyanshift/banyanshift/internal/caller/keepalive"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

const (
	// unreadBodyTimeout limits how long the body of a refused request is read
	// and discarded, so that the connection can be reused.
	unreadBodyTimeout = 20 * clock.Millisecond
	// maxUnreadBodyBytes limits how much of that body is read.
	maxUnreadBodyBytes = 256 << 10
)

// readBody reads the whole body into memory, so that the request can be
// retried.
func (x *exchange) readBody() bool {
	limit := x.configuration.Index.Limits().MaxBodyBytes
	if x.r.ContentLength > limit {
		x.refuse(http.StatusRequestEntityTooLarge, Refusal{Reason: "body too large"})
		return false
	}
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(x.handler.config.Clock.Deadline(x.deadline))
	x.bodyMemory = x.handler.config.Memory.Reserve(memory.Body)
	content, err := x.readAll(http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength)
	if err == nil && !keepalive.MarkReceived(x.r.Context()) {
		err = body.ErrNoMemory
	}
	if err != nil {
		x.refuseBody(err)
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	x.body, x.bodyBytes, x.bodyConsumed = content, len(content), true
	return true
}

// refuseBody refuses a request whose body could not be read.
func (x *exchange) refuseBody(err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case keepalive.Yielded(x.r.Context()):
		x.refuseForMemory("the body arrives too slowly while others wait")
	case errors.Is(err, body.ErrNoMemory):
		x.refuseForMemory(err.Error())
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, Refusal{Reason: "body too large"})
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.refuse(http.StatusRequestTimeout, Refusal{Reason: "body did not end within the time limit"})
	default:
		x.refuse(http.StatusBadRequest, Refusal{Reason: "body incomplete: " + err.Error()})
	}
}

// refuseForMemory gives up what has been read of the body, and refuses the request.
func (x *exchange) refuseForMemory(reason string) {
	x.bodyMemory.Release()
	x.discardBody(body.FullTimeout, x.configuration.Index.Limits().MaxBodyBytes)
	x.refuse(http.StatusServiceUnavailable, Refusal{Reason: reason, RetryAfter: body.RetryAfter})
}

// drainBody discards the body of a request that is refused before its body was
// read. If the caller is still sending after unreadBodyTimeout, or the body is
// longer than maxUnreadBodyBytes, the connection is closed after the answer,
// because the next request on it can't be distinguished from the rest of the body.
func (x *exchange) drainBody() {
	if x.bodyConsumed || x.r.ContentLength == 0 {
		return
	}
	if !x.discardBody(unreadBodyTimeout, maxUnreadBodyBytes) {
		x.w.Header().Set("Connection", "close")
	}
}

// discardBody reads the rest of the body and discards it. It returns false if the body has not
// ended after a time, or is longer than maxBytes.
func (x *exchange) discardBody(timeout clock.Millis, maxBytes int64) bool {
	if !body.Discard(x.w, x.r, timeout, maxBytes) {
		return false
	}
	x.bodyConsumed = true
	return true
}

// readAll reads a body of the given length; a negative length means unknown.
func (x *exchange) readAll(from io.Reader, length int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	b := body.Buffer{Context: x.ctx, Memory: &x.bodyMemory, Wait: min(body.MemoryWait, x.timeLeft()/3)}
	if err := b.Read(from, length); err != nil {
		return nil, err
	}
	return b.Data, nil
}

// releaseBody releases a long body as soon as no further attempt can use it. answer is the answer
// to the last attempt.
func (x *exchange) releaseBody(answer *http1.Answer) {
	if len(x.body) <= memory.ShortBytes || !answer.BodyWritten() {
		return
	}
	x.digests() // They are computed from the body.
	x.body, x.bodyReleased = nil, true
	x.bodyMemory.Release()
}

// isLastAttempt reports whether no further attempt can follow one that ran the request.
func (x *exchange) isLastAttempt() bool {
	return !x.route.Repeatable() || x.hasUsedAttempts()
}

// hasUsedAttempts reports whether the request has been sent as often as its route allows.
func (x *exchange) hasUsedAttempts() bool {
	return x.attempts.sent >= max(x.route.MaxAttempts, 1)
}

// releaseMemory gives up what the request still holds.
func (x *exchange) releaseMemory() {
	x.bodyMemory.Release()
	x.answerMemory.Release()
}
