// Package link carries messages between daemons over TCP.
//
// A Link keeps one connection to each peer that it has something to say to,
// opened when first needed. Requests and one-way messages share it. Both ends
// begin with a hello that names them. With TLS both ends present certificates
// of the fleet's authority and the name in the hello must be the
// certificate's; without TLS only loopback addresses are allowed.
//
// Delivery is at most once and in order for each connection. A request whose
// answer is lost fails with ErrNoAnswer: the peer may have served it.
//
// # Usage
//
//	l := link.New(link.Config{ID: "vm-1", Listen: "127.0.0.1:0"}, clk, logger)
//	link.Handle(l, message.Probe, func(ctx context.Context, from string, req Probe) (ProbeAck, error) { ... })
//	if err := l.Start(); err != nil { ... }
//	defer l.Close()
//	ack, err := link.Call[Probe, ProbeAck](ctx, l, peer, message.Probe, Probe{})
//	err = link.Send(l, peer, message.EndpointUpdate, News{})
//
// Handlers of one-way messages run one after the other for each connection and
// must not block; handlers of requests run beside each other.
package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/peer/frame"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// Limits of a link.
const (
	helloTimeout     = 3 * clock.Second
	dialTimeout      = 2 * clock.Second
	writeTimeout     = 5 * clock.Second
	maxHelloBytes    = 1 << 10
	queueFrames      = 4096
	requestsAtATime  = 512
	maxIncomingConns = 4096
)

// Errors of Call and Send.
var (
	// ErrUnreachable says that the message did not leave this daemon.
	ErrUnreachable = errors.New("link: peer unreachable")
	// ErrNoAnswer says that the connection was lost before the answer came;
	// the peer may have served the request.
	ErrNoAnswer = errors.New("link: connection lost before the answer")
	// ErrClosed says that the link is closed.
	ErrClosed = errors.New("link: closed")
	// ErrQueueFull says that the peer takes messages too slowly.
	ErrQueueFull = errors.New("link: queue to peer is full")
)

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Peer    string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer %s: %s", e.Peer, e.Message)
}

// Peer names a daemon and the address of its link.
type Peer struct {
	ID      string
	Address string
}

// Config configures a Link.
type Config struct {
	// ID is the name of this daemon.
	ID string
	// Listen is the TCP address to listen on.
	Listen string
	// TLS has the certificate, and the authority of the fleet both as root
	// and as client authority; nil for plain text on loopback.
	TLS *tls.Config
	// AllowPlainText allows addresses off loopback without TLS, for networks that
	// only the fleet's VMs can reach.
	AllowPlainText bool
	// Dial replaces the dialer, for tests; may be nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

type handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Link connects this daemon with its peers.
type Link struct {
	config   Config
	clock    clock.Clock
	logger   logrus.FieldLogger
	handlers map[message.Type]handler
	slots    chan struct{}
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc

	mu       sync.Mutex
	outgoing map[string]*outlet
	incoming map[*conn]struct{}
	closed   bool
	running  sync.WaitGroup
}

// New returns a Link that does not listen yet.
func New(config Config, clk clock.Clock, logger logrus.FieldLogger) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	return &Link{
		config:   config,
		clock:    clk,
		logger:   logger,
		handlers: make(map[message.Type]handler),
		slots:    make(chan struct{}, requestsAtATime),
		ctx:      ctx,
		cancel:   cancel,
		outgoing: make(map[string]*outlet),
		incoming: make(map[*conn]struct{}),
	}
}

// Start listens and accepts connections until Close.
func (l *Link) Start() (err error) {
	defer func() { err = oops.Wrapf(err, "start peer link on %s", l.config.Listen) }()
	if err := l.checkPlainText(l.config.Listen); err != nil {
		return err
	}
	listener, err := (&net.ListenConfig{}).Listen(l.ctx, "tcp", l.config.Listen)
	if err != nil {
		return err
	}
	l.listener = listener
	l.running.Add(1)
	go l.run()
	return nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string {
	if l.listener == nil {
		return l.config.Listen
	}
	return l.listener.Addr().String()
}

// Close ends all connections and waits for the handlers.
func (l *Link) Close() {
	l.mu.Lock()
	alreadyClosed := l.closed
	l.closed = true
	l.cancel()
	conns := make([]*conn, 0, len(l.incoming)+len(l.outgoing))
	for c := range l.incoming {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	if alreadyClosed {
		return
	}
	if l.listener != nil {
		_ = l.listener.Close()
	}
	for _, c := range conns {
		c.close()
	}
	l.running.Wait()
}

// checkPlainText refuses addresses off loopback when there is no TLS.
func (l *Link) checkPlainText(address string) error {
	if l.config.TLS != nil || l.config.AllowPlainText {
		return nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("plain text is only allowed on loopback, not on %q: configure the peer certificates", address)
	}
	return nil
}

// run accepts connections.
func (l *Link) run() {
	defer l.running.Done()
	for {
		netConn, err := l.listener.Accept()
		if l.ctx.Err() != nil {
			return
		}
		if err != nil {
			eventAcceptFailed.Log(l.logger, logrus.Fields{"Error": err.Error()})
			_ = l.clock.Sleep(l.ctx, 100*clock.Millisecond)
			continue
		}
		l.serve(netConn)
	}
}

func (l *Link) serve(netConn net.Conn) {
	if l.config.TLS != nil {
		netConn = tls.Server(netConn, l.config.TLS)
	}
	c := newConn(l, netConn)
	l.mu.Lock()
	refused := l.closed || len(l.incoming) >= maxIncomingConns
	if !refused {
		l.incoming[c] = struct{}{}
		l.running.Add(1)
	}
	l.mu.Unlock()
	if refused {
		_ = netConn.Close()
		return
	}
	go (&inlet{link: l, conn: c}).run()
}

// begin counts a goroutine that Close waits for, unless the link is closed.
func (l *Link) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.running.Add(1)
	return true
}

func (l *Link) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.incoming, c)
}

// outletTo returns the outlet for the peer's address.
func (l *Link) outletTo(peer Peer) (*outlet, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, ErrClosed
	}
	out := l.outgoing[peer.Address]
	if out == nil {
		out = &outlet{link: l, peer: peer}
		l.outgoing[peer.Address] = out
	}
	return out, nil
}

// Disconnect closes the connection to an address that is no longer used.
func (l *Link) Disconnect(address string) {
	l.mu.Lock()
	out := l.outgoing[address]
	delete(l.outgoing, address)
	l.mu.Unlock()
	if out != nil {
		out.close()
	}
}

// hello is the body of the first frame.
type hello struct {
	ID string
}

func (l *Link) helloFrame() (frame.Frame, error) {
	body, err := frame.Encode(hello{ID: l.config.ID})
	return frame.Frame{Kind: frame.Hello, Body: body}, err
}
