// Package tcp opens TCP connections on which a peer that falls silent is noticed within
// seconds: unanswered keep-alive probes and unacknowledged data both close them.
//
// The system buffers little of what has arrived and was not read yet. It would let the buffer of
// a connection that brought much grow to many MB otherwise, which count as memory of the process.
//
// # Usage
//
//	conn, err := tcp.Dial(ctx, "tcp", "10.0.0.7:8080")
//	listener, err := tcp.Listen(ctx, "10.0.0.8:8080")
package tcp

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/banyanshift/banyanshift/coord/clock"
)

const (
	// userTimeout is how long the kernel waits for the acknowledgement of sent data or
	// of a keep-alive probe before it closes the connection (TCP_USER_TIMEOUT). It goes
	// before the number of keep-alive probes.
	userTimeout = 3 * clock.Second
	// keepAlivePeriod is the time between TCP keep-alive probes on a connection without
	// traffic.
	keepAlivePeriod = clock.Second
	// MaxUnreadBytes is what the system may hold of a connection that was dialed which has arrived and
	// was not read, and acceptedUnreadBytes the same for one that Listen accepts.
	MaxUnreadBytes      = 64 << 10
	acceptedUnreadBytes = 256 << 10
	// bufferFactor is by how much Linux multiplies the size of a buffer that is set.
	bufferFactor = 2
)

// Dial opens a connection. ctx bounds opening it.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: BoundUnread, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod.Duration(), Interval: keepAlivePeriod.Duration()}}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := setUserTimeout(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// Listen listens at an address.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	return ListenBuffered(ctx, address, acceptedUnreadBytes)
}

// ListenBuffered listens at an address. The system holds at most maxUnread bytes for each connection
// that have arrived and were not read.
func ListenBuffered(ctx context.Context, address string, maxUnread int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return setReadBuffer(raw, maxUnread/bufferFactor)
	}}
	return config.Listen(ctx, "tcp", address)
}

// LimitBacklog sets how many connections may wait to be accepted. Listeners of other kinds, and systems
// that cannot change the number, keep theirs.
func LimitBacklog(listener net.Listener, count int) {
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcpListener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), count) })
}

// BoundUnread is a Control function for dialers. The system then holds at most MaxUnreadBytes of a
// connection that have arrived and were not read.
func BoundUnread(_, _ string, raw syscall.RawConn) error {
	return setReadBuffer(raw, MaxUnreadBytes/bufferFactor)
}

// setReadBuffer sets the size of the buffer of a socket, and of those that it accepts. The size of the
// window follows from it.
func setReadBuffer(raw syscall.RawConn, bytes int) (err error) {
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	})
	return errors.Join(controlErr, err)
}

func setUserTimeout(conn net.Conn) error {
	tcpConn, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcpConn.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/clock.Millisecond))
	})
	if err != nil {
		return err
	}
	return setErr
}

// established is the state of a connection that neither side has closed, as in tcpi_state.
const established = 1

// IsEstablished reports whether neither side has closed or reset a connection, as far as the kernel
// knows, whatever has not been read yet. Unlike a read, it does not consume an error that is
// pending.
func IsEstablished(conn net.Conn) bool {
	tcpConn, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcpConn.SyscallConn()
	if err != nil {
		return false
	}
	isEstablished := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isEstablished = infoErr == nil && info.State == established
	})
	return err == nil && isEstablished
}
