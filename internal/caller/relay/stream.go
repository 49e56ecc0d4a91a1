package relay

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/body"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

const streamBufferBytes = 8 << 10

// streamState is the state of the stream to the caller. It spans all attempts of
// a resumable stream.
type streamState struct {
	// headSent is true after the status and header of the answer were written.
	headSent bool
	// position is that of the caller. Where the caller takes the stream up, it starts at the
	// caller's last event.
	position streamPosition
	// software is the version of the software that wrote the first event. Events of
	// different versions do not fit together.
	software balance.SoftwareLimit
	// start is where the stream began, unless the caller took it up, and startAt the placement
	// there. startProved is set once the software version is certain.
	start       StreamStart
	startAt     Placement
	startProved bool
	// openUntil is when the connection on which it began was last found open, and checkAt when
	// to look next.
	openUntil, checkAt clock.Millis
	// ending is how the last answer shows its end.
	ending http1.Ending
}

// forwardStream forwards the events of a stream as they arrive.
func (x *exchange) forwardStream(placement Placement, answer *http1.Answer, head AnswerHead) result {
	s := x.handler.config.Scheduler
	if !head.Sealed {
		s.RecordEnd(placement, balance.Failed)
		x.attempts.lastReason = "stream without the endpoint's proof"
		x.recordFailure(x.attempts.lastReason, placement, nil)
		return noAnswer
	}
	p := &streamForwarder{exchange: x, placement: placement, answer: answer, memory: x.handler.config.Memory.Reserve(memory.Event)}
	defer p.memory.Release()
	p.events = newEventSplitter(x.stream.position, p.reserve)
	x.stream.ending = answer.Ending
	defer x.limitWriting()()
	err := p.run()
	x.stream.position = p.events.position
	switch {
	case x.callerLeft():
		s.RecordEnd(placement, balance.Canceled)
		x.trace.setResult(0, "caller left")
		return callerGone
	case err != nil && x.isAbandoned():
		return x.handleAbandoned(placement)
	case err != nil:
		outcome, result := x.unansweredOutcome(placement, err)
		s.RecordEnd(placement, outcome)
		x.attempts.lastReason = "stream broke off: " + err.Error()
		x.recordFailure("stream broke off", placement, err)
		if !p.isProved() && !errors.Is(err, errWrongEvents) {
			x.recordLost(placement, err)
		}
		return result
	}
	s.RecordEnd(placement, balance.Succeeded)
	x.recordSound()
	x.trace.setResult(http.StatusOK, "")
	x.whole = true
	return answered
}

// streamForwarder forwards one endpoint's answer, which is the whole stream or,
// if the stream is resumed or cut off, a part of it.
type streamForwarder struct {
	exchange  *exchange
	placement Placement
	answer    *http1.Answer
	events    *eventSplitter
	// memory is what events takes.
	memory         memory.Reservation
	firstEventSeen bool
	// firstEventAt is when the first event arrived.
	firstEventAt clock.Millis
	// soundRecorded is set after the request was recorded as sound.
	soundRecorded bool
}

// run forwards the answer until it ends. It returns nil if the stream is
// complete.
func (p *streamForwarder) run() error {
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := p.answer.Read(buf)
		if n > 0 {
			if forwardErr := p.forwardEvents(buf[:n]); forwardErr != nil {
				return forwardErr
			}
		}
		if errors.Is(err, io.EOF) {
			return p.writeRemainder()
		}
		if err != nil {
			return err
		}
	}
}

// reserve reserves memory for events that are not complete, or gives it back if the number is negative.
func (p *streamForwarder) reserve(bytes int) bool {
	if bytes < 0 {
		p.memory.Shrink(-bytes)
		return true
	}
	return p.memory.Grow(p.exchange.ctx, bytes, body.MemoryWait)
}

// forwardEvents writes the events that data completes to the caller. It returns an error if
// bytes follow them that do not belong to the stream.
func (p *streamForwarder) forwardEvents(data []byte) error {
	ready, err := p.events.add(data)
	if len(ready) == 0 {
		return err
	}
	if !p.firstEventSeen {
		p.firstEventSeen = true
		p.firstEventAt = p.exchange.handler.config.Clock.Now()
		p.recordFirstEvent()
	}
	if p.exchange.isLastAttempt() {
		p.exchange.releaseBody(p.answer)
	}
	if !p.soundRecorded && p.isProved() {
		p.soundRecorded = true
		p.exchange.recordSound()
	}
	p.checkStart()
	return errors.Join(p.write(ready), err)
}

// startCheckInterval is the time between two checks of the start of a stream.
const startCheckInterval = 200 * clock.Millisecond

// checkStart checks whether the software version of the start of this stream has become certain.
func (p *streamForwarder) checkStart() {
	x := p.exchange
	now := x.handler.config.Clock.Now()
	if x.stream.startProved || x.stream.startAt.Job != p.placement.Job || now < x.stream.checkAt {
		return
	}
	x.stream.checkAt = now + startCheckInterval
	if p.answer.IsOpen() {
		x.stream.openUntil = now
	}
	x.stream.startProved = x.handler.config.Streams.Check(x.stream.start, x.stream.openUntil) == StartProved
}

// isProved reports whether the endpoint has lived for proofTime after the first event.
func (p *streamForwarder) isProved() bool {
	return p.firstEventSeen && p.exchange.handler.config.Clock.Now()-p.firstEventAt >= proofTime
}

// recordFirstEvent reports the first event of this answer to the scheduler, to
// billing and to the trace.
func (p *streamForwarder) recordFirstEvent() {
	x := p.exchange
	if !x.stream.software.Limited {
		x.recordStart(p.placement)
	}
	x.handler.config.Scheduler.RecordFirstToken(p.placement)
	x.countStart(x.handler.config.Clock.Wall())
	x.trace.recordFirstEvent(x)
}

// writeRemainder writes the comments after the last complete event. If the stream has no
// events, it writes the status and header. It returns an error if the stream has broken off,
// which the end of its connection does not show.
func (p *streamForwarder) writeRemainder() error {
	if err := p.events.checkEnd(p.answer.Ending.IsExplicit()); err != nil {
		return err
	}
	if !p.events.searching && !p.firstEventSeen && p.answer.Length != 0 {
		return errNoEvent
	}
	rest := p.events.remainder()
	if len(rest) == 0 && p.exchange.stream.headSent {
		return nil
	}
	return p.write(rest)
}

// isStream reports whether an answer is a stream of events, or a part of one, as far as its head
// says. An encoded body cannot be split into events.
func (x *exchange) isStream(answer *http1.Answer) bool {
	return x.route.Kind == document.Streaming && answer.Status == http.StatusOK &&
		answer.Header.Get("Content-Encoding") == "" && hasEventType(answer.Header)
}

// hasEventType reports whether an answer consists of events, as far as it says.
func hasEventType(header http.Header) bool {
	contentType := header.Get("Content-Type")
	mediaType, _, _ := strings.Cut(contentType, ";")
	return contentType == "" || strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// mayTryAgain reports whether the request may be sent to another endpoint though one may have
// run it. A stream of which the caller has events can only go on after one with a number.
func (x *exchange) mayTryAgain() bool {
	position := x.stream.position
	return x.route.Repeatable() && (position == streamPosition{} || position.isNumbered())
}

// write writes data to the caller and flushes it. The first call writes the
// status and header as well.
func (p *streamForwarder) write(data []byte) error {
	x := p.exchange
	if !x.stream.headSent {
		x.stream.headSent = true
		copyHeader(x.w.Header(), p.answer.Header)
		x.writeHead(p.answer.Status)
	}
	x.trace.recordWrite(x.handler.config.Clock.Now())
	if _, err := x.w.Write(data); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}
