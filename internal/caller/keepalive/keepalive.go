// Package keepalive serves callers over HTTP/1 and shuts down without losing a request.
//
// A Server wraps an http.Server and the connections that it accepts. Its Shutdown replaces that
// of http.Server, which closes a kept connection as idle until the head of the next request has
// been parsed, and drops requests whose head it parses later. Here the goroutine that reads a
// connection ends it, and only at a moment at which nothing waits to be read. So whatever has
// been read is answered; only a request that is still under way to the connection can meet its
// end, and no byte of that has been read.
//
// It also bounds what callers make the process hold. A Server has a limit of connections, and each
// connection reserves memory for the head of a request while it is read. While the limit is reached,
// one connection yields to each new one: see victim. While memory is short, Reclaim makes one request
// yield that has not arrived whole. The handler says with MarkReceived when a request has; it never
// yields from then on until it is answered.
//
// # Usage
//
//	server := keepalive.New(&http.Server{Handler: handler}, nil, keepalive.Limits{...}, logger)
//	budget.Reclaim = server.Reclaim
//	go server.Serve(listener) // nil after Shutdown or Close
//	...
//	err := server.Shutdown(ctx) // ends idle connections and waits for the others
//	server.Close()              // closes what is left
//
// The handler is to set "Connection: close" in its answers from some time before Shutdown on, so
// that callers do not send the next request on a connection that is about to end.
package keepalive

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/tcp"
)

// acceptTime is how long connections that were made before a Shutdown are still accepted, so
// that they do not end with the listening socket.
const acceptTime = 100 * clock.Millisecond

// Server is an HTTP server for callers.
type Server struct {
	http   *http.Server
	tls    *tls.Config
	limits Limits
	logger logrus.FieldLogger

	mu    sync.Mutex
	conns map[*conn]struct{}
	// open counts the connections that were not closed. Those that were stay in conns until their
	// goroutines have ended.
	open     int
	listener *listener
	stopping bool
	// empty is closed when the Server is stopping and has no connections.
	empty chan struct{}
	// lateAccepts and lastReads count what a shutdown has found waiting: connections, and
	// requests on connections that were about to end.
	lateAccepts, lastReads atomic.Int64
	// yieldLogged is when it was last logged that connections yield, in Unix milliseconds.
	yieldLogged atomic.Int64
}

// Limits bounds what the connections of a Server hold.
type Limits struct {
	// Connections is how many may be open, 0 for any number.
	Connections int
	// Memory is the budget for the heads of requests, nil if they are not counted.
	Memory *memory.Budget
}

// New returns a Server that serves with an http.Server, whose hooks ConnState and ConnContext it
// sets. The configuration of TLS is nil for unencrypted connections.
func New(server *http.Server, config *tls.Config, limits Limits, logger logrus.FieldLogger) *Server {
	s := &Server{http: server, tls: config, limits: limits, logger: logger, conns: make(map[*conn]struct{}), empty: make(chan struct{})}
	server.ConnState, server.ConnContext = s.recordState, withConn
	return s
}

// backlogPart is how many connections may wait to be accepted, as a part of the limit of connections:
// one in so many, but at least leastBacklog.
const (
	backlogPart  = 4
	leastBacklog = 16
)

// Listen listens at an address with what the limits of a Server assume: the system holds little of each
// connection, and few that were not accepted.
func Listen(ctx context.Context, address string, limits Limits) (net.Listener, error) {
	listener, err := tcp.ListenBuffered(ctx, address, memory.UnreadBytes)
	if err != nil || limits.Connections <= 0 {
		return listener, err
	}
	tcp.LimitBacklog(listener, max(limits.Connections/backlogPart, leastBacklog))
	return listener, nil
}

// Serve accepts connections until Shutdown or Close.
func (s *Server) Serve(inner net.Listener) error {
	l := &listener{Listener: inner, server: s}
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	err := s.http.Serve(s.withTLS(l))
	s.endedAccepting(l)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Server) withTLS(l net.Listener) net.Listener {
	if s.tls == nil {
		return l
	}
	return tls.NewListener(l, s.tls)
}

// Shutdown stops accepting, ends idle connections, and waits until the others have ended or ctx
// ends.
func (s *Server) Shutdown(ctx context.Context) error {
	eventShutdown.Log(s.logger, s.countConnections().fields())
	started := time.Now()
	s.stop()
	select {
	case <-s.empty:
		eventEnded.Log(s.logger, logrus.Fields{
			"Took": time.Since(started).Milliseconds(), "Accepted": s.lateAccepts.Load(), "LastReads": s.lastReads.Load(), "Unanswered": unanswered.Value(),
		})
		return nil
	case <-ctx.Done():
		eventAbandoned.Log(s.logger, s.countConnections().fields())
		return ctx.Err()
	}
}

// stop ends accepting and every idle connection.
func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return
	}
	s.stopping = true
	if s.listener != nil {
		s.listener.endAccepting(acceptTime)
	}
	for c := range s.conns {
		c.end()
	}
	s.signalIfEmpty()
}

// signalIfEmpty wakes Shutdown if no connection is left. The lock must be held.
func (s *Server) signalIfEmpty() {
	if !s.stopping || len(s.conns) > 0 || s.listener.isAccepting() {
		return
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// Close closes the listener and all connections, whatever they are doing.
func (s *Server) Close() error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	return s.http.Close()
}

// add registers an accepted connection. It returns false if there is no room for it.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.makeRoom() {
		return false
	}
	s.conns[c] = struct{}{}
	s.open++
	if s.stopping {
		s.lateAccepts.Add(1)
		c.end()
	}
	return true
}

// recordClosed is called once when a connection has been closed.
func (s *Server) recordClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// remove is called when nothing uses a connection any more.
func (s *Server) remove(c *conn) {
	c.head.Release()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.signalIfEmpty()
}

// endedAccepting is called when net/http accepts no more connections of a listener and has let it go.
func (s *Server) endedAccepting(l *listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.ended.Store(true)
	s.signalIfEmpty()
}

// recordState follows the state of a connection as net/http sees it.
func (s *Server) recordState(netConn net.Conn, state http.ConnState) {
	c := unwrap(netConn)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.recordRequest()
	case http.StateIdle:
		c.setIdle()
	case http.StateClosed, http.StateHijacked:
		s.remove(c)
	case http.StateNew:
	}
}

// unwrap finds the conn below TLS and other wrappers, nil if there is none.
func unwrap(netConn net.Conn) *conn {
	for {
		switch c := netConn.(type) {
		case *conn:
			return c
		case interface{ NetConn() net.Conn }:
			netConn = c.NetConn()
		default:
			return nil
		}
	}
}
