package keepalive

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
)

// Keys of the metric of connections that yield.
const (
	yieldToConnection = "ForConnection"
	yieldToMemory     = "ForMemory"
	yieldNoRoom       = "NoRoom"
	yieldHeadRefused  = "HeadRefused"
)

const (
	// maxExamined bounds how many connections are examined to find the one that yields. They are
	// chosen at random.
	maxExamined = 64
	// closingPart is how many connections may have been closed and still have goroutines, as a
	// part of the limit: one in so many.
	closingPart = 2
	// stallTime is how long a write takes before its caller counts as one that reads nothing.
	stallTime = clock.Second
	// yieldLogInterval is the time between two log messages about connections that yield.
	yieldLogInterval = 10 * clock.Second
)

// standing is the place of a connection among those that may yield. Those with lower ranks yield
// first, and among them those with a lower order.
type standing struct {
	rank  rank
	order float64
}

type rank int

const (
	// lingering connections have been answered, and end.
	lingering rank = iota
	// late connections have a request that has been arriving for a while, or never came. The one of
	// which least arrived recently yields first.
	late
	// stalled connections have a caller that does not read its answer.
	stalled
	// unused connections wait for their next request. The one that waits longest yields first.
	unused
	// early connections have a request that has only begun to arrive. The one of which most has
	// arrived yields first, since short ones are whole soon, and of two equal ones the older.
	early
	// serving connections have a request that arrived whole and was not answered. They do not yield.
	serving
)

// standing returns the place of the connection. The lock must be held.
func (c *conn) standing(now time.Time) standing {
	switch {
	case c.lingering:
		return standing{rank: lingering}
	case c.idle && c.used:
		return standing{rank: unused, order: -now.Sub(c.idleSince).Seconds()}
	case !c.received && c.progress.isLate(now):
		return standing{rank: late, order: c.progress.rate(now)}
	case !c.received:
		return standing{rank: early, order: -float64(c.progress.total) - now.Sub(c.progress.begun).Seconds()}
	case !c.writingSince.IsZero() && now.Sub(c.writingSince) >= stallTime.Duration():
		return standing{rank: stalled, order: -now.Sub(c.writingSince).Seconds()}
	}
	return standing{rank: serving}
}

// makeRoom makes room for one more connection: if the limit is reached, another one is closed. It
// returns false if none yields. The lock must be held.
func (s *Server) makeRoom() bool {
	limit := s.limits.Connections
	if limit <= 0 || s.open < limit {
		return true
	}
	if len(s.conns) >= limit+max(limit/closingPart, 1) {
		s.recordYield(yieldNoRoom)
		return false
	}
	v := s.victim(serving, func(*conn) bool { return true })
	if v == nil || !v.yieldConnection() {
		s.recordYield(yieldNoRoom)
		return false
	}
	s.open--
	s.recordYield(yieldToConnection)
	return true
}

// victim returns the connection that yields first of those that a filter accepts and that have a rank
// below a limit, nil if there is none. The lock must be held. The filter is called with that of the
// connection.
func (s *Server) victim(below rank, accepts func(c *conn) bool) (first *conn) {
	now, least, examined := time.Now(), standing{rank: below}, 0
	for c := range s.conns {
		if at, eligible := c.examine(now, accepts); eligible && compareStanding(at, least) < 0 {
			first, least = c, at
		}
		if examined++; examined >= maxExamined && first != nil {
			break
		}
	}
	return first
}

// examine returns the place of the connection, unless it is leaving already.
func (c *conn) examine(now time.Time, accepts func(c *conn) bool) (at standing, eligible bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving || !accepts(c) {
		return at, false
	}
	return c.standing(now), true
}

func compareStanding(a, b standing) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.order, b.order))
}

// yieldConnection closes the connection for another one, or lets it end if it has no request. It
// returns false if a request has arrived in the meantime. The lock of the Server must be held, which
// counts the connection out.
func (c *conn) yieldConnection() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.standing(time.Now()).rank
	if c.leaving || at == serving {
		return false
	}
	c.leaving = true
	if at == unused {
		// The next request may have been read already.
		c.ending = true
		c.wakeIfEnding()
		return true
	}
	c.yielded = true
	_ = c.Conn.Close()
	return true
}

// Reclaim makes one request yield that has not arrived whole, the one of which least arrived recently
// among those that hold much. Its handler gets errors of its body from then on, and Yielded tells it
// why. A connection whose head has not arrived is closed.
func (s *Server) Reclaim() {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.victim(stalled, func(c *conn) bool { return c.isArriving(memory.ShortBytes) })
	if v == nil {
		v = s.victim(stalled, func(c *conn) bool { return c.isArriving(0) })
	}
	if v != nil && v.yieldMemory() {
		s.recordYield(yieldToMemory)
	}
}

// isArriving reports whether more than a number of bytes of a request have arrived, which has not yielded
// and was not refused. The lock must be held.
func (c *conn) isArriving(bytes int64) bool {
	return c.progress.total > bytes && !c.yielded && !c.lingering
}

// yieldMemory ends the request that arrives on the connection. It returns false if none does any more.
func (c *conn) yieldMemory() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received || c.idle && c.used {
		return false
	}
	c.yielded = true
	_ = c.Conn.SetReadDeadline(longAgo)
	return true
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// recordYield counts a connection that yields or is refused, and logs some of them.
func (s *Server) recordYield(why string) {
	yields.Add(why, 1)
	now, last := time.Now().UnixMilli(), s.yieldLogged.Load()
	if now-last < int64(yieldLogInterval) || !s.yieldLogged.CompareAndSwap(last, now) {
		return
	}
	eventYield.Log(s.logger, logrus.Fields{"Why": why, "Connections": s.open, "Limit": s.limits.Connections})
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, netConn net.Conn) context.Context {
	if c := unwrap(netConn); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// MarkReceived records that the request with a context has arrived whole. It never yields from then
// on until it is answered. It returns false if it has yielded before; it must not run then.
func MarkReceived(ctx context.Context) bool {
	c, served := ctx.Value(connKey{}).(*conn)
	if !served {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.yielded {
		return false
	}
	c.received = true
	return true
}

// Yielded reports whether the request with a context had to yield before it had arrived whole.
func Yielded(ctx context.Context) bool {
	c, served := ctx.Value(connKey{}).(*conn)
	if !served {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.yielded
}
