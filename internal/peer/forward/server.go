package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
	"github.com/banyanshift/banyanshift/internal/endpoint/tcp"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
	"github.com/banyanshift/banyanshift/internal/peer/frame"
)

const (
	// maxConcurrent limits the requests that a Server forwards at a time.
	maxConcurrent = 256
	// maxConnections limits the connections of Clients.
	maxConnections = 1024
	// maxRequestBytes limits the body of a request.
	maxRequestBytes = 16 << 20
	// memoryWait limits how long a request waits for memory before it is refused, so that its
	// Client can ask another peer.
	memoryWait = 50 * clock.Millisecond
	// connectionIdleTime is how long a Server keeps a connection without messages. It is
	// longer than a Client keeps one.
	connectionIdleTime = 2 * maxIdleTime
)

var (
	eventForwardFailed = event.New(1320, logrus.DebugLevel, "forwarding for a peer failed",
		"A request that was forwarded for a peer got no whole answer, or its connection failed. The peer logs what its caller got.")

	forwarded = metric.NewMap("Forward.Served", "Requests of peers for endpoints that they do not reach, by what became of them.")
)

// ServerConfig configures a Server. All fields must be set.
type ServerConfig struct {
	Clock  clock.Clock
	Logger logrus.FieldLogger
	// Listen is the TCP address to listen on.
	Listen string
	// Connect opens or reuses a connection of this daemon to an endpoint, on the evidence
	// that the endpoint is reached now. It returns a *Refusal otherwise.
	Connect func(ctx context.Context, target Target) (*http1.Conn, error)
	// RecordAnswer is called with the head of each answer.
	RecordAnswer func(target Target, status int, header http.Header)
	// Memory bounds the bodies that are held.
	Memory *memory.Budget
}

// Server forwards requests to endpoints for peers.
type Server struct {
	config   ServerConfig
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc

	mu    sync.Mutex
	conns map[*serverConn]struct{}
	// active counts the requests that are forwarded or about to be.
	active     int
	stopping   bool
	goroutines sync.WaitGroup
}

// NewServer returns a Server that does not listen yet.
func NewServer(config ServerConfig) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{config: config, ctx: ctx, cancel: cancel, conns: make(map[*serverConn]struct{})}
}

// Start starts to listen.
func (s *Server) Start() (err error) {
	defer func() { err = oops.Wrapf(err, "start the server for forwarded requests") }()
	s.listener, err = tcp.Listen(context.Background(), s.config.Listen)
	if err != nil {
		return err
	}
	s.goroutines.Add(1)
	go s.run()
	return nil
}

// run accepts connections until the listener is closed.
func (s *Server) run() {
	defer s.goroutines.Done()
	for {
		netConn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			eventForwardFailed.Log(s.config.Logger, logrus.Fields{"Error": err.Error()})
			_ = s.config.Clock.Sleep(s.ctx, acceptRetryDelay)
			continue
		}
		s.add(netConn)
	}
}

// acceptRetryDelay is the time until the next attempt after a connection could not be
// accepted.
const acceptRetryDelay = 50 * clock.Millisecond

func (s *Server) add(netConn net.Conn) {
	c := &serverConn{server: s, conn: newFramedConn(netConn), frames: make(chan frame.Frame)}
	s.mu.Lock()
	full := len(s.conns) >= maxConnections
	if !full {
		s.conns[c] = struct{}{}
		s.goroutines.Add(1)
	}
	s.mu.Unlock()
	if full {
		_ = netConn.Close()
		return
	}
	go c.run()
}

func (s *Server) remove(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// SetStopping makes the Server refuse new requests.
func (s *Server) SetStopping() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// InFlight returns the number of requests that are being forwarded.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Drain waits until no request is being forwarded, or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	const interval = 20 * clock.Millisecond
	for s.InFlight() > 0 && s.config.Clock.Sleep(ctx, interval) == nil {
	}
}

// Close closes all connections.
func (s *Server) Close() {
	s.cancel()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Lock()
	for c := range s.conns {
		_ = c.conn.net.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// begin counts a request, unless the Server does not take it.
func (s *Server) begin() *Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopping:
		return &Refusal{Code: Unavailable, Reason: "shutting down"}
	case s.active >= maxConcurrent:
		return &Refusal{Code: Unavailable, Reason: "too many forwarded requests"}
	}
	s.active++
	return nil
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}
