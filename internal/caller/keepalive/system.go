package keepalive

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

var (
	errNoSystemConn = errors.New("keepalive: not a connection of the system")
	errNoTCP        = errors.New("keepalive: not a TCP connection")
)

// rawConn returns the system's connection below netConn.
func rawConn(netConn net.Conn) (syscall.RawConn, error) {
	for {
		switch c := netConn.(type) {
		case syscall.Conn:
			return c.SyscallConn()
		case interface{ NetConn() net.Conn }:
			netConn = c.NetConn()
		default:
			return nil, errNoSystemConn
		}
	}
}

// unreadBytes returns how many bytes have arrived on a connection and were not read, -1 if the system
// does not tell.
func unreadBytes(netConn net.Conn) (count int) {
	raw, err := rawConn(netConn)
	if err != nil {
		return -1
	}
	err = raw.Control(func(fd uintptr) {
		if count, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ); err != nil {
			count = -1
		}
	})
	if err != nil {
		return -1
	}
	return count
}

// readNow reads from a descriptor that does not block, again if a signal interrupts it.
func readNow(fd int, p []byte) (n int, err error) {
	for {
		n, err = syscall.Read(fd, p)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// Reset closes the TCP connection below netConn with a reset, so that what was sent on it does
// not look complete. The connections above are still to be closed.
func Reset(netConn net.Conn) error {
	for {
		switch c := netConn.(type) {
		case *net.TCPConn:
			return errors.Join(c.SetLinger(0), c.Close())
		case interface{ NetConn() net.Conn }:
			netConn = c.NetConn()
		default:
			return errNoTCP
		}
	}
}
