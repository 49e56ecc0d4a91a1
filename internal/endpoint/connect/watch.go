package connect

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/path"
	"github.com/banyanshift/banyanshift/internal/peer/forward"
)

const (
	// overdueGrace is added to twice the expected time of an answer before a request
	// counts as overdue.
	overdueGrace = 300 * clock.Millisecond
	// checkInterval is the time between two checks of an endpoint from which nothing is
	// heard.
	checkInterval = clock.Second
)

// errPathBroken ends a request on a connection whose path is broken.
var errPathBroken = errors.New("this daemon no longer reaches the endpoint, but a peer does")

// watch waits for the answer to a request, and checks the path to the endpoint if the
// answer is overdue.
type watch struct {
	connector *Connector
	target    Target
	ctx       context.Context
	cancel    context.CancelCauseFunc
	timer     *time.Timer
	answered  chan struct{}
}

// watch starts to wait for an answer. The context that it returns ends if the path turns
// out to be broken and the request may be repeated.
func (c *Connector) watch(ctx context.Context, target Target) (*watch, context.Context) {
	watched, cancel := context.WithCancelCause(ctx)
	w := &watch{connector: c, target: target, ctx: watched, cancel: cancel, answered: make(chan struct{})}
	w.timer = time.AfterFunc((2*target.ExpectedAnswer + overdueGrace).Duration(), w.loop)
	return w, watched
}

// stop ends the wait.
func (w *watch) stop() {
	w.timer.Stop()
	close(w.answered)
}

// loop checks the path until the answer arrives or the path is found to be broken.
func (w *watch) loop() {
	ticker := time.NewTicker(checkInterval.Duration())
	defer ticker.Stop()
	for {
		if w.connector.isSilent(w.ctx, w.target) {
			w.end()
			return
		}
		select {
		case <-w.answered:
			return
		case <-w.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// end ends the request if it may be repeated and has not been answered meanwhile.
func (w *watch) end() {
	select {
	case <-w.answered:
		return
	default:
	}
	if w.target.Repeatable {
		w.cancel(errPathBroken)
	}
}

// check finds out whether this daemon reaches an endpoint. A path is broken if a peer
// reaches the endpoint and this daemon does not.
type check struct {
	done   chan struct{}
	broken bool
	// silent is set if the endpoint did not refuse the dial either.
	silent bool
	// refused is set if the endpoint refused the dial and no peer reaches it.
	refused bool
}

// IsDown reports whether an endpoint refuses the connections of this daemon, and no peer
// that is asked reaches it.
func (c *Connector) IsDown(ctx context.Context, target Target) bool {
	return c.check(ctx, target).refused
}

// isSilent reports whether nothing from an endpoint arrives here, though a peer reaches it.
func (c *Connector) isSilent(ctx context.Context, target Target) bool {
	if c.heardWithin(target.Endpoint, checkInterval) {
		return false
	}
	made := c.check(ctx, target)
	return made.broken && made.silent
}

// check checks the path to an endpoint, or waits for the check that is under way.
func (c *Connector) check(ctx context.Context, target Target) *check {
	c.mu.Lock()
	running := c.checks[target.Endpoint]
	if running != nil {
		c.mu.Unlock()
		<-running.done
		return running
	}
	made := &check{done: make(chan struct{})}
	c.checks[target.Endpoint] = made
	c.mu.Unlock()
	c.checkPath(ctx, target, made)
	c.mu.Lock()
	delete(c.checks, target.Endpoint)
	c.mu.Unlock()
	close(made.done)
	return made
}

// checkPath dials the endpoint and, if that fails, asks peers.
func (c *Connector) checkPath(ctx context.Context, target Target, made *check) {
	d := c.startDial(target.Endpoint, target.Address)
	own, err := d.wait(ctx)
	if err == nil {
		own.Release()
		return
	}
	made.silent = d.isSilent()
	wasBroken := c.way(target.Endpoint) == path.ThroughPeer
	reached, refused := c.askWhetherReached(ctx, target)
	made.broken = reached || wasBroken
	made.refused = !reached && (isRefused(err) || wasBroken && refused)
	if reached && !wasBroken {
		c.recordBroken(target.Endpoint, made.silent)
	}
}

// askWhetherReached asks peers whether they reach an endpoint. refused is set if one of them
// says that it does not.
func (c *Connector) askWhetherReached(ctx context.Context, target Target) (reached, refused bool) {
	for _, peer := range c.choosePeers(target) {
		conn, err := c.open(ctx, peer.Address, target)
		if err == nil {
			conn.Cancel()
			c.recordForwardEnded(peer.Address)
			return true, false
		}
		var refusal *forward.Refusal
		if errors.As(err, &refusal) && refusal.Code == forward.Unreachable {
			refused = true
		}
	}
	return false, refused
}

// isRefused reports whether nothing listens at the address of a dial.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// pathRecheck checks the path to an endpoint after an open connection to it has failed
// without an answer, so that requests are not sent on others that fail in the same way.
type pathRecheck struct {
	connector *Connector
	target    Target
}

func (l *pathRecheck) run() {
	l.connector.check(context.Background(), l.target)
}
