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
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err == nil {
		return newConn(accepted, l.server), nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errors.Join(net.ErrClosed, l.Close())
	}
	if errors.Is(err, net.ErrClosed) {
		l.ended.Store(true)
		l.server.endedAccepting()
	}
	return nil, err
}

// endAccepting accepts the connections of some more time and no later ones.
func (l *listener) endAccepting(rest clock.Millis) {
	deadline, has := l.Listener.(interface{ SetDeadline(at time.Time) error })
	if has && deadline.SetDeadline(time.Now().Add(rest.Duration())) == nil {
		return
	}
	_ = l.Close()
}

// isAccepting reports whether a connection may still be accepted.
func (l *listener) isAccepting() bool {
	return l != nil && !l.ended.Load()
}
