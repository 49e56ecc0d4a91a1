package keepalive

import (
	"errors"
	"net"
	"syscall"
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
