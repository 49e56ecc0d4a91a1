package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
	"github.com/banyanshift/banyanshift/internal/endpoint/tcp"
	"github.com/banyanshift/banyanshift/internal/peer/frame"
	"github.com/banyanshift/banyanshift/internal/peer/message"
	"github.com/banyanshift/banyanshift/internal/wire/response"
)

const (
	// maxIdleTime is how long a Client keeps an idle connection.
	maxIdleTime = 20 * clock.Second
	// maxIdlePerPeer bounds the idle connections to one peer.
	maxIdlePerPeer = 8
	// copiesOfHead is how many times the bytes of a head are held, and freeHeadBytes what a head may
	// take as a part of any connection.
	copiesOfHead  = 3
	freeHeadBytes = 8 << 10
)

// Client sends requests through peers. It is safe for concurrent use.
type Client struct {
	clock clock.Clock
	// port is the port at which all Servers listen.
	port string
	// memory bounds the heads of answers.
	memory *memory.Budget

	mu   sync.Mutex
	idle map[string][]idleConn
}

// idleConn is a connection that waits for its next request.
type idleConn struct {
	conn  *framedConn
	until clock.Millis
}

// NewClient returns a Client for Servers that listen on a port. Long heads of answers are counted in a
// budget.
func NewClient(clk clock.Clock, port string, budget *memory.Budget) *Client {
	return &Client{clock: clk, port: port, memory: budget, idle: make(map[string][]idleConn)}
}

// Conn is a connection to a peer that is ready to forward one request to an endpoint.
type Conn struct {
	client *Client
	peer   string
	framed *framedConn
	// memory is what the head of the answer takes.
	memory memory.Reservation
}

// Open asks the peer at an address of its link whether it reaches an endpoint. ctx bounds
// the wait. The error is a *Refusal if the peer answers that it does not.
func (c *Client) Open(ctx context.Context, peer string, target Target) (conn *Conn, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("peer %s: %w", peer, err)
		}
	}()
	used, answer, err := c.askPeer(ctx, peer, target)
	if err != nil {
		return nil, err
	}
	if answer.Code != "" {
		c.keep(peer, used)
		return nil, &Refusal{Code: answer.Code, Reason: answer.Reason}
	}
	return &Conn{client: c, peer: peer, framed: used, memory: c.memory.Reserve(memory.Answer)}, nil
}

// askPeer sends open to a peer and reads the answer. It uses an idle connection, or a new one
// if the peer has closed that.
func (c *Client) askPeer(ctx context.Context, peer string, target Target) (used *framedConn, answer opened, err error) {
	if used = c.takeIdle(peer); used != nil {
		if answer, err = ask(ctx, used, target); err == nil {
			return used, answer, nil
		}
		_ = used.net.Close()
		if ctx.Err() != nil {
			return nil, answer, err
		}
	}
	if used, err = c.dial(ctx, peer); err != nil {
		return nil, answer, err
	}
	if answer, err = ask(ctx, used, target); err != nil {
		_ = used.net.Close()
		return nil, answer, err
	}
	return used, answer, nil
}

// ask sends open and reads the answer to it.
func ask(ctx context.Context, c *framedConn, target Target) (answer opened, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.net.Close() })
	defer func() {
		if !stop() && err == nil {
			err = ctx.Err()
		}
	}()
	if err := c.write(message.ForwardOpen, open{Target: target}); err != nil {
		return answer, err
	}
	if err := c.writer.Flush(); err != nil {
		return answer, err
	}
	return readAs[opened](c, message.ForwardOpened)
}

// dial opens a connection to a peer.
func (c *Client) dial(ctx context.Context, peer string) (*framedConn, error) {
	host, _, err := net.SplitHostPort(peer)
	if err != nil {
		return nil, err
	}
	netConn, err := tcp.Dial(ctx, "tcp", net.JoinHostPort(host, c.port))
	if err != nil {
		return nil, err
	}
	return newFramedConn(netConn), nil
}

func (c *Client) takeIdle(peer string) *framedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for list := c.idle[peer]; len(list) > 0; list = c.idle[peer] {
		last := list[len(list)-1]
		c.idle[peer] = list[:len(list)-1]
		if now < last.until {
			return last.conn
		}
		_ = last.conn.net.Close()
	}
	delete(c.idle, peer)
	return nil
}

// keep keeps a connection for the next request, or closes it.
func (c *Client) keep(peer string, used *framedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[peer]) >= maxIdlePerPeer {
		_ = used.net.Close()
		return
	}
	c.idle[peer] = append(c.idle[peer], idleConn{conn: used, until: c.clock.Now() + maxIdleTime})
}

// Cancel gives the connection up without a request.
func (c *Conn) Cancel() {
	_ = c.framed.net.Close()
}

// Do sends a request and reads the status and header of its answer. The error is a
// *http1.RequestError; the request may have run. The connection is closed when ctx is
// canceled, also while the body is being read.
func (c *Conn) Do(ctx context.Context, request http1.Request) (answer *http1.Answer, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.framed.net.Close() })
	head, err := c.exchange(request, false)
	if err != nil {
		stop()
		c.memory.Release()
		_ = c.framed.net.Close()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, &http1.RequestError{Sent: true, Cause: fmt.Errorf("through peer %s: %w", c.peer, err)}
	}
	return http1.NewAnswer(head.Status, head.Header, head.Length, head.ending(), &answerBody{conn: c, stopCancel: stop}), nil
}

// Ask sends a question to the endpoint, like http1.Conn.Ask. Afterwards the connection may carry a
// request if the reply says that it is open, and is given up otherwise.
func (c *Conn) Ask(ctx context.Context, question http1.Request) (reply http1.Reply, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.framed.net.Close() })
	head, err := c.exchange(question, true)
	if err == nil {
		reply = http1.Reply{Status: head.Status, Header: head.Header, Open: head.Open}
		reply.Body, err = io.ReadAll(io.LimitReader(&answerBody{conn: c}, http1.MaxReplyBytes))
	}
	c.memory.Release()
	reply.Open = stop() && err == nil && reply.Open
	if !reply.Open {
		_ = c.framed.net.Close()
	}
	if err != nil {
		err = &http1.RequestError{Cause: fmt.Errorf("ask through peer %s: %w", c.peer, errors.Join(ctx.Err(), err))}
	}
	return reply, err
}

// exchange sends the request or question and reads the head of the answer.
func (c *Conn) exchange(request http1.Request, isQuestion bool) (head answerHead, err error) {
	now := c.client.clock.Now()
	if err := c.framed.net.SetDeadline(c.client.clock.Deadline(request.Deadline)); err != nil {
		return head, err
	}
	err = c.framed.write(message.ForwardRequest, requestHead{
		ID: request.ID, Method: request.Method, Head: request.Head, BodyBytes: len(request.Body), TimeLeft: request.Deadline - now, Question: isQuestion,
	})
	if err != nil {
		return head, err
	}
	if err := c.framed.writeBody(request.Body); err != nil {
		return head, err
	}
	if err := c.framed.writer.Flush(); err != nil {
		return head, err
	}
	return c.readHead()
}

func (c *Conn) readHead() (head answerHead, err error) {
	f, err := c.framed.readAnswer()
	if err != nil {
		return head, err
	}
	if f.Type != message.ForwardEnd {
		if cost := len(f.Body) * copiesOfHead; cost > freeHeadBytes && !c.memory.TryGrow(cost) {
			return head, response.ErrNoMemory
		}
		return decodeHead(f)
	}
	ended, err := decode[end](f, message.ForwardEnd)
	if err != nil {
		return head, err
	}
	return head, errors.New(ended.Error)
}

// decodeHead decodes the head of an answer. A daemon of an earlier release also passes on heads that
// are malformed.
func decodeHead(f frame.Frame) (head answerHead, err error) {
	if head, err = decode[answerHead](f, message.ForwardAnswer); err != nil {
		return head, err
	}
	if head.Length < -1 {
		return head, fmt.Errorf("%w: length %d", response.ErrMalformed, head.Length)
	}
	if head.Header == nil {
		head.Header = make(http.Header)
	}
	return head, response.CheckHead(head.Status, head.Header)
}

// answerBody reads the body of an answer.
type answerBody struct {
	conn       *Conn
	stopCancel func() bool
	// rest is what remains of the last message.
	rest     []byte
	complete bool
}

// Read implements io.Reader. It returns io.EOF only after a complete answer.
func (b *answerBody) Read(buf []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.complete {
			return 0, io.EOF
		}
		if err := b.readMessage(); err != nil {
			return 0, err
		}
	}
	n := copy(buf, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// readMessage reads the next part of the body or its end.
func (b *answerBody) readMessage() error {
	f, err := b.conn.framed.readAnswer()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	if f.Type == message.ForwardBody {
		b.rest = f.Body
		return nil
	}
	return b.readEnd(f)
}

func (b *answerBody) readEnd(f frame.Frame) error {
	ended, err := decode[end](f, message.ForwardEnd)
	if err != nil {
		return err
	}
	if ended.Error != "" {
		return errors.New(ended.Error)
	}
	b.complete = true
	return nil
}

// Close implements io.Closer. It keeps the connection if the answer was read completely;
// otherwise the peer ends the request at the endpoint.
func (b *answerBody) Close() error {
	c := b.conn
	c.memory.Release()
	if !b.stopCancel() || !b.complete {
		return c.framed.net.Close()
	}
	c.client.keep(c.peer, c.framed)
	return nil
}
