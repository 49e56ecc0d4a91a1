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

// conn is one connection after or during its hello. It is used by the side
// that opened it to send requests and by the other side to answer them.
type conn struct {
	link *Link
	net  net.Conn
	peer string
	out  *sendQueue
	done chan struct{}
	once sync.Once

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]chan frame.Frame
}

func newConn(l *Link, netConn net.Conn) *conn {
	return &conn{
		link:    l,
		net:     netConn,
		out:     newSendQueue(),
		done:    make(chan struct{}),
		waiting: make(map[uint64]chan frame.Frame),
	}
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.net.Close()
	})
}

// greet exchanges hellos and learns the peer's name.
func (c *conn) greet() error {
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
		return fmt.Errorf("first frame is of kind %d, not a hello", first.Kind)
	}
	var h hello
	if err := frame.Decode(first.Body, &h); err != nil {
		return err
	}
	if h.ID == "" {
		return errors.New("hello without a name")
	}
	if err := c.checkCertificate(h.ID); err != nil {
		return err
	}
	c.peer = h.ID
	return c.net.SetDeadline(time.Time{})
}

// checkCertificate requires that the name in the hello is the certificate's.
func (c *conn) checkCertificate(id string) error {
	tlsConn, ok := c.net.(*tls.Conn)
	if !ok {
		return nil
	}
	certificates := tlsConn.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return errors.New("no certificate")
	}
	leaf := certificates[0]
	if leaf.Subject.CommonName == id || slices.Contains(leaf.DNSNames, id) {
		return nil
	}
	return fmt.Errorf("hello names %q, the certificate does not", id)
}

// enqueue hands f to the write loop without waiting.
func (c *conn) enqueue(f frame.Frame) error {
	select {
	case <-c.done:
		return ErrUnreachable
	default:
	}
	if !c.out.push(f) {
		return ErrQueueFull
	}
	return nil
}

// loop writes queued frames until the connection ends. Frames that wait
// together leave together.
func (c *conn) loop() {
	defer c.link.running.Done()
	defer c.close()
	buffered := bufio.NewWriter(c.net)
	for {
		select {
		case <-c.done:
			return
		case <-c.out.ready:
			if err := c.writeAll(buffered, c.out.take()); err != nil {
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
		count(f)
	}
	return w.Flush()
}

func count(f frame.Frame) {
	name := "0x" + strconv.FormatUint(uint64(f.Type), 16)
	bytesSent.Add(name, int64(f.Size()))
	messagesSent.Add(name, 1)
}

// read reads frames until the connection ends.
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
			return fmt.Errorf("unexpected frame of kind %d", f.Kind)
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
	case c.link.slots <- struct{}{}:
	case <-c.done:
		return ErrClosed
	}
	c.link.running.Add(1)
	go (&exchange{conn: c, request: f}).run()
	return nil
}

// register allots an identifier for a request and a place for its answer.
func (c *conn) register() (uint64, chan frame.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	answer := make(chan frame.Frame, 1)
	c.waiting[c.nextID] = answer
	return c.nextID, answer
}

func (c *conn) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

func (c *conn) resolve(f frame.Frame) {
	c.mu.Lock()
	answer := c.waiting[f.ID]
	delete(c.waiting, f.ID)
	c.mu.Unlock()
	if answer != nil {
		answer <- f
	}
}

// call sends a request and waits for its answer.
func (c *conn) call(ctx context.Context, f frame.Frame) ([]byte, error) {
	id, answer := c.register()
	defer c.unregister(id)
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

// exchange serves one request of a peer.
type exchange struct {
	conn    *conn
	request frame.Frame
}

func (e *exchange) run() {
	l := e.conn.link
	defer l.running.Done()
	defer func() { <-l.slots }()
	answer := frame.Frame{Kind: frame.Response, Type: e.request.Type, ID: e.request.ID}
	handle := l.handlers[e.request.Type]
	if handle == nil {
		answer.Kind = frame.Failure
		answer.Body = []byte("unknown message type")
	} else if body, err := handle(l.ctx, e.conn.peer, e.request.Body); err != nil {
		answer.Kind = frame.Failure
		answer.Body = []byte(err.Error())
	} else {
		answer.Body = body
	}
	if err := e.conn.enqueue(answer); err != nil {
		eventHandlerFailed.Log(l.logger, logrus.Fields{"Peer": e.conn.peer, "Type": e.request.Type, "Error": err.Error()})
	}
}

// inlet serves a connection that a peer opened.
type inlet struct {
	link *Link
	conn *conn
}

func (i *inlet) run() {
	defer i.link.running.Done()
	defer i.link.forget(i.conn)
	defer i.conn.close()
	if err := i.conn.greet(); err != nil {
		eventPeerRefused.Log(i.link.logger, logrus.Fields{"Address": i.conn.net.RemoteAddr().String(), "Error": err.Error()})
		return
	}
	i.link.running.Add(1)
	go i.conn.loop()
	err := i.conn.read()
	eventPeerLost.Log(i.link.logger, logrus.Fields{"Peer": i.conn.peer, "Error": err.Error()})
}
