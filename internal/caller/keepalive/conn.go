package keepalive

import (
	"net"
	"sync"
)

// conn is a connection of a caller.
type conn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// used is set once a request has been answered.
	used bool
	// idle is set while nothing of the next request has been read.
	idle bool
	// answering is set once something of the answer to the last request was written.
	answering bool
}

func newConn(inner net.Conn, server *Server) *conn {
	c := &conn{Conn: inner, server: server, idle: true}
	server.add(c)
	return c
}

// NetConn returns the connection that c wraps, like the method of tls.Conn.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n > 0 {
		c.recordRead()
	}
	return n, err
}

// recordRead records that a part of a request has been read.
func (c *conn) recordRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.idle, c.answering = false, false
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.answering = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	if !c.idle && !c.answering {
		unanswered.Add(1)
	}
	c.answering = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// setIdle records that the last request has been answered.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used, c.idle = true, true
}
