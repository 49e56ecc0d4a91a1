package keepalive

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// listener accepts the connections of a Server.
type listener struct {
	net.Listener
	server *Server
	ended  atomic.Bool
	// extensions counts how often the deadline was extended, and accepted is set if a
	// connection has come since. Only Accept uses them.
	extensions int
	accepted   bool
}

const (
	// lastAcceptTime is how long Accept looks for waiting connections after its deadline.
	lastAcceptTime = 10 * clock.Millisecond
	// maxExtensions bounds how often it does so while connections come.
	maxExtensions = 10
)

// Accept implements net.Listener. It closes connections for which the Server has no room.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	for ; ; accepted, err = l.Listener.Accept() {
		if err == nil {
			l.accepted = true
			if c := newConn(accepted, l.server); c != nil {
				return c, nil
			}
			_ = accepted.Close()
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !l.extend() {
			break
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errors.Join(net.ErrClosed, l.Close())
	}
	return nil, err
}

// endAccepting accepts the connections of some more time and no later ones.
func (l *listener) endAccepting(rest clock.Millis) {
	if !l.setDeadline(rest) {
		_ = l.Close()
	}
}

// extend extends a deadline that has passed, unless no connection waited the last time. A late
// Accept fails without a look at the connections that wait.
func (l *listener) extend() bool {
	if l.extensions > 0 && !l.accepted || l.extensions >= maxExtensions {
		return false
	}
	l.extensions++
	l.accepted = false
	return l.setDeadline(lastAcceptTime)
}

// setDeadline sets the time at which Accept gives up, if the listener has one.
func (l *listener) setDeadline(rest clock.Millis) bool {
	deadline, has := l.Listener.(interface{ SetDeadline(at time.Time) error })
	return has && deadline.SetDeadline(time.Now().Add(rest.Duration())) == nil
}

// isAccepting reports whether a connection may still be accepted.
func (l *listener) isAccepting() bool {
	return l != nil && !l.ended.Load()
}
