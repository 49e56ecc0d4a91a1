package keepalive

import (
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
)

// While the Server shuts down, a connection ends if it has been idle for some time. A caller that
// has just connected, or has just got an answer that did not announce the end, may be sending.
const (
	firstRequestTime = clock.Second
	nextRequestTime  = 500 * clock.Millisecond
)

// conn is a connection of a caller.
type conn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// requested is set once the head of a request has been read, and used once one has been
	// answered.
	requested, used bool
	// idle is set while nothing of the next request has been read, as far as that is known.
	idle bool
	// idleSince is when the connection was accepted or the last answer ended, or when the last
	// bytes came of which nobody knows yet whether they belong to a request.
	idleSince time.Time
	// busySince is when the first bytes of the last request were read, and headRead is set once
	// its head has been.
	busySince time.Time
	headRead  bool
	// answering is set once something of the answer to the last request was written.
	answering bool
	// ending is set when the connection is to end as soon as nothing waits to be read.
	ending bool
	// readDeadline is the one that net/http has set.
	readDeadline time.Time
	// received is set once the last request has arrived whole, and progress follows what has of one
	// that is arriving.
	received bool
	progress progress
	// yielded is set once the request must not arrive any further, and leaving once the connection no
	// longer counts as open: it was closed, or ends since another one needs its place.
	yielded, leaving bool
	// lingering is set once the sending side has ended, and writingSince when a write began that has
	// not ended.
	lingering    bool
	writingSince time.Time

	// head is what the head of the request takes that is read, headSize its size so far, and
	// bodyReads the number of reads since its end. Only the goroutine of the connection uses them.
	head      memory.Reservation
	headSize  headSize
	bodyReads int
}

// newConn returns a connection of a Server, nil if there is no room for it.
func newConn(inner net.Conn, server *Server) *conn {
	now := time.Now()
	c := &conn{Conn: inner, server: server, idle: true, idleSince: now, progress: progress{begun: now}}
	if budget := server.limits.Memory; budget != nil {
		c.head = budget.Reserve(memory.Head)
	}
	if !server.add(c) {
		return nil
	}
	return c
}

// NetConn returns the connection that c wraps, like the method of tls.Conn.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It returns io.EOF if the connection ends, which it does only if
// nothing waits to be read.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.endsNow() {
		n, err = c.readWaiting(p)
	}
	if n == 0 {
		return n, err
	}
	if isHead := c.recordRead(n); !isHead {
		c.shareProcessor()
		return n, err
	}
	if !c.reserveHead(p[:n]) {
		return 0, c.refuseHead()
	}
	return n, err
}

// readsPerTurn is how many reads of a body the goroutine of a connection makes before others have their
// turn. Bodies in small chunks cost much more time than their bytes.
const readsPerTurn = 8

// shareProcessor lets other goroutines run now and then.
func (c *conn) shareProcessor() {
	c.bodyReads++
	if c.bodyReads%readsPerTurn == 0 {
		runtime.Gosched()
	}
}

// endsNow reports whether a read deadline that has passed ends the connection, because it was idle
// for too long or the Server shuts down. The limit for reading a first request is no such deadline.
func (c *conn) endsNow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle && (c.used || c.ending && !time.Now().Before(c.expiry()))
}

// readWaiting reads what has arrived, without waiting for more. If nothing has, it tells the caller
// at once that the connection ends, before this goroutine comes to close it.
func (c *conn) readWaiting(p []byte) (n int, err error) {
	raw, err := rawConn(c.Conn)
	if err != nil {
		return 0, err
	}
	// The lock keeps end from setting a deadline meanwhile.
	c.mu.Lock()
	defer c.mu.Unlock()
	// An expired deadline would fail every read.
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		n, readErr = readNow(int(fd), p)
		if readErr != nil && c.server.tls == nil {
			_ = syscall.Shutdown(int(fd), syscall.SHUT_WR)
		}
		return true
	})
	if err != nil || readErr != nil || n <= 0 {
		return 0, io.EOF
	}
	c.server.lastReads.Add(1)
	return n, nil
}

// recordRead records that bytes have been read, and reports whether they may belong to the head of a
// request. Under TLS the first ones are those of the handshake, so that the connection stays idle
// until the head of a request has been read.
func (c *conn) recordRead(count int) (isHead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server.tls != nil && !c.requested {
		c.idleSince = time.Now()
		c.wakeIfEnding()
		c.progress.add(count, c.idleSince)
		return true
	}
	c.setBusy()
	if !c.received {
		c.progress.add(count, time.Now())
	}
	return !c.headRead
}

// recordRequest records that the head of a request has been read, which may have come together with
// the request before it.
func (c *conn) recordRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requested = true
	c.setBusy()
	c.headRead = true
}

// setBusy ends the time without a request. The lock must be held.
func (c *conn) setBusy() {
	if !c.idle {
		return
	}
	c.idle, c.answering, c.headRead, c.busySince = false, false, false, time.Now()
	c.received, c.yielded, c.progress = false, false, progress{begun: c.busySince}
	if c.ending {
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.answering, c.writingSince = true, time.Now()
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writingSince = time.Time{}
	c.mu.Unlock()
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	if !c.idle && !c.answering && !c.yielded {
		c.recordUnanswered()
	}
	c.answering = true
	isCounted := !c.leaving
	c.leaving = true
	c.mu.Unlock()
	err := c.Conn.Close()
	if isCounted {
		c.server.recordClosed()
	}
	return err
}

// recordUnanswered records that the connection ends before its request was answered. The lock must
// be held.
func (c *conn) recordUnanswered() {
	unanswered.Add(1)
	eventUnanswered.Log(c.server.logger, logrus.Fields{
		"Caller": c.RemoteAddr().String(), "HeadRead": c.headRead, "SinceRead": time.Since(c.busySince).Milliseconds(),
		"Unread": unreadBytes(c.Conn), "Stopping": c.ending,
	})
}

// CloseWrite ends the sending side of the TCP connection. net/http calls it some time before it
// closes a connection with unread bytes, since a reset can destroy an answer.
func (c *conn) CloseWrite() error {
	c.mu.Lock()
	c.lingering = true
	c.mu.Unlock()
	netConn := c.Conn
	for {
		switch inner := netConn.(type) {
		case interface{ CloseWrite() error }:
			return inner.CloseWrite()
		case interface{ NetConn() net.Conn }:
			netConn = inner.NetConn()
		default:
			return errNoTCP
		}
	}
}

// SetReadDeadline implements net.Conn. The deadline of a connection that is to end stays.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = at
	if c.ending && c.idle {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// setIdle records that the last request has been answered.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used, c.idle, c.idleSince = true, true, time.Now()
	c.head.Release()
	c.headSize, c.bodyReads = headSize{}, 0
	c.wakeIfEnding()
}

// end ends the connection as soon as nothing waits to be read.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.wakeIfEnding()
}

// wakeIfEnding makes an idle connection that is to end return from Read. The lock must be held.
func (c *conn) wakeIfEnding() {
	if !c.ending || !c.idle {
		return
	}
	at := c.expiry()
	if !c.used && !c.readDeadline.IsZero() && c.readDeadline.Before(at) {
		at = c.readDeadline
	}
	_ = c.Conn.SetReadDeadline(at)
}

// expiry returns when the connection ends if it stays idle. The lock must be held.
func (c *conn) expiry() time.Time {
	if c.used {
		return c.idleSince.Add(nextRequestTime.Duration())
	}
	return c.idleSince.Add(firstRequestTime.Duration())
}
