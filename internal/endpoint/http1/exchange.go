package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// inlineBodyBytes is the greatest body that is written before the answer is
// read. Longer ones are written beside, since an endpoint may answer before it
// has read them.
const inlineBodyBytes = 8 << 10

// maxStrayAnswers is how many answers to earlier requests are passed over
// before the connection is given up.
const maxStrayAnswers = 2

// maxStrayBytes bounds the body of an answer that is passed over.
const maxStrayBytes = 4 << 20

// HopByHopHeaders are the header fields that concern one connection only. They
// are not passed on, in either direction.
var HopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Request is one request to an endpoint.
type Request struct {
	// ID is the request's ID, for Config.Belongs.
	ID     string
	Method string
	// Head is the request line and all header fields, each ended by CRLF,
	// without the empty line at the end.
	Head []byte
	Body []byte
	// Deadline is the instant after which the answer is no longer awaited.
	Deadline clock.Millis
}

// RequestError is an error of Do, or of reading an answer.
type RequestError struct {
	// Sent says that bytes of the request may have reached the endpoint.
	Sent bool
	// DialFailed says that the endpoint could not be connected to.
	DialFailed bool
	Cause      error
}

// Error implements error.
func (f *RequestError) Error() string {
	if f.Sent {
		return fmt.Sprintf("no whole answer from the endpoint: %v", f.Cause)
	}
	return fmt.Sprintf("request not sent to the endpoint: %v", f.Cause)
}

// Unwrap returns the cause.
func (f *RequestError) Unwrap() error {
	return f.Cause
}

// Answer is the head of an answer and its body, which must be read to its end
// or closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 where it is not known ahead.
	Length int64

	pool *Pool
	conn *conn
	body io.ReadCloser
	// framed answers say where they end; others end with their connection.
	framed   bool
	reusable bool
	sending  *sending
	stop     func() bool
	once     sync.Once
	ended    bool
}

// Do sends a request to the endpoint that key identifies at address and reads
// the head of its answer. The exchange is broken off when ctx ends.
func (p *Pool) Do(ctx context.Context, key, address string, request Request) (answer *Answer, err error) {
	c := p.take(key)
	if c == nil {
		c, err = p.dial(ctx, key, address)
		if err != nil {
			return nil, &RequestError{DialFailed: true, Cause: err}
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.net.Close() })
	answer, err = p.exchange(c, request)
	if err != nil {
		stop()
		_ = c.net.Close()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, &RequestError{Sent: true, Cause: err}
	}
	answer.stop = stop
	return answer, nil
}

// exchange writes the request and reads the head of its answer.
func (p *Pool) exchange(c *conn, request Request) (*Answer, error) {
	if err := c.net.SetDeadline(p.config.Clock.Deadline(request.Deadline)); err != nil {
		return nil, err
	}
	body, err := send(c, request)
	if err != nil {
		return nil, err
	}
	for range maxStrayAnswers + 1 {
		answer, err := readHead(c, request.Method)
		if err != nil {
			return nil, err
		}
		if p.config.MatchesRequest(answer.Status, answer.Header, request.ID) {
			answer.pool, answer.conn, answer.sending = p, c, body
			return answer, nil
		}
		if err := answer.passOver(); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("the endpoint answers other requests")
}

// passOver reads an answer that belongs to an earlier request.
func (a *Answer) passOver() error {
	if !a.framed {
		return errors.New("stray answer without a length")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(a.body, maxStrayBytes))
	if err == nil && n == maxStrayBytes {
		return errors.New("stray answer is too long")
	}
	return err
}

// readHead reads the head of the next final answer.
func readHead(c *conn, method string) (*Answer, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			_ = response.Body.Close()
			return nil, errors.New("the endpoint switches protocols")
		}
		if response.StatusCode < http.StatusOK {
			_ = response.Body.Close()
			continue
		}
		framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
		return &Answer{
			Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
			body: response.Body, framed: framed, reusable: framed && !response.Close,
		}, nil
	}
}

// sending is the body of a request on its way.
type sending struct {
	conn *conn
	body []byte
	done chan struct{}
	err  error
}

// send writes the request. A long body is written beside; the result is nil
// when everything has been written.
func send(c *conn, request Request) (*sending, error) {
	head := make([]byte, 0, len(request.Head)+64+min(len(request.Body), inlineBodyBytes))
	head = append(head, request.Head...)
	if len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead && request.Method != http.MethodDelete) {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(request.Body)), 10)
		head = append(head, "\r\n"...)
	}
	head = append(head, "\r\n"...)
	if len(request.Body) <= inlineBodyBytes {
		_, err := c.net.Write(append(head, request.Body...))
		return nil, err
	}
	if _, err := c.net.Write(head); err != nil {
		return nil, err
	}
	s := &sending{conn: c, body: request.Body, done: make(chan struct{})}
	go s.run()
	return s, nil
}

func (s *sending) run() {
	defer close(s.done)
	_, s.err = s.conn.net.Write(s.body)
}

// complete reports whether the whole body has been written.
func (s *sending) complete() bool {
	if s == nil {
		return true
	}
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// Read reads the body. The error is io.EOF at its end and a *Failure when it
// breaks off.
func (a *Answer) Read(buf []byte) (n int, err error) {
	n, err = a.body.Read(buf)
	switch {
	case errors.Is(err, io.EOF):
		a.ended = true
		return n, err
	case err != nil:
		return n, &RequestError{Sent: true, Cause: err}
	}
	return n, nil
}

// Close ends the exchange. The connection is kept if the answer was read to its
// end and the endpoint allows it; otherwise it is closed, which makes the
// endpoint stop.
func (a *Answer) Close() {
	a.once.Do(a.close)
}

func (a *Answer) close() {
	alive := a.stop()
	if !alive || !a.ended || !a.reusable || !a.sending.complete() {
		_ = a.conn.net.Close()
		return
	}
	a.pool.put(a.conn, keepAlive(a.Header))
}

// keepAlive returns how long the endpoint keeps an idle connection.
func keepAlive(header http.Header) clock.Millis {
	value := header.Get("Keep-Alive")
	if value == "" {
		return defaultIdle
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
	return defaultIdle
}
