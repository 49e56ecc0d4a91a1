// Package entry is the HTTP server for callers. It handles what all kinds of
// request have in common: connections and their limits, request IDs, the
// authentication of keys, and error answers. Handlers for each kind of request,
// such as those of the packages openai and plain, are registered with it.
//
// A request passes a chain of filters. Each filter gets the Exchange, adds its
// results to it, and can stop the chain by returning a *request.Refusal:
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

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/keepalive"
	"github.com/banyanshift/banyanshift/internal/config/state"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
)

// Dependencies holds the settings and services that a Server uses.
type Dependencies struct {
	Settings ini.Caller
	// TLS is nil for unencrypted connections.
	TLS    *tls.Config
	Clock  clock.Clock
	Logger logrus.FieldLogger
	State  *state.State
	// Ready returns nil if requests can be served, else an error with the
	// reason.
	Ready func() error
	// NewID returns a request ID that is unique among all daemons.
	NewID func() string
	// Memory bounds the heads and bodies that are held, and Connections the connections besides
	// Settings.MaxConnections.
	Memory      *memory.Budget
	Connections int
}

// Handler serves an exchange. If it returns a *request.Refusal before the
// answer's header was sent, the refusal is sent to the caller.
type Handler func(x *Exchange) error

// Server is the HTTP server for callers.
type Server struct {
	deps       Dependencies
	app        *iris.Application
	server     *keepalive.Server
	listener   net.Listener
	inFlight   atomic.Int64
	draining   atomic.Bool
	serveGroup sync.WaitGroup
}

// New returns a Server. It listens after Start.
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
	app.Get("/healthz", s.serveHealth)
	app.Get("/readyz", s.serveReadiness)
	return s
}

// Handle registers the handler for a method and path.
func (s *Server) Handle(method, path string, handler Handler) {
	s.app.Handle(method, path, s.irisHandler(handler))
}

// HandleUnmatched registers the handler for all requests that match no other
// handler, including those with another method on a registered path.
func (s *Server) HandleUnmatched(handler Handler) {
	s.app.Any("/{path:path}", s.irisHandler(handler))
	s.app.OnErrorCode(iris.StatusMethodNotAllowed, s.irisHandler(handler))
}

// irisHandler converts a handler to the type that the iris library uses.
func (s *Server) irisHandler(handler Handler) iris.Handler {
	return func(ctx iris.Context) {
		writer := ctx.ResponseWriter()
		s.serve(writer.Naive(), ctx.Request(), handler)
		// Prevents iris from sending a status of its own.
		writer.SetWritten(iriscontext.StatusCodeWritten)
	}
}

func (s *Server) serveHealth(ctx iris.Context) {
	_, _ = ctx.WriteString("ok\n")
}

func (s *Server) serveReadiness(ctx iris.Context) {
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

// Start opens the listener and serves requests in the background until Shutdown.
func (s *Server) Start() (err error) {
	defer func() { err = oops.Wrapf(err, "start HTTP server for callers on %s", s.deps.Settings.Listen) }()
	if err := s.app.Build(); err != nil {
		return err
	}
	limits := keepalive.Limits{Connections: s.maxConnections(), Memory: s.deps.Memory}
	listener, err := keepalive.Listen(context.Background(), s.deps.Settings.Listen, limits)
	if err != nil {
		return err
	}
	s.listener = listener
	s.server = keepalive.New(s.newHTTPServer(), s.deps.TLS, limits, s.deps.Logger)
	s.deps.Memory.Reclaim = s.server.Reclaim
	s.serveGroup.Add(1)
	go s.run(listener)
	return nil
}

// maxConnections returns the lower one of both limits of connections. 0 is no limit.
func (s *Server) maxConnections() int {
	bySetting, byMemory := s.deps.Settings.MaxConnections, s.deps.Connections
	if bySetting == 0 || byMemory == 0 {
		return max(bySetting, byMemory)
	}
	return min(bySetting, byMemory)
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
	defer s.serveGroup.Done()
	if err := s.server.Serve(listener); err != nil {
		eventServeFailed.Log(s.deps.Logger, logrus.Fields{"Error": err.Error()})
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// InFlight returns the number of requests that are being served.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// Drain makes the readiness check fail, so that the load balancer sends new
// connections to other daemons. Requests are still served, with answers that announce the end of
// their connection.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Shutdown stops listening and waits until all requests have been answered. If the context ends
// before, it closes the connections that are left.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "shut down HTTP server for callers") }()
	s.draining.Store(true)
	err = errors.Join(s.server.Shutdown(ctx), s.server.Close())
	s.serveGroup.Wait()
	return err
}
