package link

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/peer/frame"
)

// conn is one connection, during or after its handshake. The side that opened it
// sends requests and one-way messages; the other side sends responses.
type conn struct {
	link  *Link
	net   net.Conn
	peer  string
	queue *sendQueue
	done  chan struct{}
	once  sync.Once

	mu           sync.Mutex
	nextID       uint64
	pendingCalls map[uint64]chan frame.Frame
}

func newConn(l *Link, netConn net.Conn) *conn {
	return &conn{
		link:         l,
		net:          netConn,
		queue:        newSendQueue(),
		done:         make(chan struct{}),
		pendingCalls: make(map[uint64]chan frame.Frame),
	}
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.net.Close()
	})
}

// handshake exchanges hellos and sets the peer's ID.
func (c *conn) handshake() error {
	deadline := time.Now().Add(helloTimeout.Duration())
	if err := c.net.SetDeadline(deadline); err != nil {
		return err
	}
	own, err := c.link.helloFrame()
	if err != nil {
		return err
	}
	if err := frame.Write(c.net, own); err != nil {
		return err
	}
	first, err := frame.Read(c.net, maxHelloBytes)
	if err != nil {
		return err
	}
	if first.Kind != frame.Hello {
		return fmt.Errorf("the first frame has kind %d, want a hello", first.Kind)
	}
	var received hello
	if err := frame.Decode(first.Body, &received); err != nil {
		return err
	}
	if received.ID == "" {
		return errors.New("the hello has no ID")
	}
	if err := c.checkCertificate(received.ID); err != nil {
		return err
	}
	c.peer = received.ID
	return c.net.SetDeadline(time.Time{})
}

// checkCertificate returns an error if the ID in the hello is not a name in the
// peer's certificate. It accepts connections without TLS.
func (c *conn) checkCertificate(id string) error {
	tlsConn, ok := c.net.(*tls.Conn)
	if !ok {
		return nil
	}
	certificates := tlsConn.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return errors.New("the peer presented no certificate")
	}
	leaf := certificates[0]
	if leaf.Subject.CommonName == id || slices.Contains(leaf.DNSNames, id) {
		return nil
	}
	return fmt.Errorf("the hello has the ID %q, which the peer's certificate does not name", id)
}

// enqueue adds f to the send queue without waiting.
func (c *conn) enqueue(f frame.Frame) error {
	select {
	case <-c.done:
		return ErrUnreachable
	default:
	}
	if !c.queue.push(f) {
		return ErrQueueFull
	}
	return nil
}

// loop writes queued frames until the connection is closed. It flushes all frames
// that it finds in the queue at once.
func (c *conn) loop() {
	defer c.link.goroutines.Done()
	defer c.close()
	buffered := bufio.NewWriter(c.net)
	for {
		select {
		case <-c.done:
			return
		case <-c.queue.ready:
			if err := c.writeAll(buffered, c.queue.take()); err != nil {
				return
			}
		}
	}
}

func (c *conn) writeAll(w *bufio.Writer, frames []frame.Frame) error {
	if err := c.net.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
		return err
	}
	for _, f := range frames {
		if err := frame.Write(w, f); err != nil {
			return err
		}
		recordSent(f)
	}
	return w.Flush()
}

func recordSent(f frame.Frame) {
	name := "0x" + strconv.FormatUint(uint64(f.Type), 16)
	bytesSent.Add(name, int64(f.Size()))
	messagesSent.Add(name, 1)
}

// read reads and handles frames until the connection fails or is closed.
func (c *conn) read() error {
	reader := bufio.NewReader(c.net)
	for {
		f, err := frame.Read(reader, frame.MaxBodyBytes)
		if err != nil {
			return err
		}
		switch f.Kind {
		case frame.Response, frame.Failure:
			c.resolve(f)
		case frame.OneWay:
			c.serveOneWay(f)
		case frame.Request:
			if err := c.serveRequest(f); err != nil {
				return err
			}
		default:
			return fmt.Errorf("unexpected frame kind %d", f.Kind)
		}
	}
}

func (c *conn) serveOneWay(f frame.Frame) {
	handle := c.link.handlers[f.Type]
	if handle == nil {
		return
	}
	if _, err := handle(c.link.ctx, c.peer, f.Body); err != nil {
		eventHandlerFailed.Log(c.link.logger, logrus.Fields{"Peer": c.peer, "Type": f.Type, "Error": err.Error()})
	}
}

func (c *conn) serveRequest(f frame.Frame) error {
	select {
	case c.link.requestSlots <- struct{}{}:
	case <-c.done:
		return ErrClosed
	}
	c.link.goroutines.Add(1)
	go (&requestServer{conn: c, request: f}).run()
	return nil
}

// addCall allocates an ID for a request and a channel for its response.
func (c *conn) addCall() (uint64, chan frame.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	answer := make(chan frame.Frame, 1)
	c.pendingCalls[c.nextID] = answer
	return c.nextID, answer
}

func (c *conn) removeCall(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pendingCalls, id)
}

func (c *conn) resolve(f frame.Frame) {
	c.mu.Lock()
	answer := c.pendingCalls[f.ID]
	delete(c.pendingCalls, f.ID)
	c.mu.Unlock()
	if answer != nil {
		answer <- f
	}
}

// call sends a request and waits for its response.
func (c *conn) call(ctx context.Context, f frame.Frame) ([]byte, error) {
	id, answer := c.addCall()
	defer c.removeCall(id)
	f.ID = id
	if err := c.enqueue(f); err != nil {
		return nil, err
	}
	select {
	case got := <-answer:
		if got.Kind == frame.Failure {
			return nil, &RemoteError{Peer: c.peer, Message: string(got.Body)}
		}
		return got.Body, nil
	case <-c.done:
		return nil, ErrNoAnswer
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// requestServer serves one request of a peer.
type requestServer struct {
	conn    *conn
	request frame.Frame
}

func (s *requestServer) run() {
	l := s.conn.link
	defer l.goroutines.Done()
	defer func() { <-l.requestSlots }()
	answer := frame.Frame{Kind: frame.Response, Type: s.request.Type, ID: s.request.ID}
	handle := l.handlers[s.request.Type]
	if handle == nil {
		answer.Kind = frame.Failure
		answer.Body = []byte("unknown message type")
	} else if body, err := handle(l.ctx, s.conn.peer, s.request.Body); err != nil {
		answer.Kind = frame.Failure
		answer.Body = []byte(err.Error())
	} else {
		answer.Body = body
	}
	if err := s.conn.enqueue(answer); err != nil {
		eventHandlerFailed.Log(l.logger, logrus.Fields{"Peer": s.conn.peer, "Type": s.request.Type, "Error": err.Error()})
	}
}

// incomingConn serves a connection that a peer opened.
type incomingConn struct {
	link *Link
	conn *conn
}

func (i *incomingConn) run() {
	defer i.link.goroutines.Done()
	defer i.link.removeConn(i.conn)
	defer i.conn.close()
	if err := i.conn.handshake(); err != nil {
		eventPeerRefused.Log(i.link.logger, logrus.Fields{"Address": i.conn.net.RemoteAddr().String(), "Error": err.Error()})
		return
	}
	i.link.goroutines.Add(1)
	go i.conn.loop()
	err := i.conn.read()
	eventPeerLost.Log(i.link.logger, logrus.Fields{"Peer": i.conn.peer, "Error": err.Error()})
}
