package entry

import (
	"errors"
	"net"
	"sync"
	"time"
)

var errNoTCP = errors.New("not a TCP connection")

// connLimiter is a listener that limits the number of open connections. Accept
// waits while there are too many.
type connLimiter struct {
	net.Listener
	slots     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

func newConnLimiter(listener net.Listener, limit int) *connLimiter {
	return &connLimiter{Listener: listener, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *connLimiter) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		l.release()
		return nil, err
	}
	return &limitedConn{Conn: conn, limiter: l}, nil
}

// Close implements net.Listener.
func (l *connLimiter) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// SetDeadline sets the time at which Accept gives up.
func (l *connLimiter) SetDeadline(at time.Time) error {
	listener, has := l.Listener.(*net.TCPListener)
	if !has {
		return errNoTCP
	}
	return listener.SetDeadline(at)
}

func (l *connLimiter) release() { <-l.slots }

// limitedConn releases its slot in the limiter when it is first closed.
type limitedConn struct {
	net.Conn
	limiter *connLimiter
	once    sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.limiter.release)
	return err
}

// NetConn returns the connection that c wraps, like the method of tls.Conn.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }
