package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/body"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

// maxBufferedBytes limits the answers that are buffered in full before they are
// forwarded, so that the request can be retried if the answer is cut off. Longer
// answers are forwarded while they are read.
const maxBufferedBytes = 1 << 20

// unreadAnswerTime is how long after the time limit of a request its caller may take to read an
// answer that has arrived.
const unreadAnswerTime = 5 * clock.Second

// errAnswerTooLarge means that an answer reaches maxBufferedBytes or that there is no memory for it.
var errAnswerTooLarge = errors.New("answer is too large to be buffered")

// forwardBuffered reads an answer in full and then writes it to the caller.
// Answers that are too large to buffer go to forwardLong.
func (x *exchange) forwardBuffered(placement Placement, answer *http1.Answer, head AnswerHead, sentWall clock.Millis) result {
	s := x.handler.config.Scheduler
	x.countStart(sentWall)
	body, err := x.readBuffered(answer)
	long := errors.Is(err, errAnswerTooLarge)
	if x.callerLeft() {
		s.RecordEnd(placement, balance.Canceled)
		x.trace.setResult(0, "caller left")
		return callerGone
	}
	if err != nil && !long {
		if x.isAbandoned() {
			return x.handleAbandoned(placement)
		}
		outcome, result := x.unansweredOutcome(placement, err)
		s.RecordEnd(placement, outcome)
		x.attempts.lastReason = err.Error()
		x.recordFailure("answer broke off", placement, err)
		x.recordLost(placement, err)
		return result
	}
	x.recordSound()
	buffered := &bufferedAnswer{status: answer.Status, header: answer.Header, body: body}
	switch {
	case answer.Status < http.StatusMultipleChoices && !head.Sealed:
		s.RecordEnd(placement, balance.Failed)
		x.attempts.lastReason = "answer without the endpoint's proof"
		x.recordFailure(x.attempts.lastReason, placement, nil)
		return noAnswer
	case !x.route.Repeatable() && promisesNotRun(answer.Status):
		s.RecordEnd(placement, balance.Failed)
		x.attempts.lastReason = "endpoint answered " + strconv.Itoa(answer.Status) + " without the statement that it did not run the request"
		x.recordFailure(x.attempts.lastReason, placement, nil)
		return noAnswer
	case answer.Status >= http.StatusInternalServerError && (!long || x.route.Repeatable()):
		s.RecordEnd(placement, balance.Failed)
		x.attempts.lastReason = "endpoint answered " + strconv.Itoa(answer.Status)
		x.recordFailure(x.attempts.lastReason, placement, nil)
		return x.handleServerError(buffered, long)
	}
	s.RecordFirstToken(placement)
	x.releaseBody(answer)
	if long {
		return x.forwardLong(placement, answer, body)
	}
	s.RecordEnd(placement, balance.Succeeded)
	x.writeAnswer(buffered)
	return answered
}

// promisesNotRun reports whether a status tells a caller that the request has not run and will
// not run. Status 421 never gets to a caller.
func promisesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// handleServerError forwards an endpoint's 5xx answer to the caller, unless the
// request may be retried. A long answer is not kept for the case that no retry succeeds.
func (x *exchange) handleServerError(buffered *bufferedAnswer, long bool) result {
	if !long {
		x.attempts.errorAnswer = buffered
	}
	if x.route.Repeatable() {
		return failed
	}
	x.writeAnswer(buffered)
	return answered
}

// readBuffered reads an answer shorter than maxBufferedBytes. If the answer is longer, or there
// is no memory for it, it returns errAnswerTooLarge with the bytes that it has read.
func (x *exchange) readBuffered(answer *http1.Answer) ([]byte, error) {
	if x.attempts.errorAnswer == nil {
		x.answerMemory.Release()
		x.answerMemory = x.handler.config.Memory.Reserve(memory.Answer)
	}
	b := body.Buffer{Context: x.ctx, Memory: &x.answerMemory}
	err := b.Read(io.LimitReader(answer, maxBufferedBytes), min(answer.Length, maxBufferedBytes))
	if errors.Is(err, body.ErrNoMemory) || err == nil && len(b.Data) == maxBufferedBytes {
		return b.Data, errAnswerTooLarge
	}
	return b.Data, err
}

// writeAnswer writes a buffered answer to the caller.
func (x *exchange) writeAnswer(buffered *bufferedAnswer) {
	copyHeader(x.w.Header(), buffered.header)
	if x.call.Method == http.MethodHead {
		x.w.Header()["Content-Length"] = buffered.header["Content-Length"]
	} else {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(buffered.body)))
	}
	x.trace.setResult(buffered.status, "")
	if len(buffered.body) > memory.ShortBytes {
		defer x.limitWriting()()
	}
	x.writeHead(buffered.status)
	_, err := x.w.Write(buffered.body)
	x.whole = err == nil
}

// limitWriting sets the time after which an answer is cut off whose caller does not read it, since
// it holds memory and a connection to the endpoint. The function that it returns ends that.
func (x *exchange) limitWriting() (end func()) {
	control := http.NewResponseController(x.w)
	_ = control.SetWriteDeadline(x.handler.config.Clock.Deadline(x.deadline + unreadAnswerTime))
	return func() { _ = control.SetWriteDeadline(time.Time{}) }
}

// forwardLong writes an answer to the caller while it is read. start holds the
// bytes that have been read already.
func (x *exchange) forwardLong(placement Placement, answer *http1.Answer, start []byte) result {
	s := x.handler.config.Scheduler
	copyHeader(x.w.Header(), answer.Header)
	if answer.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	defer x.limitWriting()()
	x.writeHead(answer.Status)
	_, err := x.w.Write(start)
	x.answerMemory.Release()
	if err == nil {
		_, err = io.Copy(x.w, answer)
	}
	if err != nil {
		s.RecordEnd(placement, balance.Failed)
		x.trace.setResult(0, "answer broke off: "+err.Error())
		return brokenOff
	}
	x.whole = true
	outcome := balance.Succeeded
	if answer.Status >= http.StatusInternalServerError {
		outcome = balance.Failed
	}
	s.RecordEnd(placement, outcome)
	x.trace.setResult(answer.Status, "")
	return answered
}

// writeHead writes the status and header of the answer. While the daemon shuts down, the header
// announces the end of the connection, so that the caller sends its next request to another one.
func (x *exchange) writeHead(status int) {
	if x.handler.shutdown.Load() != nil {
		x.w.Header().Set("Connection", "close")
	}
	x.w.WriteHeader(status)
}

// copyHeader copies the header fields of an answer, except Content-Length and
// the fields that concern only the connection to the endpoint.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	to.Del("Content-Length")
	for _, name := range http1.HopByHopHeaders {
		to.Del(name)
	}
	if from.Get("Content-Type") == "" {
		// A nil value keeps net/http from detecting a content type.
		to["Content-Type"] = nil
	}
}
