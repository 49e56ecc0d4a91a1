package relay

import (
	"errors"
	"io"
	"net/http"

	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

const streamBufferBytes = 8 << 10

// streamState is how far the stream to the caller has come.
type streamState struct {
	// started says that the head of the answer was written.
	started bool
	// lastID is the ID of the last whole event that the caller was sent.
	lastID string
}

// passStream passes the events of a stream on as they arrive.
func (x *exchange) passStream(placement Placement, answer *http1.Answer, head AnswerHead) result {
	s := x.handler.config.Scheduler
	if !head.Sealed {
		s.RecordEnd(placement, balance.Failed)
		x.attempts.last = "stream without the endpoint's proof"
		x.lost(x.attempts.last, placement, nil)
		return lost
	}
	p := &streamPass{exchange: x, placement: placement, answer: answer, events: newSplitter(x.stream.lastID)}
	err := p.run()
	x.stream.lastID = p.events.lastID
	switch {
	case x.r.Context().Err() != nil:
		s.RecordEnd(placement, balance.Canceled)
		x.trace.end(0, "caller left")
		return abandoned
	case err != nil:
		s.RecordEnd(placement, balance.Failed)
		x.attempts.last = "stream broke off: " + err.Error()
		x.lost("stream broke off", placement, err)
		return lost
	}
	s.RecordEnd(placement, balance.Succeeded)
	x.trace.end(http.StatusOK, "")
	return answered
}

// streamPass passes one answer of an endpoint on, which is the whole stream or
// a part of it.
type streamPass struct {
	exchange  *exchange
	placement Placement
	answer    *http1.Answer
	events    *splitter
	first     bool
}

// run reads to the end of the answer. The error is nil if the stream is
// complete.
func (p *streamPass) run() error {
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := p.answer.Read(buf)
		if n > 0 {
			if failure := p.take(buf[:n]); failure != nil {
				return failure
			}
		}
		if errors.Is(err, io.EOF) {
			return p.end()
		}
		if err != nil {
			return err
		}
	}
}

// take passes on the whole events among what was read.
func (p *streamPass) take(data []byte) error {
	ready, err := p.events.add(data)
	if err != nil {
		return err
	}
	if len(ready) == 0 {
		return nil
	}
	if !p.first {
		p.first = true
		p.begin()
	}
	return p.write(ready)
}

// begin notes the first event.
func (p *streamPass) begin() {
	x := p.exchange
	x.handler.config.Scheduler.RecordFirstToken(p.placement)
	x.countBegun(x.handler.config.Clock.Wall())
	x.trace.firstEvent(x)
}

// end passes on what follows the last whole event.
func (p *streamPass) end() error {
	rest := p.events.rest()
	if len(rest) == 0 && p.exchange.stream.started {
		return nil
	}
	return p.write(rest)
}

// write sends data to the caller without delay, the head before it.
func (p *streamPass) write(data []byte) error {
	x := p.exchange
	if !x.stream.started {
		x.stream.started = true
		copyHeader(x.w.Header(), p.answer.Header)
		x.w.WriteHeader(p.answer.Status)
	}
	x.trace.passed(x.handler.config.Clock.Now())
	if _, err := x.w.Write(data); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}
