// Package guard lets a connection write only while a lease is held, so that a
// process which was paused and has lost its lease cannot act under it.
//
// Each Write asks the lease immediately before the system call and gives the
// call a deadline within the lease. Large writes are cut into pieces that are
// checked one by one. What the kernel has taken is bounded as well: on TCP
// connections the kernel drops data that the peer has not acknowledged when
// the lease ends (TCP_USER_TIMEOUT), and a connection whose check has failed
// is reset. HTTP libraries write from goroutines of their own, at times of
// their own; that is why the check is in the connection and not in the code
// that makes the request.
//
// # What remains possible
//
// Between the check and the system call lie some hundred nanoseconds. A
// process that is stopped exactly there, and goes on after its lease has been
// taken over, writes one piece late. The chance that one stop of the process
// hits this window of one write is the window divided by the time between
// writes; docs/design/lease.md has it measured. Nor can a sender bound how long
// the peer leaves a received message unread. Receivers that compare fences
// refuse both cases. For receivers that do not, a successor waits out the TTL
// and the longest flight of a message, and repeats its predecessor's open
// messages under their own ids before it sends any of its own, so that a late
// one changes nothing.
//
// # Usage
//
// A Guard is bound to one fence, so that what was prepared under one lease is
// not sent under the next:
//
//	fence, _, ok := l.Valid()
//	g := guard.New(guard.ForFence(l.Valid, fence), clk)
//	client := &http.Client{Transport: g.Transport()}
//
// Transport turns keep-alive off: each request has a connection of its own,
// and the library never sends it a second time on a fresh connection because
// an idle one turned out to be closed. The request's body should be a
// bytes.Reader, so that header and body are serialized before the first byte
// leaves and, up to WriteBufferSize, leave in one system call. A request that
// is cut off in the middle has no effect at a server that reads the whole
// body before it acts.
//
// Other dialers are wrapped:
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

// WriteBufferSize is the size of the write buffer of Transport, and of the
// pieces in which data is written, in bytes.
const WriteBufferSize = 64 << 10

// ErrLeaseNotHeld says that the lease is not held, and that nothing of the piece
// was written.
var ErrLeaseNotHeld = errors.New("guard: lease is not held")

// Validity reports whether writing is allowed now, and until which instant.
type Validity func() (until clock.Millis, ok bool)

// ForFence returns the validity of a lease while it has the fence.
func ForFence(valid func() (fence uint64, until clock.Millis, ok bool), fence uint64) Validity {
	return func() (clock.Millis, bool) {
		current, until, ok := valid()
		return until, ok && current == fence
	}
}

// Guard makes guarded connections.
type Guard struct {
	valid Validity
	clock clock.Clock
}

// New returns a Guard that asks valid, whose instants are of clk.
func New(valid Validity, clk clock.Clock) *Guard {
	return &Guard{valid: valid, clock: clk}
}

// remaining returns how long writing is still allowed, or ErrLeaseNotHeld.
func (g *Guard) remaining() (clock.Millis, error) {
	until, ok := g.valid()
	left := until - g.clock.Now()
	if !ok || left <= 0 {
		return 0, ErrLeaseNotHeld
	}
	return left, nil
}

// Conn returns conn with guarded writes.
func (g *Guard) Conn(conn net.Conn) net.Conn {
	return newConn(g, conn)
}

// DialContext returns a dialer that refuses to dial while the lease is not
// held, gives up when it ends, and guards the connections of dial.
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

// Transport returns an HTTP transport over guarded connections, one for each
// request.
func (g *Guard) Transport() *http.Transport {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	return &http.Transport{
		DialContext:       g.DialContext(dialer.DialContext),
		DisableKeepAlives: true,
		WriteBufferSize:   WriteBufferSize,
	}
}
