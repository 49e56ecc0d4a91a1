package rpc

import (
	"net"
	"sync"
)

// addressLimiter is a listener that limits the open connections per remote
// address, so that one host cannot use up the server's connections.
type addressLimiter struct {
	net.Listener
	limit int

	mu        sync.Mutex
	openConns map[string]int
}

func newAddressLimiter(listener net.Listener, limit int) *addressLimiter {
	return &addressLimiter{Listener: listener, limit: limit, openConns: make(map[string]int)}
}

// Accept implements net.Listener. It closes connections beyond the limit.
func (l *addressLimiter) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		host := hostOf(conn)
		if l.acquire(host) {
			return &limitedConn{Conn: conn, limiter: l, host: host}, nil
		}
		refusedConnections.Add(1)
		// The client may have closed the connection; an error changes nothing.
		_ = conn.Close()
	}
}

func (l *addressLimiter) acquire(host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openConns[host] >= l.limit {
		return false
	}
	l.openConns[host]++
	return true
}

func (l *addressLimiter) release(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openConns[host]--
	if l.openConns[host] == 0 {
		delete(l.openConns, host)
	}
}

func hostOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}

// limitedConn releases its slot in the limiter when it is first closed.
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

func (c *limitedConn) release() { c.limiter.release(c.host) }
