// Package hostile has clients that misbehave, and watches what they make a process hold.
//
// Clients is a number of clients with one Behavior. Each connects again shortly after its
// connection has ended, until Stop.
//
// # Usage
//
//	c := hostile.Start(address, 300, hostile.EndlessChunks(head))
//	defer c.Stop()
//	watch := hostile.Watch{PID: pid, Address: address, Interval: 5 * clock.Millisecond}
//	watch.Start()
//	...
//	peak, err := watch.Stop()
package hostile

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// comesAgainIn is the time between the end of a client's connection and its next one.
const comesAgainIn = 50 * clock.Millisecond

// Behavior is what a client does with a connection. It returns once the connection has ended,
// which Clients.Stop brings about.
type Behavior func(conn net.Conn)

// Clients is a number of clients with one Behavior.
type Clients struct {
	address  string
	behavior Behavior
	ctx      context.Context
	cancel   context.CancelFunc
	clients  sync.WaitGroup
}

// Start starts a number of clients of the server at an address.
func Start(address string, size int, behavior Behavior) *Clients {
	c := &Clients{address: address, behavior: behavior}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.Grow(size)
	return c
}

// Grow adds a number of clients.
func (c *Clients) Grow(size int) {
	for range size {
		c.clients.Go(c.run)
	}
}

// Stop ends all connections and waits for the clients.
func (c *Clients) Stop() {
	c.cancel()
	c.clients.Wait()
}

// run keeps one client connected.
func (c *Clients) run() {
	for c.ctx.Err() == nil {
		c.visit()
		select {
		case <-c.ctx.Done():
		case <-time.After(comesAgainIn.Duration()):
		}
	}
}

// visit makes one connection. It ends with a reset, which leaves no state in the system.
func (c *Clients) visit() {
	conn, err := (&net.Dialer{}).DialContext(c.ctx, "tcp", c.address)
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(c.ctx, func() { _ = conn.Close() })()
	c.behavior(conn)
}
