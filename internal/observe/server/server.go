// Package server serves the metrics and profiles of a process over HTTP, on a
// listener separate from the callers', so that they can be read during overload.
//
// # Usage
//
//	s := server.New("127.0.0.1:8083", logger)
//	err := s.Start() // does nothing if the address is empty
//	defer s.Close()
package server

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"net/http/pprof"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/observe/event"
)

var eventFailed = event.New(1005, logrus.ErrorLevel, "metrics interface failed",
	"Metrics and profiles can no longer be read; callers are not affected.")

// readHeaderTimeout is the maximum time to read the header of a request.
const readHeaderTimeout = 5 * clock.Second

// Server serves expvar metrics and pprof profiles. It is disabled if its address is
// empty.
type Server struct {
	listen string
	logger logrus.FieldLogger
	server *http.Server
}

// New returns a Server for the address listen, which Start opens.
func New(listen string, logger logrus.FieldLogger) *Server {
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	mux.Handle("/metrics", expvar.Handler())
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return &Server{
		listen: listen,
		logger: logger,
		server: &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout.Duration()},
	}
}

// Start opens the listener and serves in the background until Close.
func (s *Server) Start() (err error) {
	defer func() { err = oops.Wrapf(err, "start metrics interface on %s", s.listen) }()
	if s.listen == "" {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.listen)
	if err != nil {
		return err
	}
	go s.run(listener)
	return nil
}

func (s *Server) run(listener net.Listener) {
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		eventFailed.Log(s.logger, logrus.Fields{"Error": err.Error()})
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	return s.server.Close()
}
