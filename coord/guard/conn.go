package guard

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// conn is a connection that writes only while the lease is held.
type conn struct {
	net.Conn
	guard *Guard
	// raw is the socket, or nil if the connection is not a socket.
	raw syscall.RawConn

	mu sync.Mutex
	// failure is the reason why the guard closed the connection.
	failure atomic.Pointer[error]
}

func newConn(g *Guard, inner net.Conn) *conn {
	c := &conn{Conn: inner, guard: g}
	if socket, ok := inner.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	return c
}

// Write writes data in pieces while the lease is held. If the lease is not held
// or ends during the write, Write resets the connection.
func (c *conn) Write(data []byte) (written int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for written < len(data) {
		piece := data[written:min(len(data), written+WriteBufferSize)]
		n, err := c.writePiece(piece)
		written += n
		if err != nil {
			c.abort(err)
			return written, err
		}
	}
	return written, nil
}

func (c *conn) writePiece(piece []byte) (int, error) {
	left, err := c.guard.remaining()
	if err != nil {
		return 0, err
	}
	if err := c.SetWriteDeadline(time.Now().Add(left.Duration())); err != nil {
		return 0, err
	}
	if c.raw == nil {
		if _, err := c.guard.remaining(); err != nil {
			return 0, err
		}
		return c.Conn.Write(piece)
	}
	return c.writeSocket(piece, left)
}

// writeSocket makes the system call itself, so that the check comes immediately
// before it.
func (c *conn) writeSocket(piece []byte, left clock.Millis) (n int, err error) {
	var writeErr error
	rawErr := c.raw.Write(func(fd uintptr) bool {
		// The option fails on sockets that are not TCP; the write deadline
		// still applies to them.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(left))
		if _, writeErr = c.guard.remaining(); writeErr != nil {
			return true
		}
		n, writeErr = unix.Write(int(fd), piece)
		return !errors.Is(writeErr, unix.EAGAIN) && !errors.Is(writeErr, unix.EINTR)
	})
	n = max(n, 0)
	if rawErr != nil {
		return n, rawErr
	}
	return n, writeErr
}

// Read reads from the connection. If the guard has closed it, Read returns the
// reason, since an HTTP library may see the read error before the write error.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if failure := c.failure.Load(); err != nil && failure != nil {
		err = *failure
	}
	return n, err
}

// abort closes the connection and discards data that the kernel has not sent.
func (c *conn) abort(cause error) {
	c.failure.Store(&cause)
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	_ = c.Close()
}
