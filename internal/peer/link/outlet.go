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

// redialDelay is the pause after a failed attempt to connect, during which
// calls fail at once.
const redialDelay = 250 * clock.Millisecond

// outlet is the connection to one peer, opened when needed.
type outlet struct {
	link *Link
	peer Peer

	// dialing is held by the caller that connects; others wait for it.
	dialing sync.Mutex

	mu       sync.Mutex
	conn     *conn
	failedAt clock.Millis
	failed   bool
	sending  bool
	backlog  []frame.Frame
}

func (o *outlet) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conn != nil {
		o.conn.close()
	}
}

// open returns the open connection, or nil, or an error right after a failure.
func (o *outlet) open() (*conn, error) {
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
	if o.failed && o.link.clock.Now()-o.failedAt < redialDelay {
		return nil, ErrUnreachable
	}
	return nil, nil
}

// connect returns an open connection to the peer.
func (o *outlet) connect(ctx context.Context) (*conn, error) {
	if c, err := o.open(); c != nil || err != nil {
		return c, err
	}
	o.dialing.Lock()
	defer o.dialing.Unlock()
	if c, err := o.open(); c != nil || err != nil {
		return c, err
	}
	c, err := o.dial(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failed = err != nil
	if err != nil {
		o.failedAt = o.link.clock.Now()
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, o.peer.Address, err)
	}
	o.conn = c
	return c, nil
}

func (o *outlet) dial(ctx context.Context) (*conn, error) {
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
	if err := c.greet(); err != nil {
		c.close()
		return nil, err
	}
	if o.peer.ID != "" && c.peer != o.peer.ID {
		c.close()
		return nil, fmt.Errorf("%s answers there instead of %s", c.peer, o.peer.ID)
	}
	return c, o.start(c)
}

// clientTLS names the peer that the certificate must be for.
func clientTLS(config *tls.Config, peerID string) *tls.Config {
	client := config.Clone()
	client.ServerName = peerID
	return client
}

// start runs the connection's loops, unless the link has been closed.
func (o *outlet) start(c *conn) error {
	l := o.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.close()
		return ErrClosed
	}
	l.incoming[c] = struct{}{}
	l.running.Add(2)
	go c.loop()
	go (&answers{conn: c}).run()
	return nil
}

// answers reads the answers that come back on an outgoing connection.
type answers struct {
	conn *conn
}

func (a *answers) run() {
	c := a.conn
	defer c.link.running.Done()
	defer c.link.forget(c)
	defer c.close()
	err := c.read()
	eventPeerLost.Log(c.link.logger, logrus.Fields{"Peer": c.peer, "Error": err.Error()})
}

// send queues a one-way frame; while the connection is being opened frames
// wait in the backlog.
func (o *outlet) send(f frame.Frame) error {
	c, err := o.open()
	if err != nil {
		return err
	}
	if c != nil {
		return c.enqueue(f)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.backlog) >= queueFrames {
		return ErrQueueFull
	}
	o.backlog = append(o.backlog, f)
	if o.sending {
		return nil
	}
	if !o.link.begin() {
		return ErrClosed
	}
	o.sending = true
	go o.run()
	return nil
}

// run connects and sends the backlog.
func (o *outlet) run() {
	defer o.link.running.Done()
	c, err := o.connect(o.link.ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sending = false
	backlog := o.backlog
	o.backlog = nil
	for _, f := range backlog {
		if err != nil || c.enqueue(f) != nil {
			dropped.Add(1)
		}
	}
}
