// Package entry is the HTTP interface for callers up to the point where the
// kinds of request part ways: connections and their limits, the request's
// identity, the caller's key, and errors.
//
// A request passes a line of filters. Each takes the Exchange, adds what it
// finds, and ends the line by returning a *request.Refusal:
//
//	admit -> authenticate -> read body -> classify -> forward -> meter
//
// # Usage
//
//	server := entry.New(entry.Dependencies{...})
//	server.Handle("POST", "/v1/chat/completions", chat.Serve)
//	server.HandleUnmatched(plain.Serve)
//	if err := server.Start(); err != nil { ... }
//	...
//	err := server.Shutdown(ctx) // waits for every request, however long its stream
package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/kataras/iris/v12"
	iriscontext "github.com/kataras/iris/v12/context"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/state"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
)

// Dependencies are what a Server needs.
type Dependencies struct {
	Settings ini.Caller
	// TLS is nil for plain text.
	TLS    *tls.Config
	Clock  clock.Clock
	Logger logrus.FieldLogger
	State  *state.State
	// Ready returns why requests can't be served, or nil.
	Ready func() error
	// NewID returns a request id that is unique in the fleet.
	NewID func() string
}

// Handler serves an exchange. A *request.Refusal that it returns is sent to
// the caller, unless the answer has begun.
type Handler func(x *Exchange) error

// Server accepts callers' requests.
type Server struct {
	deps     Dependencies
	app      *iris.Application
	http     *http.Server
	listener net.Listener
	inFlight atomic.Int64
	draining atomic.Bool
	serving  sync.WaitGroup
}

// New returns a Server that does not listen yet.
func New(deps Dependencies) *Server {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(
		iris.WithoutPathCorrection,
		iris.WithoutStartupLog,
		iris.WithoutInterruptHandler,
		iris.WithoutBodyConsumptionOnUnmarshal,
	)
	s := &Server{deps: deps, app: app}
	app.Get("/healthz", s.health)
	app.Get("/readyz", s.ready)
	return s
}

// Handle serves a method and path by a handler.
func (s *Server) Handle(method, path string, handler Handler) {
	s.app.Handle(method, path, s.adapt(handler))
}

// HandleUnmatched serves everything that no other handler serves.
func (s *Server) HandleUnmatched(handler Handler) {
	s.app.Any("/{path:path}", s.adapt(handler))
	s.app.OnErrorCode(iris.StatusMethodNotAllowed, s.adapt(handler))
}

// adapt turns a handler into one of the HTTP library.
func (s *Server) adapt(handler Handler) iris.Handler {
	return func(ctx iris.Context) {
		writer := ctx.ResponseWriter()
		s.serve(writer.Naive(), ctx.Request(), handler)
		// Keeps the library from sending a status of its own.
		writer.SetWritten(iriscontext.StatusCodeWritten)
	}
}

func (s *Server) health(ctx iris.Context) {
	_, _ = ctx.WriteString("ok\n")
}

func (s *Server) ready(ctx iris.Context) {
	err := s.deps.Ready()
	if s.draining.Load() {
		err = errors.New("shutting down")
	}
	if err != nil {
		ctx.StatusCode(http.StatusServiceUnavailable)
		_, _ = ctx.WriteString(err.Error() + "\n")
		return
	}
	_, _ = ctx.WriteString("ok\n")
}

// Start listens and serves until Shutdown.
func (s *Server) Start() (err error) {
	defer func() { err = oops.Wrapf(err, "start callers' interface on %s", s.deps.Settings.Listen) }()
	if err := s.app.Build(); err != nil {
		return err
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.deps.Settings.Listen)
	if err != nil {
		return err
	}
	if limit := s.deps.Settings.MaxConnections; limit > 0 {
		listener = netutil.LimitListener(listener, limit)
	}
	s.listener = listener
	if s.deps.TLS != nil {
		listener = tls.NewListener(listener, s.deps.TLS)
	}
	s.http = s.newHTTPServer()
	s.serving.Add(1)
	go s.run(listener)
	return nil
}

func (s *Server) newHTTPServer() *http.Server {
	settings := s.deps.Settings
	return &http.Server{
		Handler:           s.app,
		ReadHeaderTimeout: settings.ReadTimeout.Duration(),
		ReadTimeout:       settings.ReadTimeout.Duration(),
		IdleTimeout:       settings.IdleTimeout.Duration(),
		MaxHeaderBytes:    settings.MaxHeaderBytes,
		ErrorLog:          nil,
	}
}

func (s *Server) run(listener net.Listener) {
	defer s.serving.Done()
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		eventServeFailed.Log(s.deps.Logger, logrus.Fields{"Error": err.Error()})
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// InFlight returns how many requests are being served.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// Drain makes the readiness check fail, so that the balancer sends no new
// callers. Requests are still served.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Shutdown stops listening and waits until every request has been answered,
// or until the context ends.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "shut down callers' interface") }()
	s.draining.Store(true)
	err = s.http.Shutdown(ctx)
	s.serving.Wait()
	return err
}
