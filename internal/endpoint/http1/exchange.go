package http1

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/endpoint/tcp"
)

// maxInlineBodyBytes is the size of the largest request body that is written
// before the answer is read. A longer body is written by its own goroutine,
// since an endpoint may answer before it has read the body.
const maxInlineBodyBytes = 8 << 10

// HopByHopHeaders are the header fields that apply to a single connection. They
// are not forwarded in either direction.
var HopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Request is one request to an endpoint.
type Request struct {
	// ID is the one that the endpoint repeats in its answer.
	ID     string
	Method string
	// Head holds the request line and all header fields, each terminated by
	// CRLF, without the final empty line. Do adds Content-Length where needed.
	Head []byte
	Body []byte
	// Deadline is the time after which writing the request and reading the
	// answer fail.
	Deadline clock.Millis
}

// RequestError is returned by Do and by reading an answer.
type RequestError struct {
	// Sent reports whether bytes of the request may have reached the endpoint.
	Sent bool
	// DialFailed reports whether opening a connection to the endpoint failed.
	DialFailed bool
	Cause      error
}

// Error implements error.
func (e *RequestError) Error() string {
	if e.Sent {
		return fmt.Sprintf("no whole answer from the endpoint: %v", e.Cause)
	}
	return fmt.Sprintf("request not sent to the endpoint: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error {
	return e.Cause
}

// Answer is the response of an endpoint. Read reads its body. It must be closed
// to release its connection.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it is not known in advance.
	Length int64
	// Ending is how the answer shows where it ends.
	Ending Ending

	// conn is nil for an answer of NewAnswer.
	conn       *Conn
	body       io.ReadCloser
	reusable   bool
	bodyWrite  *bodyWrite
	stopCancel func() bool
	// checkEnd is nil if the answer shows its end by itself.
	checkEnd   func() error
	once       sync.Once
	reachedEOF bool
}

// NewAnswer returns an answer that did not arrive on a connection of a pool. length is
// -1 if it is not known in advance. Read and Close pass on to the body.
func NewAnswer(status int, header http.Header, length int64, ending Ending, body io.ReadCloser) *Answer {
	return &Answer{Status: status, Header: header, Length: length, Ending: ending, body: body}
}

// IsOpen reports whether the endpoint keeps the connection of the answer open. It is false if that
// is not known.
func (a *Answer) IsOpen() bool {
	return a.conn != nil && tcp.IsEstablished(a.conn.netConn)
}

// Do sends a request to the endpoint with the given key and address and reads
// the status and header of its answer. It uses an idle connection of that key
// if there is one. The connection is closed when ctx is canceled, also while
// the body is being read.
func (p *Pool) Do(ctx context.Context, key, address string, request Request) (answer *Answer, err error) {
	c := p.Take(key)
	if c == nil {
		c, err = p.Dial(ctx, key, address)
		if err != nil {
			return nil, &RequestError{DialFailed: true, Cause: err}
		}
	}
	return c.Do(ctx, request)
}

// Do sends a request and reads the status and header of its answer. The connection is
// closed when ctx is canceled, also while the body is being read.
func (c *Conn) Do(ctx context.Context, request Request) (answer *Answer, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.strict.Close() })
	answer, err = c.exchange(request)
	if err != nil {
		stop()
		_ = c.strict.Close()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, &RequestError{Sent: true, Cause: err}
	}
	answer.stopCancel = stop
	if answer.Ending == EndsWithConnection {
		answer.checkEnd = func() error { return c.checkEnd(ctx, answer.bodyWrite, request.Deadline) }
	}
	return answer, nil
}

// exchange writes the request and reads the status and header of its answer.
func (c *Conn) exchange(request Request) (*Answer, error) {
	if err := c.netConn.SetDeadline(c.pool.config.Clock.Deadline(request.Deadline)); err != nil {
		return nil, err
	}
	write, err := writeRequest(c, request)
	if err != nil {
		return nil, err
	}
	answer, err := c.readAnswer(request)
	if err != nil {
		return nil, err
	}
	answer.conn, answer.bodyWrite = c, write
	return answer, nil
}

// bodyWrite writes a long request body while the answer is read.
type bodyWrite struct {
	conn *Conn
	body []byte
	done chan struct{}
	err  error
}

// writeRequest writes the request. It starts a bodyWrite for a body longer than
// maxInlineBodyBytes and otherwise returns nil.
func writeRequest(c *Conn, request Request) (*bodyWrite, error) {
	head := make([]byte, 0, len(request.Head)+64+min(len(request.Body), maxInlineBodyBytes))
	head = append(head, request.Head...)
	if len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead && request.Method != http.MethodDelete) {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(request.Body)), 10)
		head = append(head, "\r\n"...)
	}
	head = append(head, "\r\n"...)
	if len(request.Body) <= maxInlineBodyBytes {
		_, err := c.netConn.Write(append(head, request.Body...))
		return nil, err
	}
	if _, err := c.netConn.Write(head); err != nil {
		return nil, err
	}
	w := &bodyWrite{conn: c, body: request.Body, done: make(chan struct{})}
	go w.run()
	return w, nil
}

func (w *bodyWrite) run() {
	defer close(w.done)
	_, w.err = w.conn.netConn.Write(w.body)
	w.body = nil
}

// succeeded reports whether the whole body has been written.
func (w *bodyWrite) succeeded() bool {
	if w == nil {
		return true
	}
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// BodyWritten reports whether the body of the request is no longer used: it was written, or
// writing it failed.
func (a *Answer) BodyWritten() bool {
	if a.bodyWrite == nil {
		return true
	}
	select {
	case <-a.bodyWrite.done:
		return true
	default:
		return false
	}
}

// Read reads the body. It returns io.EOF at the end of the body, and a
// *RequestError if reading fails before that.
func (a *Answer) Read(buf []byte) (n int, err error) {
	n, err = a.body.Read(buf)
	if errors.Is(err, io.EOF) && !a.reachedEOF && a.checkEnd != nil {
		err = cmp.Or(a.checkEnd(), err)
	}
	switch {
	case errors.Is(err, io.EOF):
		a.reachedEOF = true
		return n, err
	case err != nil:
		return n, &RequestError{Sent: true, Cause: err}
	}
	return n, nil
}

// Close releases the connection. It returns the connection to the pool if the
// request was written and the answer read completely and the endpoint allows
// reuse. Otherwise it closes the connection, which makes the endpoint stop
// working on the request.
func (a *Answer) Close() {
	a.once.Do(a.close)
}

func (a *Answer) close() {
	if a.conn == nil {
		_ = a.body.Close()
		return
	}
	alive := a.stopCancel()
	if !alive || !a.reachedEOF || !a.reusable || !a.bodyWrite.succeeded() {
		_ = a.conn.strict.Close()
		return
	}
	a.conn.pool.putIdle(a.conn, idleTimeout(a.Header))
}

// idleTimeout returns how long the endpoint keeps an idle connection open,
// from the Keep-Alive header.
func idleTimeout(header http.Header) clock.Millis {
	value := header.Get("Keep-Alive")
	if value == "" {
		return defaultIdleTime
	}
	for _, part := range strings.Split(value, ",") {
		name, seconds, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(seconds)
		if err != nil {
			return 0
		}
		return clock.Millis(n) * clock.Second
	}
	return defaultIdleTime
}
