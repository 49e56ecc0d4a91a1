// Package guard provides connections that can write only while a lease is held,
// so that a process that was paused and lost its lease cannot act under it.
//
// Each Write checks the lease immediately before the system call and sets a
// deadline for the call no later than the end of the lease. Large writes are
// split into pieces, and each piece is checked. Data that the kernel has
// accepted is limited too: on TCP connections the kernel drops data that the
// peer has not acknowledged when the lease ends (TCP_USER_TIMEOUT), and a
// connection whose check fails is reset. The check is in the connection and not
// in the code that makes the request, because HTTP libraries write from their
// own goroutines at times that the caller does not control.
//
// # Limits of the guarantee
//
// A few hundred nanoseconds pass between the check and the system call. A
// process that is stopped exactly there and resumes after its lease was taken
// over writes one piece late. The probability that one stop of the process hits
// this window is the length of the window divided by the time between writes;
// docs/design/lease.md has measurements. Nor can a sender limit how long the
// peer leaves a received message unread. Receivers that compare fences refuse
// the message in both cases. For receivers that do not, a successor waits for
// the TTL and the longest transit time of a message, and repeats the open
// messages of its predecessor under their original ids before it sends its own,
// so that a late message changes nothing.
//
// # Usage
//
// A Guard is bound to one fence, so that a message prepared under one lease is
// not sent under the next:
//
//	fence, _, ok := l.Valid()
//	g := guard.New(guard.ForFence(l.Valid, fence), clk)
//	client := &http.Client{Transport: g.Transport()}
//
// Transport disables keep-alive: each request uses a new connection, so the
// library never resends a request because an idle connection was closed. The
// request's body should be a bytes.Reader, so that header and body are
// serialized before the first byte is sent and, up to WriteBufferSize, are sent
// in one system call. A request that is cut off in the middle has no effect at a
// server that reads the whole body before it acts.
//
// DialContext wraps other dialers:
//
//	transport.DialContext = g.DialContext(dialer.DialContext)
package guard

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// WriteBufferSize is the size in bytes of Transport's write buffer and the
// maximum size of the pieces into which Write splits its data.
const WriteBufferSize = 64 << 10

// ErrLeaseNotHeld is returned when the lease is not held. Nothing of the piece
// that failed the check was written.
var ErrLeaseNotHeld = errors.New("guard: lease is not held")

// Validity reports whether writing is allowed now and until which instant.
type Validity func() (until clock.Millis, ok bool)

// ForFence returns a Validity that holds while valid reports the given fence.
func ForFence(valid func() (fence uint64, until clock.Millis, ok bool), fence uint64) Validity {
	return func() (clock.Millis, bool) {
		current, until, ok := valid()
		return until, ok && current == fence
	}
}

// Guard creates connections that write only while the lease is held.
type Guard struct {
	valid Validity
	clock clock.Clock
}

// New returns a Guard that checks valid, which returns instants of clk.
func New(valid Validity, clk clock.Clock) *Guard {
	return &Guard{valid: valid, clock: clk}
}

// remaining returns how much longer writing is allowed, or ErrLeaseNotHeld.
func (g *Guard) remaining() (clock.Millis, error) {
	until, ok := g.valid()
	left := until - g.clock.Now()
	if !ok || left <= 0 {
		return 0, ErrLeaseNotHeld
	}
	return left, nil
}

// Conn returns a connection that writes to conn only while the lease is held.
func (g *Guard) Conn(conn net.Conn) net.Conn {
	return newConn(g, conn)
}

// DialContext wraps dial. The returned function fails while the lease is not
// held, cancels the dial when the lease ends, and guards the new connection.
func (g *Guard) DialContext(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		left, err := g.remaining()
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, left.Duration())
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return g.Conn(conn), nil
	}
}

// Transport returns an HTTP transport that uses a new guarded connection for
// each request.
func (g *Guard) Transport() *http.Transport {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	return &http.Transport{
		DialContext:       g.DialContext(dialer.DialContext),
		DisableKeepAlives: true,
		WriteBufferSize:   WriteBufferSize,
	}
}
