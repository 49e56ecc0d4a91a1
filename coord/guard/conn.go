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

// conn is a connection with guarded writes.
type conn struct {
	net.Conn
	guard *Guard
	// raw is the socket, nil when the connection is not one.
	raw syscall.RawConn

	mu sync.Mutex
	// failure is why the guard has closed the connection.
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

// Write writes data piece by piece while the lease is held. When it is not, or
// ends meanwhile, the connection is reset.
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

// writeSocket makes the system call itself, with the check right before it.
func (c *conn) writeSocket(piece []byte, left clock.Millis) (n int, err error) {
	var writeErr error
	rawErr := c.raw.Write(func(fd uintptr) bool {
		// Not all sockets are TCP; the deadline remains for those.
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

// Read reads from the connection. When the guard has closed it, the error says
// why, since an HTTP library may see this one first.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if failure := c.failure.Load(); err != nil && failure != nil {
		err = *failure
	}
	return n, err
}

// abort closes the connection and drops what the kernel has not sent.
func (c *conn) abort(cause error) {
	c.failure.Store(&cause)
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	_ = c.Close()
}
