// Package keepalive serves callers over HTTP/1 and counts their connections by state.
//
// # Usage
//
//	server := keepalive.New(&http.Server{Handler: handler}, logger)
//	go server.Serve(listener) // nil after Shutdown or Close
//	...
//	server.Drain()              // IsDraining reports true from now on
//	err := server.Shutdown(ctx) // ends idle connections and waits for the others
//	server.Close()              // closes what is left
//
// A handler that answers while the Server drains sets "Connection: close", so that callers do
// not send the next request on a connection that is about to end.
package keepalive

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// Server is an HTTP server for callers.
type Server struct {
	http     *http.Server
	logger   logrus.FieldLogger
	draining atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a Server that serves with an http.Server, whose hook ConnState it sets.
func New(server *http.Server, logger logrus.FieldLogger) *Server {
	s := &Server{http: server, logger: logger, conns: make(map[*conn]struct{})}
	server.ConnState = s.recordState
	return s
}

// Serve accepts connections until Shutdown or Close. They use TLS if the http.Server has a
// configuration for it.
func (s *Server) Serve(inner net.Listener) error {
	err := s.http.Serve(s.withTLS(&listener{Listener: inner, server: s}))
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Server) withTLS(l net.Listener) net.Listener {
	if s.http.TLSConfig == nil {
		return l
	}
	return tls.NewListener(l, s.http.TLSConfig)
}

// Drain announces that the Server is about to shut down.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// IsDraining reports whether answers are to announce the end of their connections.
func (s *Server) IsDraining() bool {
	return s.draining.Load()
}

// Shutdown stops accepting, ends idle connections, and waits until the others have ended or ctx
// ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	eventShutdown.Log(s.logger, s.countConnections().fields())
	err := s.http.Shutdown(ctx)
	if err != nil {
		eventAbandoned.Log(s.logger, s.countConnections().fields())
	}
	return err
}

// Close closes the listener and all connections, whatever they are doing.
func (s *Server) Close() error {
	return s.http.Close()
}

// add registers an accepted connection.
func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// recordState follows the state of a connection as net/http sees it.
func (s *Server) recordState(netConn net.Conn, state http.ConnState) {
	c := unwrap(netConn)
	if c == nil {
		return
	}
	switch state {
	case http.StateIdle:
		c.setIdle()
	case http.StateClosed, http.StateHijacked:
		s.remove(c)
	case http.StateNew, http.StateActive:
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
