package connect

import (
	"context"
	"errors"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/path"
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
		if w.connector.isBroken(w.ctx, w.target) {
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

// check finds out whether this daemon reaches an endpoint that is silent.
type check struct {
	done   chan struct{}
	broken bool
}

// isBroken reports whether nothing from an endpoint arrives here, though a peer reaches it.
func (c *Connector) isBroken(ctx context.Context, target Target) bool {
	if c.heardWithin(target.Endpoint, checkInterval) {
		return false
	}
	c.mu.Lock()
	running := c.checks[target.Endpoint]
	if running == nil {
		running = &check{done: make(chan struct{})}
		c.checks[target.Endpoint] = running
		c.mu.Unlock()
		running.broken = c.checkPath(ctx, target)
		c.mu.Lock()
		delete(c.checks, target.Endpoint)
		close(running.done)
	}
	c.mu.Unlock()
	<-running.done
	return running.broken
}

// checkPath dials the endpoint and, if it is silent, asks peers.
func (c *Connector) checkPath(ctx context.Context, target Target) (broken bool) {
	if c.way(target.Endpoint) == path.ThroughPeer {
		return true
	}
	d := c.startDial(target.Endpoint, target.Address)
	own, err := d.wait(ctx, dialPatience)
	if err == nil {
		own.Release()
		return false
	}
	if !d.isSilent() {
		return false
	}
	for _, peer := range c.choosePeers(target) {
		passage, err := c.open(ctx, peer.Address, target)
		if err != nil {
			continue
		}
		passage.Cancel()
		c.recordPassed(peer.Address)
		c.recordBroken(target.Endpoint, true)
		return true
	}
	return false
}
