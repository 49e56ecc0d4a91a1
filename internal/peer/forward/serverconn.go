package forward

import (
	"context"
	"errors"
	"io"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
	"github.com/banyanshift/banyanshift/internal/peer/frame"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// serverConn serves one connection of a Client, one request at a time.
type serverConn struct {
	server *Server
	conn   *framedConn
	// frames receives the messages of the Client. It is closed when the connection ends.
	frames chan frame.Frame
	ctx    context.Context
	cancel context.CancelFunc
	// memory is what the body of the request takes that is being forwarded, bodyBytes in all.
	memory    memory.Reservation
	bodyBytes int
}

func (c *serverConn) run() {
	s := c.server
	defer s.goroutines.Done()
	defer s.remove(c)
	defer func() { _ = c.conn.net.Close() }()
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	defer c.cancel()
	s.goroutines.Add(1)
	go c.loop()
	for {
		err := c.serveOne()
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			eventForwardFailed.Log(s.config.Logger, logrus.Fields{"Address": c.conn.net.RemoteAddr().String(), "Error": err.Error()})
		}
		return
	}
}

// loop reads messages, also while a request is being forwarded, so that the request is
// ended when the Client closes the connection.
func (c *serverConn) loop() {
	defer c.server.goroutines.Done()
	defer close(c.frames)
	defer c.cancel()
	for {
		f, err := c.conn.read()
		if err != nil {
			return
		}
		select {
		case c.frames <- f:
		case <-c.ctx.Done():
			return
		}
	}
}

// next returns the next message.
func (c *serverConn) next(timeout clock.Millis) (frame.Frame, error) {
	ctx, cancel := context.WithTimeout(c.ctx, timeout.Duration())
	defer cancel()
	select {
	case f, open := <-c.frames:
		if !open {
			return frame.Frame{}, io.EOF
		}
		return f, nil
	case <-ctx.Done():
		return frame.Frame{}, io.EOF
	}
}

// serveOne serves one open and the request that may follow. An error ends the connection.
func (c *serverConn) serveOne() error {
	f, err := c.next(connectionIdleTime)
	if err != nil {
		return err
	}
	asked, err := decode[open](f, message.ForwardOpen)
	if err != nil {
		return err
	}
	if refusal := c.server.begin(); refusal != nil {
		return c.refuse(refusal)
	}
	defer c.server.end()
	if refusal := c.reserve(asked.Target.BodyBytes); refusal != nil {
		return c.refuse(refusal)
	}
	defer c.memory.Release()
	endpoint, err := c.server.config.Connect(c.ctx, asked.Target)
	if err != nil {
		return c.refuse(asRefusal(err))
	}
	if err := c.send(message.ForwardOpened, opened{}); err != nil {
		endpoint.Release()
		return err
	}
	return c.serveRequest(asked.Target, endpoint)
}

// reserve reserves memory for the body of a request, before anything of it is read.
func (c *serverConn) reserve(bodyBytes int) *Refusal {
	c.memory, c.bodyBytes = c.server.config.Memory.Reserve(memory.Body), 0
	if !c.reserveBody(bodyBytes) {
		return &Refusal{Code: Unavailable, Reason: errNoMemory.Error()}
	}
	return nil
}

// errNoMemory means that a request does not fit into the memory that is left.
var errNoMemory = errors.New("no memory left for the request")

// reserveBody reserves memory for a body of a length, as far as it is not reserved yet.
func (c *serverConn) reserveBody(length int) bool {
	if length < 0 || length > maxRequestBytes {
		return false
	}
	if length <= c.bodyBytes {
		return true
	}
	if !c.memory.Grow(c.ctx, length-c.bodyBytes, memoryWait) {
		return false
	}
	c.bodyBytes = length
	return true
}

// asRefusal returns the refusal that tells of an error.
func asRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{Code: Unreachable, Reason: err.Error()}
}

func (c *serverConn) refuse(refusal *Refusal) error {
	forwarded.Add("Refused."+string(refusal.Code), 1)
	return c.send(message.ForwardOpened, opened{Code: refusal.Code, Reason: refusal.Reason})
}

// send writes a message at once.
func (c *serverConn) send(t message.Type, body any) error {
	if err := c.conn.net.SetWriteDeadline(c.server.config.Clock.Deadline(c.server.config.Clock.Now() + writeTimeout)); err != nil {
		return err
	}
	if err := c.conn.write(t, body); err != nil {
		return err
	}
	return c.conn.writer.Flush()
}

const (
	// requestTimeout is how long a Server waits for the request after it has agreed to
	// forward one, and for each part of its body.
	requestTimeout = 2 * clock.Second
	// writeTimeout bounds writing one message to a Client that does not read.
	writeTimeout = 10 * clock.Second
)

// serveRequest reads a request, sends it to the endpoint and passes on the answer. Questions may
// come before it.
func (c *serverConn) serveRequest(target Target, endpoint *http1.Conn) error {
	request, isQuestion, err := c.readRequest()
	for ; err == nil && isQuestion; request, isQuestion, err = c.readRequest() {
		if isOpen, err := c.serveQuestion(endpoint, request); err != nil || !isOpen {
			return err
		}
	}
	if err != nil {
		endpoint.Release()
		return err
	}
	answer, err := endpoint.Do(c.ctx, request)
	if err != nil {
		forwarded.Add("NoAnswer", 1)
		return c.send(message.ForwardEnd, end{Error: err.Error()})
	}
	defer answer.Close()
	if answer.BodyWritten() {
		c.memory.Release()
	}
	c.server.config.RecordAnswer(target, answer.Status, answer.Header)
	return c.passAnswer(answer)
}

// serveQuestion asks the endpoint and passes on its answer. isOpen is set if a request may follow.
func (c *serverConn) serveQuestion(endpoint *http1.Conn, question http1.Request) (isOpen bool, err error) {
	reply, err := endpoint.Ask(c.ctx, question)
	if reply.Status == 0 {
		return false, c.send(message.ForwardEnd, end{Error: err.Error()})
	}
	ended := end{}
	if err != nil {
		ended.Error = err.Error()
	}
	if err := c.send(message.ForwardAnswer, answerHead{Status: reply.Status, Header: reply.Header, Length: int64(len(reply.Body)), Explicit: true, Open: reply.Open}); err != nil {
		return false, err
	}
	if err := c.sendBody(reply.Body); err != nil {
		return false, err
	}
	return reply.Open, c.send(message.ForwardEnd, ended)
}

// readRequest reads a request or question with its body, for which it reserves memory if
// the Client did not tell its length.
func (c *serverConn) readRequest() (request http1.Request, isQuestion bool, err error) {
	f, err := c.next(requestTimeout)
	if err != nil {
		return request, false, err
	}
	head, err := decode[requestHead](f, message.ForwardRequest)
	if err != nil {
		return request, false, err
	}
	if !c.reserveBody(head.BodyBytes) {
		return request, false, errNoMemory
	}
	body, err := c.readBody(head.BodyBytes)
	if err != nil {
		return request, false, err
	}
	request = http1.Request{ID: head.ID, Method: head.Method, Head: head.Head, Body: body, Deadline: c.server.config.Clock.Now() + head.TimeLeft}
	return request, head.Question, nil
}

func (c *serverConn) readBody(length int) ([]byte, error) {
	body := make([]byte, 0, length)
	for len(body) < length {
		f, err := c.next(requestTimeout)
		if err != nil {
			return nil, err
		}
		if f.Type != message.ForwardBody || len(body)+len(f.Body) > length {
			return nil, errProtocol
		}
		body = append(body, f.Body...)
	}
	return body, nil
}

// passAnswer passes on an answer as it arrives.
func (c *serverConn) passAnswer(answer *http1.Answer) error {
	if err := c.send(message.ForwardAnswer, answerHead{Status: answer.Status, Header: answer.Header, Length: answer.Length, Explicit: answer.Ending.IsExplicit()}); err != nil {
		return err
	}
	buf := make([]byte, maxChunkBytes)
	for {
		n, err := answer.Read(buf)
		if n > 0 {
			if writeErr := c.sendBody(buf[:n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			forwarded.Add("Complete", 1)
			return c.send(message.ForwardEnd, end{})
		}
		if err != nil {
			forwarded.Add("BrokeOff", 1)
			return c.send(message.ForwardEnd, end{Error: err.Error()})
		}
	}
}

// sendBody writes a part of a body at once.
func (c *serverConn) sendBody(data []byte) error {
	if err := c.conn.net.SetWriteDeadline(c.server.config.Clock.Deadline(c.server.config.Clock.Now() + writeTimeout)); err != nil {
		return err
	}
	if err := c.conn.writeBody(data); err != nil {
		return err
	}
	return c.conn.writer.Flush()
}
