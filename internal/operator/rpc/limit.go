package rpc

import (
	"net"
	"sync"
)

// addressLimiter is a listener that bounds the open connections from each
// address, so that no single host takes the places of all others.
type addressLimiter struct {
	net.Listener
	limit int

	mu   sync.Mutex
	open map[string]int
}

func newAddressLimiter(listener net.Listener, limit int) *addressLimiter {
	return &addressLimiter{Listener: listener, limit: limit, open: make(map[string]int)}
}

// Accept implements net.Listener. It closes connections beyond the limit.
func (l *addressLimiter) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		host := hostOf(conn)
		if l.enter(host) {
			return &limitedConn{Conn: conn, limiter: l, host: host}, nil
		}
		refusedConnections.Add(1)
		// The other end may be gone already; nothing depends on it.
		_ = conn.Close()
	}
}

func (l *addressLimiter) enter(host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[host] >= l.limit {
		return false
	}
	l.open[host]++
	return true
}

func (l *addressLimiter) leave(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[host]--
	if l.open[host] == 0 {
		delete(l.open, host)
	}
}

func hostOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	net.Conn
	limiter *addressLimiter
	host    string
	once    sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}

func (c *limitedConn) release() { c.limiter.leave(c.host) }
