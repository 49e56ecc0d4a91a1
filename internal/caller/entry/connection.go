package entry

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
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
	// deadline is the time at which Accept gives up, and deadlineSet wakes one that waits for a
	// slot when it is set.
	deadline    atomic.Pointer[time.Time]
	deadlineSet chan struct{}
}

func newConnLimiter(listener net.Listener, limit int) *connLimiter {
	return &connLimiter{Listener: listener, slots: make(chan struct{}, limit), closed: make(chan struct{}), deadlineSet: make(chan struct{}, 1)}
}

// Accept implements net.Listener.
func (l *connLimiter) Accept() (net.Conn, error) {
	if err := l.acquire(); err != nil {
		return nil, err
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		l.release()
		return nil, err
	}
	return &limitedConn{Conn: conn, limiter: l}, nil
}

// acquire waits for a slot, as Accept does for a connection.
func (l *connLimiter) acquire() error {
	for {
		expired, stop := l.expiry()
		select {
		case l.slots <- struct{}{}:
			stop()
			return nil
		case <-l.closed:
			stop()
			return net.ErrClosed
		case <-expired:
			return os.ErrDeadlineExceeded
		case <-l.deadlineSet:
			stop()
		}
	}
}

// expiry returns a channel that sends at the deadline, nil if there is none.
func (l *connLimiter) expiry() (expired <-chan time.Time, stop func() bool) {
	at := l.deadline.Load()
	if at == nil || at.IsZero() {
		return nil, func() bool { return true }
	}
	timer := time.NewTimer(time.Until(*at))
	return timer.C, timer.Stop
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
	l.deadline.Store(&at)
	select {
	case l.deadlineSet <- struct{}{}:
	default:
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
