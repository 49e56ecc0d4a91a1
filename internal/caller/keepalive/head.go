package keepalive

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
)

const (
	// copiesPerByte and bytesPerLine are what reading and parsing a head takes: each byte is held
	// more than once, and each field is an entry of a map.
	copiesPerByte = 2
	bytesPerLine  = 256
	// copiesUnderTLS is the same for each byte under TLS, where lines cannot be counted.
	copiesUnderTLS = 8
	// headStepBytes is the granularity of reservations for heads.
	headStepBytes = 4 << 10
	// headWait limits how long a head waits for memory. It is shorter than the second in which
	// callers expect their requests to be read.
	headWait = 500 * clock.Millisecond
)

// discardTime is how long the rest of a refused head is read, so that the answer is not lost with a reset.
const discardTime = 100 * clock.Millisecond

// headUnavailable is the answer to a request for whose head there is no memory.
const headUnavailable = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"

// errNoMemory means that the head of a request does not fit into the memory that is left.
var errNoMemory = errors.New("keepalive: no memory left for the head of a request")

// headSize is the size of the part of a head that has been read.
type headSize struct {
	bytes, lines int
	// reserved is the memory that was reserved for it.
	reserved int
}

// cost returns the memory that the head takes, in bytes.
func (h headSize) cost(isTLS bool) int {
	if isTLS {
		return h.bytes * copiesUnderTLS
	}
	return h.bytes*copiesPerByte + h.lines*bytesPerLine
}

// reserveHead reserves memory for a part of a head, and waits for it if there is none.
func (c *conn) reserveHead(part []byte) bool {
	if c.server.limits.Memory == nil {
		return true
	}
	c.headSize.bytes += len(part)
	c.headSize.lines += bytes.Count(part, []byte{'\n'})
	missing := c.headSize.cost(c.server.tls != nil) - c.headSize.reserved
	if missing <= 0 {
		return true
	}
	step := (missing + headStepBytes - 1) / headStepBytes * headStepBytes
	if !c.head.Grow(context.Background(), step, headWait) {
		return false
	}
	c.headSize.reserved += step
	return true
}

// refuseHead answers a request for whose head there is no memory. The error makes net/http close the
// connection without an answer of its own.
func (c *conn) refuseHead() error {
	yields.Add(yieldHeadRefused, 1)
	if c.server.tls == nil {
		_, _ = io.WriteString(c, headUnavailable)
		c.discardRest()
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: errors.Join(errNoMemory, syscall.ENOBUFS)}
}

// discardRest ends the sending side and reads for some time what still comes.
func (c *conn) discardRest() {
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(discardTime.Duration()))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, memory.UnreadBytes))
}
