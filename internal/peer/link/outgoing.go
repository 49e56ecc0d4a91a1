package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/peer/frame"
)

// reconnectDelay is how long after a failed attempt to connect all calls to the
// peer fail immediately.
const reconnectDelay = 250 * clock.Millisecond

// outgoingConn is the connection to one peer. It is opened on first use and again
// after it was closed.
type outgoingConn struct {
	link *Link
	peer Peer

	// dialMu is held while one caller connects; other callers wait for it.
	dialMu sync.Mutex

	mu             sync.Mutex
	conn           *conn
	dialFailedAt   clock.Millis
	lastDialFailed bool
	flushing       bool
	// backlog holds one-way frames that wait for the connection to be opened.
	// run sends them; flushing is true while it is active.
	backlog []frame.Frame
}

func (o *outgoingConn) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conn != nil {
		o.conn.close()
	}
}

// openConn returns the connection if it is open, and nil otherwise. It returns an
// error within reconnectDelay after a failed attempt to connect.
func (o *outgoingConn) openConn() (*conn, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conn != nil {
		select {
		case <-o.conn.done:
			o.conn = nil
		default:
			return o.conn, nil
		}
	}
	if o.lastDialFailed && o.link.clock.Now()-o.dialFailedAt < reconnectDelay {
		return nil, ErrUnreachable
	}
	return nil, nil
}

// connect returns the connection to the peer and opens it if necessary.
func (o *outgoingConn) connect(ctx context.Context) (*conn, error) {
	if c, err := o.openConn(); c != nil || err != nil {
		return c, err
	}
	o.dialMu.Lock()
	defer o.dialMu.Unlock()
	if c, err := o.openConn(); c != nil || err != nil {
		return c, err
	}
	c, err := o.dial(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastDialFailed = err != nil
	if err != nil {
		o.dialFailedAt = o.link.clock.Now()
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, o.peer.Address, err)
	}
	o.conn = c
	return c, nil
}

func (o *outgoingConn) dial(ctx context.Context) (*conn, error) {
	l := o.link
	if err := l.checkPlainText(o.peer.Address); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
	defer cancel()
	dial := l.config.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	netConn, err := dial(ctx, "tcp", o.peer.Address)
	if err != nil {
		return nil, err
	}
	if l.config.TLS != nil {
		netConn = tls.Client(netConn, clientTLS(l.config.TLS, o.peer.ID))
	}
	c := newConn(l, netConn)
	if err := c.handshake(); err != nil {
		c.close()
		return nil, err
	}
	if o.peer.ID != "" && c.peer != o.peer.ID {
		c.close()
		return nil, fmt.Errorf("the daemon at this address is %s, want %s", c.peer, o.peer.ID)
	}
	return c, o.start(c)
}

// clientTLS returns a copy of config that requires a certificate for peerID.
func clientTLS(config *tls.Config, peerID string) *tls.Config {
	client := config.Clone()
	client.ServerName = peerID
	return client
}

// start starts the goroutines of the connection, unless the link is closed.
func (o *outgoingConn) start(c *conn) error {
	l := o.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.close()
		return ErrClosed
	}
	l.conns[c] = struct{}{}
	l.goroutines.Add(2)
	go c.loop()
	go (&responseReader{conn: c}).run()
	return nil
}

// responseReader reads the responses on an outgoing connection.
type responseReader struct {
	conn *conn
}

func (r *responseReader) run() {
	c := r.conn
	defer c.link.goroutines.Done()
	defer c.link.removeConn(c)
	defer c.close()
	err := c.read()
	eventPeerLost.Log(c.link.logger, logrus.Fields{"Peer": c.peer, "Error": err.Error()})
}

// send queues a one-way frame. If the connection is not open, it puts the frame
// into the backlog and starts to connect.
func (o *outgoingConn) send(f frame.Frame) error {
	c, err := o.openConn()
	if err != nil {
		return err
	}
	if c != nil {
		return c.enqueue(f)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.backlog) >= maxQueuedFrames {
		return ErrQueueFull
	}
	o.backlog = append(o.backlog, f)
	if o.flushing {
		return nil
	}
	if !o.link.addGoroutine() {
		return ErrClosed
	}
	o.flushing = true
	go o.run()
	return nil
}

// run connects and sends the backlog, or drops it if it cannot connect.
func (o *outgoingConn) run() {
	defer o.link.goroutines.Done()
	c, err := o.connect(o.link.ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.flushing = false
	backlog := o.backlog
	o.backlog = nil
	for _, f := range backlog {
		if err != nil || c.enqueue(f) != nil {
			dropped.Add(1)
		}
	}
}
