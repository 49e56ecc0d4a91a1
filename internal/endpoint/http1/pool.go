// Package http1 is an HTTP/1.1 client for endpoints with a pool of idle
// connections. Each connection carries one request at a time.
//
// Answers are read by package response. Unlike the standard library's transport, this
// one never resends a request by itself, checks that an idle connection is open and has no unread bytes
// before reusing it, and reports with every error whether bytes of the request
// may have reached the endpoint.
//
// A faulty endpoint may send an earlier answer again when it has read the next request
// on a connection. So an answer is believed if it repeats the ID of the request, or if it
// is an error without an ID and the first answer on its connection. All others are
// discarded, and the client reads on. If no answer with the ID follows, the request
// may have run. A connection that has brought a refusal is not used again.
//
// An answer that has neither a length nor chunks ends with its connection, also if the process
// of the endpoint ends before it has written the rest. Its end is one only if the incarnation
// that the connection led to is still there afterwards.
//
// # Usage
//
//	pool := http1.New(http1.Config{Clock: clk, AnsweredID: answeredID})
//	answer, err := pool.Do(ctx, "i-7f3a91c2", "10.0.0.7:8080", http1.Request{Method: "GET", Head: head, Deadline: deadline})
//	var requestError *http1.RequestError
//	if errors.As(err, &requestError) && !requestError.Sent { ... the request cannot have run ... }
//	defer answer.Close()
//	n, err := answer.Read(buf)
package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/tcp"
	"github.com/banyanshift/banyanshift/internal/wire/response"
)

const (
	// dialTimeout bounds opening a connection. TCP resends a lost SYN packet after
	// one second.
	dialTimeout = 1200 * clock.Millisecond
	// maxIdleTime is the longest time that a connection stays idle, even if
	// the endpoint allows more.
	maxIdleTime = 20 * clock.Second
	// idleMargin is subtracted from the endpoint's idle timeout, so that a
	// connection is not reused just as the endpoint closes it.
	idleMargin = 700 * clock.Millisecond
	// defaultIdleTime is the assumed idle timeout of an endpoint that does not
	// send one.
	defaultIdleTime = 4 * clock.Second
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 16
	readBufferBytes    = 4 << 10
)

// Config configures a Pool. Clock and AnsweredID must be set.
type Config struct {
	Clock clock.Clock
	// AnsweredID returns the ID of the request that an answer names, empty if it names
	// none.
	AnsweredID func(header http.Header) string
	// Listed returns the incarnation of the endpoint with a key, as far as is known; 0 if none
	// is. It may be nil.
	Listed func(key string) int64
	// ConfirmEnd returns an error unless the incarnation that began an answer is still there. It
	// is called when an answer has ended with its connection, since the answer of an endpoint
	// whose process ends looks the same. It may be nil.
	ConfirmEnd func(ctx context.Context, process Process) error
	// Memory bounds the heads of answers. It may be nil.
	Memory *memory.Budget
	// Dial replaces the dialer in tests. It may be nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool sends requests to endpoints and keeps idle connections for reuse. It is
// safe for concurrent use.
type Pool struct {
	config Config

	mu   sync.Mutex
	idle map[string][]*Conn
}

// Process is the process of an endpoint to which a connection leads.
type Process struct {
	Key, Address string
	// Incarnation is the one that was listed before the connection was opened, 0 if none was.
	Incarnation int64
}

// Conn is one connection to an endpoint. It carries one request at a time.
type Conn struct {
	pool    *Pool
	netConn net.Conn
	// strict reads the answers from netConn, and reader buffers what it returns.
	strict  *response.Conn
	reader  *bufio.Reader
	process Process
	// heard is set once an answer has arrived.
	heard bool
	// openedAt is when the connection was opened.
	openedAt clock.Millis
	// expiresAt is the time from which an idle connection must not be reused.
	expiresAt clock.Millis
}

// New returns an empty Pool.
func New(config Config) *Pool {
	if config.Dial == nil {
		config.Dial = tcp.Dial
	}
	return &Pool{config: config, idle: make(map[string][]*Conn)}
}

// CloseIdleExcept closes the idle connections to endpoints for which keep
// returns false.
func (p *Pool) CloseIdleExcept(keep func(key string) bool) {
	p.mu.Lock()
	var dropped []*Conn
	for key, conns := range p.idle {
		if !keep(key) {
			dropped = append(dropped, conns...)
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, c := range dropped {
		c.Close()
	}
}

// listed returns the incarnation of an endpoint, 0 if none is known.
func (p *Pool) listed(key string) int64 {
	if p.config.Listed == nil {
		return 0
	}
	return p.config.Listed(key)
}

// Take removes a usable idle connection to the endpoint with the given key from the
// pool and returns it, or nil if there is none. It closes unusable ones, and those that
// may lead to an earlier incarnation of the endpoint.
func (p *Pool) Take(key string) *Conn {
	listed := p.listed(key)
	for {
		c := p.popIdle(key)
		if c == nil {
			return nil
		}
		isOfListed := listed == 0 || c.process.Incarnation == listed
		if isOfListed && p.config.Clock.Now() < c.expiresAt && isOpenAndQuiet(c) {
			return c
		}
		_ = c.strict.Close()
	}
}

func (p *Pool) popIdle(key string) *Conn {
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

// putIdle adds a connection to the pool. It closes the connection instead if
// the pool has enough for the endpoint, idleTime is too short, or unread bytes
// are buffered. The deadline of the last request is removed.
func (p *Pool) putIdle(c *Conn, idleTime clock.Millis) {
	if err := c.netConn.SetDeadline(time.Time{}); err != nil {
		_ = c.strict.Close()
		return
	}
	c.strict.Release()
	c.expiresAt = p.config.Clock.Now() + min(idleTime-idleMargin, maxIdleTime)
	p.mu.Lock()
	conns := p.idle[c.process.Key]
	unusable := len(conns) >= maxIdlePerEndpoint || idleTime <= idleMargin || c.buffered() > 0
	if !unusable {
		p.idle[c.process.Key] = append(conns, c)
	}
	p.mu.Unlock()
	if unusable {
		_ = c.strict.Close()
	}
}

// buffered returns how many bytes have been read from the connection that belong to no answer yet.
func (c *Conn) buffered() int {
	return c.reader.Buffered() + c.strict.Buffered()
}

// OpenedAt returns when the connection was opened.
func (c *Conn) OpenedAt() clock.Millis {
	return c.openedAt
}

// Release returns a connection to the pool that has not been used since it was opened or taken.
func (c *Conn) Release() {
	idleTime := defaultIdleTime
	if c.expiresAt > 0 {
		idleTime = min(idleTime, c.expiresAt+idleMargin-c.pool.config.Clock.Now())
	}
	c.pool.putIdle(c, idleTime)
}

// Close closes a connection that is not to be used.
func (c *Conn) Close() {
	_ = c.strict.Close()
}

// CloseIdle closes the idle connections to the endpoint with the given key.
func (p *Pool) CloseIdle(key string) {
	p.mu.Lock()
	dropped := p.idle[key]
	delete(p.idle, key)
	p.mu.Unlock()
	for _, c := range dropped {
		c.Close()
	}
}

// Dial opens a connection to the endpoint with the given key and address, within
// dialTimeout.
func (p *Pool) Dial(ctx context.Context, key, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
	defer cancel()
	process := Process{Key: key, Address: address, Incarnation: p.listed(key)}
	netConn, err := p.config.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	strict := response.NewConn(netConn, p.config.Memory)
	return &Conn{pool: p, netConn: netConn, strict: strict, reader: bufio.NewReaderSize(strict, readBufferBytes), process: process, openedAt: p.config.Clock.Now()}, nil
}

// isOpenAndQuiet reports whether an idle connection is open and has no unread
// bytes. The endpoint may have closed it, or sent bytes that belong to no
// request.
func isOpenAndQuiet(c *Conn) bool {
	if c.buffered() > 0 {
		return false
	}
	tcp, ok := c.netConn.(*net.TCPConn)
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
