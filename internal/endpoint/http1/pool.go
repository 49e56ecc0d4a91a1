// Package http1 speaks HTTP/1.1 to endpoints over kept connections, one request
// at a time on each.
//
// Unlike the standard library's transport it never sends a request twice by
// itself, checks a kept connection before it is used again, recognises answers
// that belong to an earlier request, and says of every failure whether bytes
// of the request may have reached the endpoint.
//
// # Usage
//
//	pool := http1.New(http1.Config{Clock: clk, Belongs: belongs})
//	answer, err := pool.Do(ctx, "10.0.0.7:8080", http1.Request{Method: "GET", Head: head})
//	var failure *http1.Failure
//	if errors.As(err, &failure) && !failure.Sent { ... nothing can have run ... }
//	defer answer.Close()
//	n, err := answer.Read(buf)
package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"

	"golang.org/x/sys/unix"

	"github.com/banyanshift/banyanshift/coord/clock"
)

const (
	// dialTimeout bounds opening a connection; endpoints are a millisecond
	// away, and a first packet that was dropped is sent again after a second.
	dialTimeout = 1200 * clock.Millisecond
	// userTimeout is how long the kernel waits for the acknowledgement of
	// sent data before it gives the connection up.
	userTimeout = 3 * clock.Second
	// keepAlivePeriod is the time between probes of a silent connection.
	keepAlivePeriod = clock.Second
	// keepAliveProbes is how many probes go unanswered before the connection
	// is given up.
	keepAliveProbes = 3
	// maxIdle is how long a connection is kept at most, whatever the endpoint
	// allows.
	maxIdle = 20 * clock.Second
	// idleMargin is how long before the endpoint's own timeout a connection
	// is no longer used.
	idleMargin = 700 * clock.Millisecond
	// defaultIdle is how long a connection is kept when the endpoint states
	// no timeout.
	defaultIdle = 4 * clock.Second
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 16
	readBufferBytes    = 4 << 10
)

// Config configures a Pool. Clock and Belongs must be set.
type Config struct {
	Clock clock.Clock
	// MatchesRequest reports whether an answer belongs to the request of that ID.
	// An answer that does not is the late one of an earlier request.
	MatchesRequest func(status int, header http.Header, requestID string) bool
	// Dial replaces the dialer, for tests; may be nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool keeps connections to endpoints. It is safe for concurrent use.
type Pool struct {
	config Config

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is one connection to an endpoint.
type conn struct {
	net    net.Conn
	reader *bufio.Reader
	// key identifies the endpoint that it leads to.
	key string
	// until is when the connection must no longer be used.
	until clock.Millis
}

// New returns an empty Pool.
func New(config Config) *Pool {
	if config.Dial == nil {
		dialer := &net.Dialer{
			Timeout:         dialTimeout.Duration(),
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod.Duration(), Interval: keepAlivePeriod.Duration(), Count: keepAliveProbes},
		}
		config.Dial = dialer.DialContext
	}
	return &Pool{config: config, idle: make(map[string][]*conn)}
}

// CloseIdleExcept closes the idle connections to the endpoints for which keep is false.
func (p *Pool) CloseIdleExcept(keep func(key string) bool) {
	p.mu.Lock()
	var dropped []*conn
	for key, conns := range p.idle {
		if !keep(key) {
			dropped = append(dropped, conns...)
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, c := range dropped {
		_ = c.net.Close()
	}
}

// take returns a kept connection that is still good, or nil.
func (p *Pool) take(key string) *conn {
	for {
		c := p.pop(key)
		if c == nil {
			return nil
		}
		if p.config.Clock.Now() < c.until && quiet(c) {
			return c
		}
		_ = c.net.Close()
	}
}

func (p *Pool) pop(key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[key]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[key] = conns[:len(conns)-1]
	return c
}

// put keeps a connection for later requests, unless it must not be used again.
func (p *Pool) put(c *conn, idle clock.Millis) {
	c.until = p.config.Clock.Now() + min(idle-idleMargin, maxIdle)
	p.mu.Lock()
	conns := p.idle[c.key]
	full := len(conns) >= maxIdlePerEndpoint || idle <= idleMargin || c.reader.Buffered() > 0
	if !full {
		p.idle[c.key] = append(conns, c)
	}
	p.mu.Unlock()
	if full {
		_ = c.net.Close()
	}
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, key, address string) (*conn, error) {
	netConn, err := p.config.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	setUserTimeout(netConn)
	return &conn{net: netConn, reader: bufio.NewReaderSize(netConn, readBufferBytes), key: key}, nil
}

// setUserTimeout lets the kernel give up on a peer that no longer answers.
func setUserTimeout(netConn net.Conn) {
	tcp, ok := netConn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/clock.Millisecond))
	})
}

// quiet reports whether an idle connection is open and has nothing to read. The
// endpoint may have closed it, or sent bytes that belong to no request.
func quiet(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.net.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	var peek [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && silent
}
