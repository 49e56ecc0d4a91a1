// Package connect finds a way to an endpoint: over a connection of this daemon's own, or
// through a peer if the daemon's own path is broken.
//
// Package path decides; this package dials, asks peers and watches requests that wait. A
// dial that stays silent for dialPatience goes on in the background while peers are asked,
// since nothing has been sent on it. An open connection is used as long as it works. If a
// request on it waits much longer than expected, the Connector dials the endpoint to see
// whether it is slow or cannot be reached. If it cannot, but a peer reaches it, the idle
// connections to it are closed and requests that may be repeated are ended, so that
// they are sent again another way. An endpoint that is silent for everyone ends nothing.
//
// # Usage
//
//	connector := connect.New(connect.Config{Clock: clk, Logger: logger, Pool: pool, ...})
//	connection, err := connector.Connect(ctx, connect.Target{Endpoint: "i-7f3a91c2", Address: "10.0.1.9:8080"})
//	answer, err := connection.Do(ctx, request)
package connect

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/path"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
	"github.com/banyanshift/banyanshift/internal/peer/forward"
)

const (
	// dialPatience is how long a dial to an endpoint may be silent before another way is
	// tried. It is longer than a VM pauses that has used up its processor quota.
	dialPatience = 120 * clock.Millisecond
	// peerPatience is how long a peer may take to answer whether it reaches an endpoint.
	// It includes the dialPatience of the peer.
	peerPatience = 200 * clock.Millisecond
)

// Config configures a Connector. All fields must be set.
type Config struct {
	Clock  clock.Clock
	Logger logrus.FieldLogger
	Pool   *http1.Pool
	// Open asks a peer whether it reaches an endpoint.
	Open func(ctx context.Context, peer string, target forward.Target) (*forward.Conn, error)
	// Peers returns the other daemons that are believed to be alive.
	Peers func() []path.Peer
	// FailureDomain is the failure domain of this daemon.
	FailureDomain string
	Rand          *rand.Rand
	Report        ReportCall
}

// Target is the endpoint that a request is to reach.
type Target struct {
	Endpoint      string
	Address       string
	FailureDomain string
	// ExpectedAnswer is the expected time to the first byte of the answer.
	ExpectedAnswer clock.Millis
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// BodyBytes is the length of the request's body.
	BodyBytes int
}

func (t Target) forward() forward.Target {
	return forward.Target{Endpoint: t.Endpoint, Address: t.Address, BodyBytes: t.BodyBytes}
}

// Connection is a way to an endpoint that is ready for one request.
type Connection struct {
	// Peer is the address of the peer that forwards the request, "" if none does.
	Peer string
	// OpenedAt is when the connection was opened. It may be older if a peer forwards the request.
	OpenedAt clock.Millis
	// Ask asks the endpoint a question before the request, on the connection that the request
	// uses then. Unless the reply says that the connection is open, the way must not be used any
	// more. The error is a *http1.RequestError.
	Ask func(ctx context.Context, question http1.Request) (http1.Reply, error)
	// Do sends a request and reads the status and header of its answer. The error is a
	// *http1.RequestError.
	Do func(ctx context.Context, request http1.Request) (*http1.Answer, error)
	// Cancel gives the way up without a request.
	Cancel func()
}

// Connector finds ways to endpoints. It is safe for concurrent use.
type Connector struct {
	config Config

	mu    sync.Mutex
	table *path.Table
	rng   *rand.Rand
	// checks holds the checks of silent endpoints that are under way, and probes counts
	// the probes.
	checks map[string]*check
	probes int
}

// New returns a Connector.
func New(config Config) *Connector {
	return &Connector{config: config, table: path.New(), rng: config.Rand, checks: make(map[string]*check)}
}

// Connect returns a way to an endpoint. ctx bounds the wait. The error is a
// *http1.RequestError, and the request has not been sent.
func (c *Connector) Connect(ctx context.Context, target Target) (connection Connection, err error) {
	defer func() {
		if err != nil {
			connections.Add("Failed", 1)
			err = &http1.RequestError{DialFailed: true, Cause: err}
		}
	}()
	if idle := c.config.Pool.Take(target.Endpoint); idle != nil {
		connections.Add("Idle", 1)
		return c.useIdle(ctx, target, idle)
	}
	if c.way(target.Endpoint) == path.ThroughPeer {
		c.probe(target.Endpoint, target.Address)
		return c.throughPeer(ctx, target)
	}
	d := c.startDial(target.Endpoint, target.Address)
	if own, err := d.wait(ctx); err == nil {
		return c.direct(own, target), nil
	}
	return c.askPeers(ctx, target, d)
}

// useIdle returns the way over an open connection. If other paths of this daemon have just
// broken, it first dials the endpoint, since a request that is sent on a connection that has
// lost its path may not be sent again.
func (c *Connector) useIdle(ctx context.Context, target Target, idle *http1.Conn) (Connection, error) {
	if !c.isDoubtful(target.Endpoint) {
		return c.direct(idle, target), nil
	}
	d := c.startDial(target.Endpoint, target.Address)
	opened, err := d.wait(ctx)
	if err == nil {
		opened.Release()
		return c.direct(idle, target), nil
	}
	connection, err := c.askPeers(ctx, target, d)
	if err == nil || d.isSilent() {
		idle.Close()
		return connection, err
	}
	return c.direct(idle, target), nil
}

// askPeers asks peers for a way to an endpoint while a dial to it is silent or has failed.
func (c *Connector) askPeers(ctx context.Context, target Target, d *dial) (Connection, error) {
	connection, err := c.throughPeer(ctx, target)
	if err == nil {
		c.recordBroken(target.Endpoint, d.isSilent())
		return connection, nil
	}
	var refusal *forward.Refusal
	if errors.As(err, &refusal) && refusal.Code != forward.Unavailable {
		return Connection{}, errors.Join(d.failure(), err)
	}
	// No peer knows anything of the endpoint.
	own, dialErr := d.waitToEnd(ctx)
	if dialErr != nil {
		return Connection{}, errors.Join(dialErr, err)
	}
	return c.direct(own, target), nil
}

// direct returns the way over a connection of this daemon's own.
func (c *Connector) direct(own *http1.Conn, target Target) Connection {
	do := func(ctx context.Context, request http1.Request) (*http1.Answer, error) {
		w, ctx := c.watch(ctx, target)
		answer, err := own.Do(ctx, request)
		w.stop()
		if err != nil {
			return nil, c.handleNoAnswer(ctx, target, err)
		}
		c.recordHeard(target.Endpoint)
		return answer, nil
	}
	ask := func(ctx context.Context, question http1.Request) (http1.Reply, error) {
		reply, err := own.Ask(ctx, question)
		if reply.Status != 0 {
			c.recordHeard(target.Endpoint)
			return reply, err
		}
		return reply, c.handleNoAnswer(ctx, target, err)
	}
	return Connection{OpenedAt: own.OpenedAt(), Cancel: own.Release, Ask: ask, Do: do}
}

// handleNoAnswer returns the error of a request that got no answer on a connection of this
// daemon's own. Unless the caller has left, it checks the path to the endpoint.
func (c *Connector) handleNoAnswer(ctx context.Context, target Target, err error) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, errPathBroken) {
		return &http1.RequestError{Sent: true, Cause: cause}
	}
	if cause == nil {
		go (&pathRecheck{connector: c, target: target}).run()
	}
	return err
}

// throughPeer returns a way through the first peer that reaches the endpoint.
func (c *Connector) throughPeer(ctx context.Context, target Target) (Connection, error) {
	err := errNoPeer
	for _, peer := range c.choosePeers(target) {
		conn, openErr := c.open(ctx, peer.Address, target)
		if openErr == nil {
			connections.Add("ThroughPeer", 1)
			return c.forwarded(conn, peer.Address), nil
		}
		if ctx.Err() != nil {
			return Connection{}, ctx.Err()
		}
		err = mergeFailures(err, openErr)
	}
	c.recordNoWay(target.Endpoint)
	return Connection{}, err
}

// errNoPeer means that no peer could be asked.
var errNoPeer = errors.New("no peer to ask for a way to the endpoint")

// mergeFailures returns the failure that says most: a peer that has tried to reach the
// endpoint says more than one that could not be asked.
func mergeFailures(before, after error) error {
	var refusal *forward.Refusal
	if errors.As(before, &refusal) && refusal.Code != forward.Unavailable {
		return before
	}
	return after
}

// open asks a peer for a way to the endpoint. If the request ends first, that says nothing of the
// peer.
func (c *Connector) open(ctx context.Context, peer string, target Target) (*forward.Conn, error) {
	patient, cancel := context.WithTimeout(ctx, peerPatience.Duration())
	defer cancel()
	conn, err := c.config.Open(patient, peer, target.forward())
	if err == nil || ctx.Err() == nil {
		c.recordPeer(peer, err)
	}
	return conn, err
}

// forwarded returns the way through a peer that has agreed.
func (c *Connector) forwarded(conn *forward.Conn, peer string) Connection {
	cancel := func() {
		conn.Cancel()
		c.recordForwardEnded(peer)
	}
	ask := func(ctx context.Context, question http1.Request) (http1.Reply, error) {
		reply, err := conn.Ask(ctx, question)
		if !reply.Open {
			c.recordForwardEnded(peer)
		}
		return reply, err
	}
	return Connection{Peer: peer, OpenedAt: c.config.Clock.Now(), Cancel: cancel, Ask: ask, Do: func(ctx context.Context, request http1.Request) (*http1.Answer, error) {
		answer, err := conn.Do(ctx, request)
		if err != nil {
			c.recordForwardEnded(peer)
			return nil, err
		}
		body := &countedBody{Answer: answer, done: func() { c.recordForwardEnded(peer) }}
		return http1.NewAnswer(answer.Status, answer.Header, answer.Length, answer.Ending, body), nil
	}}
}

// countedBody calls done once when the answer is closed.
type countedBody struct {
	*http1.Answer
	done func()
	once sync.Once
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	b.once.Do(b.done)
	b.Answer.Close()
	return nil
}

// ConnectForPeer returns a connection to an endpoint for a request of a peer. Unlike
// Connect, it never asks another peer, and it uses an open connection only if the endpoint
// has just been heard from, since the peer asks because the endpoint may be out of reach.
func (c *Connector) ConnectForPeer(ctx context.Context, target forward.Target) (own *http1.Conn, err error) {
	if c.way(target.Endpoint) == path.ThroughPeer {
		c.probe(target.Endpoint, target.Address)
		return nil, &forward.Refusal{Code: forward.Unreachable, Reason: "this daemon does not reach the endpoint either"}
	}
	if c.isFresh(target.Endpoint) {
		if idle := c.config.Pool.Take(target.Endpoint); idle != nil {
			return idle, nil
		}
	}
	d := c.startDial(target.Endpoint, target.Address)
	own, err = d.wait(ctx)
	if err != nil {
		return nil, &forward.Refusal{Code: forward.Unreachable, Reason: fmt.Sprintf("the endpoint does not answer: %v", err)}
	}
	return own, nil
}

// Keep forgets what is known of endpoints for which known returns false, and closes the idle
// connections to them.
func (c *Connector) Keep(known func(endpoint string) bool) {
	c.config.Pool.CloseIdleExcept(known)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Keep(known)
}
