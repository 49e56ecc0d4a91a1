package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
	"github.com/banyanshift/banyanshift/internal/peer/frame"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

const (
	// maxConcurrent limits the requests that a Server forwards at a time.
	maxConcurrent = 256
	// maxConnections limits the connections of Clients.
	maxConnections = 1024
	// maxRequestBytes limits the body of a request, and maxQueuedBytes the bodies of all
	// requests that a Server holds.
	maxRequestBytes = 16 << 20
	maxQueuedBytes  = 32 << 20
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
}

// Server forwards requests to endpoints for peers.
type Server struct {
	config   ServerConfig
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc

	mu    sync.Mutex
	conns map[*serverConn]struct{}
	// active counts the requests that are forwarded or about to be, and queuedBytes the
	// bytes of their bodies.
	active      int
	queuedBytes int
	stopping    bool
	goroutines  sync.WaitGroup
}

// NewServer returns a Server that does not listen yet.
func NewServer(config ServerConfig) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{config: config, ctx: ctx, cancel: cancel, conns: make(map[*serverConn]struct{})}
}

// Start starts to listen.
func (s *Server) Start() (err error) {
	defer func() { err = oops.Wrapf(err, "start the server for forwarded requests") }()
	s.listener, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.config.Listen)
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

// reserve reserves memory for the body of a request.
func (s *Server) reserve(bytes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes < 0 || bytes > maxRequestBytes || s.queuedBytes+bytes > maxQueuedBytes {
		return false
	}
	s.queuedBytes += bytes
	return true
}

func (s *Server) release(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queuedBytes -= bytes
}

// serverConn serves one connection of a Client, one request at a time.
type serverConn struct {
	server *Server
	conn   *framedConn
	// frames receives the messages of the Client. It is closed when the connection ends.
	frames chan frame.Frame
	ctx    context.Context
	cancel context.CancelFunc
}

func (c *serverConn) run() {
	s := c.server
	defer s.goroutines.Done()
	defer s.remove(c)
	defer func() { _ = c.conn.net.Close() }()
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	defer c.cancel()
	s.goroutines.Add(1)
	go c.loop()
	for {
		err := c.serveOne()
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			eventForwardFailed.Log(s.config.Logger, logrus.Fields{"Address": c.conn.net.RemoteAddr().String(), "Error": err.Error()})
		}
		return
	}
}

// loop reads messages, also while a request is being forwarded, so that the request is
// ended when the Client closes the connection.
func (c *serverConn) loop() {
	defer c.server.goroutines.Done()
	defer close(c.frames)
	defer c.cancel()
	for {
		f, err := c.conn.read()
		if err != nil {
			return
		}
		select {
		case c.frames <- f:
		case <-c.ctx.Done():
			return
		}
	}
}

// next returns the next message.
func (c *serverConn) next(timeout clock.Millis) (frame.Frame, error) {
	ctx, cancel := context.WithTimeout(c.ctx, timeout.Duration())
	defer cancel()
	select {
	case f, open := <-c.frames:
		if !open {
			return frame.Frame{}, io.EOF
		}
		return f, nil
	case <-ctx.Done():
		return frame.Frame{}, io.EOF
	}
}

// serveOne serves one open and the request that may follow. An error ends the connection.
func (c *serverConn) serveOne() error {
	f, err := c.next(connectionIdleTime)
	if err != nil {
		return err
	}
	asked, err := decode[open](f, message.ForwardOpen)
	if err != nil {
		return err
	}
	if refusal := c.server.begin(); refusal != nil {
		return c.refuse(refusal)
	}
	defer c.server.end()
	endpoint, err := c.server.config.Connect(c.ctx, asked.Target)
	if err != nil {
		return c.refuse(asRefusal(err))
	}
	if err := c.send(message.ForwardOpened, opened{}); err != nil {
		endpoint.Release()
		return err
	}
	return c.serveRequest(asked.Target, endpoint)
}

// asRefusal returns the refusal that tells of an error.
func asRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{Code: Unreachable, Reason: err.Error()}
}

func (c *serverConn) refuse(refusal *Refusal) error {
	forwarded.Add("Refused."+string(refusal.Code), 1)
	return c.send(message.ForwardOpened, opened{Code: refusal.Code, Reason: refusal.Reason})
}

// send writes a message at once.
func (c *serverConn) send(t message.Type, body any) error {
	if err := c.conn.net.SetWriteDeadline(c.server.config.Clock.Deadline(c.server.config.Clock.Now() + writeTimeout)); err != nil {
		return err
	}
	if err := c.conn.write(t, body); err != nil {
		return err
	}
	return c.conn.writer.Flush()
}

const (
	// requestTimeout is how long a Server waits for the request after it has agreed to
	// forward one, and for each part of its body.
	requestTimeout = 2 * clock.Second
	// writeTimeout bounds writing one message to a Client that does not read.
	writeTimeout = 10 * clock.Second
)

// serveRequest reads a request, sends it to the endpoint and passes on the answer.
func (c *serverConn) serveRequest(target Target, endpoint *http1.Conn) error {
	request, err := c.readRequest()
	if err != nil {
		endpoint.Release()
		return err
	}
	defer c.server.release(len(request.Body))
	answer, err := endpoint.Do(c.ctx, request)
	if err != nil {
		forwarded.Add("NoAnswer", 1)
		return c.send(message.ForwardEnd, end{Error: err.Error()})
	}
	defer answer.Close()
	c.server.config.RecordAnswer(target, answer.Status, answer.Header)
	return c.passAnswer(answer)
}

// readRequest reads a request with its body, for which it reserves memory.
func (c *serverConn) readRequest() (request http1.Request, err error) {
	f, err := c.next(requestTimeout)
	if err != nil {
		return request, err
	}
	head, err := decode[requestHead](f, message.ForwardRequest)
	if err != nil {
		return request, err
	}
	if !c.server.reserve(head.BodyBytes) {
		return request, errors.New("forward: no memory for the body of a request")
	}
	body, err := c.readBody(head.BodyBytes)
	if err != nil {
		c.server.release(head.BodyBytes)
		return request, err
	}
	return http1.Request{ID: head.ID, Method: head.Method, Head: head.Head, Body: body, Deadline: c.server.config.Clock.Now() + head.TimeLeft}, nil
}

func (c *serverConn) readBody(length int) ([]byte, error) {
	body := make([]byte, 0, length)
	for len(body) < length {
		f, err := c.next(requestTimeout)
		if err != nil {
			return nil, err
		}
		if f.Type != message.ForwardBody || len(body)+len(f.Body) > length {
			return nil, errProtocol
		}
		body = append(body, f.Body...)
	}
	return body, nil
}

// passAnswer passes on an answer as it arrives.
func (c *serverConn) passAnswer(answer *http1.Answer) error {
	if err := c.send(message.ForwardAnswer, answerHead{Status: answer.Status, Header: answer.Header, Length: answer.Length}); err != nil {
		return err
	}
	buf := make([]byte, maxChunkBytes)
	for {
		n, err := answer.Read(buf)
		if n > 0 {
			if writeErr := c.sendBody(buf[:n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			forwarded.Add("Complete", 1)
			return c.send(message.ForwardEnd, end{})
		}
		if err != nil {
			forwarded.Add("BrokeOff", 1)
			return c.send(message.ForwardEnd, end{Error: err.Error()})
		}
	}
}

// sendBody writes a part of a body at once.
func (c *serverConn) sendBody(data []byte) error {
	if err := c.conn.net.SetWriteDeadline(c.server.config.Clock.Deadline(c.server.config.Clock.Now() + writeTimeout)); err != nil {
		return err
	}
	if err := c.conn.writeBody(data); err != nil {
		return err
	}
	return c.conn.writer.Flush()
}
