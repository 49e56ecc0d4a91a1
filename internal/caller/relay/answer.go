package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

// maxHeldBytes bounds an answer that is read whole before it is passed on, so
// that one that breaks off can be replaced. Longer ones are passed on while
// they are read.
const maxHeldBytes = 1 << 20

// errTooLarge says that an answer is longer than maxHeldBytes.
var errTooLarge = errors.New("answer is too long to be held")

// passWhole reads an answer to its end and passes it on.
func (x *exchange) passWhole(placement Placement, answer *http1.Answer, head AnswerHead, sentWall clock.Millis) result {
	s := x.handler.config.Scheduler
	x.countBegun(sentWall)
	body, err := readHeld(answer)
	if errors.Is(err, errTooLarge) {
		return x.passLong(placement, answer, body)
	}
	if x.r.Context().Err() != nil {
		s.RecordEnd(placement, balance.Canceled)
		x.trace.end(0, "caller left")
		return abandoned
	}
	if err != nil {
		s.RecordEnd(placement, balance.Failed)
		x.attempts.last = err.Error()
		x.lost("answer broke off", placement, err)
		return lost
	}
	held := &heldAnswer{status: answer.Status, header: answer.Header, body: body}
	switch {
	case answer.Status >= http.StatusInternalServerError:
		s.RecordEnd(placement, balance.Failed)
		x.attempts.answer = held
		x.attempts.last = "endpoint answered " + strconv.Itoa(answer.Status)
		x.lost(x.attempts.last, placement, nil)
		return x.afterError(held)
	case answer.Status < http.StatusMultipleChoices && !head.Sealed:
		s.RecordEnd(placement, balance.Failed)
		x.attempts.last = "answer without the endpoint's proof"
		x.lost(x.attempts.last, placement, nil)
		return lost
	}
	s.RecordFirstToken(placement)
	s.RecordEnd(placement, balance.Succeeded)
	x.pass(held)
	return answered
}

// afterError passes an endpoint's error on at once unless it may be repeated.
func (x *exchange) afterError(held *heldAnswer) result {
	if x.route.Repeatable() && !x.stream.started {
		return failed
	}
	if x.stream.started {
		return lost
	}
	x.pass(held)
	return answered
}

// readHeld reads an answer of up to maxHeldBytes. With errTooLarge it returns
// what was read so far.
func readHeld(answer *http1.Answer) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer, maxHeldBytes))
	if err == nil && len(body) == maxHeldBytes {
		return body, errTooLarge
	}
	return body, err
}

// pass writes a whole answer.
func (x *exchange) pass(held *heldAnswer) {
	copyHeader(x.w.Header(), held.header)
	if x.call.Method == http.MethodHead {
		x.w.Header()["Content-Length"] = held.header["Content-Length"]
	} else {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(held.body)))
	}
	x.trace.end(held.status, "")
	x.w.WriteHeader(held.status)
	_, _ = x.w.Write(held.body)
}

// passLong passes an answer on while it is read.
func (x *exchange) passLong(placement Placement, answer *http1.Answer, begin []byte) result {
	s := x.handler.config.Scheduler
	copyHeader(x.w.Header(), answer.Header)
	if answer.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	x.w.WriteHeader(answer.Status)
	_, err := x.w.Write(begin)
	if err == nil {
		_, err = io.Copy(x.w, answer)
	}
	s.RecordFirstToken(placement)
	if err != nil {
		s.RecordEnd(placement, balance.Failed)
		x.breakOff("answer broke off: " + err.Error())
		return answered
	}
	s.RecordEnd(placement, balance.Succeeded)
	x.trace.end(answer.Status, "")
	return answered
}

// copyHeader copies the fields of an answer that are for the caller.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	to.Del("Content-Length")
	for _, name := range http1.HopByHopHeaders {
		if name == "Connection" && to.Get(name) == "close" && from.Get(name) == "" {
			continue
		}
		to.Del(name)
	}
	if from.Get("Content-Type") == "" {
		// A present nil keeps the server from guessing a type.
		to["Content-Type"] = nil
	}
}

// breakOff ends an answer that has begun and cannot be completed, so that the
// caller sees that it is incomplete.
func (x *exchange) breakOff(reason string) {
	x.trace.end(0, reason)
	x.finish()
	panic(http.ErrAbortHandler)
}
