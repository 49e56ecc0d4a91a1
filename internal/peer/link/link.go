// Package link carries messages between daemons over TCP.
//
// A Link opens one connection to each peer address when the first message is
// sent to it, and uses it for all requests and one-way messages. Both ends first
// send a hello with their ID. With TLS both ends present certificates signed by
// the fleet's certificate authority, and the ID in the hello must be a name in
// the certificate. Without TLS only loopback addresses are allowed, unless
// Config.AllowPlainText is set.
//
// Delivery is at most once and in order for each connection. A request whose
// response is lost fails with ErrNoAnswer: the peer may have served it.
//
// # Usage
//
//	l := link.New(link.Config{ID: "vm-1", Listen: "127.0.0.1:0"}, clk, logger)
//	link.Handle(l, message.Probe, func(ctx context.Context, from string, req Probe) (ProbeAck, error) { ... })
//	if err := l.Start(); err != nil { ... }
//	defer l.Close()
//	ack, err := link.Call[Probe, ProbeAck](ctx, l, peer, message.Probe, Probe{})
//	err = link.Send(l, peer, message.EndpointUpdate, Update{})
//
// Handlers of one-way messages run one at a time for each connection and must
// not block. Handlers of requests run concurrently.
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

// Limits of a link. maxQueuedFrames applies to each connection and
// maxConcurrentRequests to the requests of all peers together.
const (
	helloTimeout          = 3 * clock.Second
	dialTimeout           = 2 * clock.Second
	writeTimeout          = 5 * clock.Second
	maxHelloBytes         = 1 << 10
	maxQueuedFrames       = 4096
	maxConcurrentRequests = 512
	maxIncomingConns      = 4096
)

// Errors of Call and Send.
var (
	// ErrUnreachable means that the message was not sent.
	ErrUnreachable = errors.New("link: peer unreachable")
	// ErrNoAnswer means that the connection was lost before the response
	// arrived. The peer may have served the request.
	ErrNoAnswer = errors.New("link: connection lost before the response arrived")
	// ErrClosed means that the link is closed.
	ErrClosed = errors.New("link: closed")
	// ErrQueueFull means that too many messages wait because the peer reads them
	// too slowly.
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

// Peer is a daemon and the address of its link.
type Peer struct {
	ID      string
	Address string
}

// Config configures a Link.
type Config struct {
	// ID identifies this daemon to its peers.
	ID string
	// Listen is the TCP address to listen on.
	Listen string
	// TLS holds the certificate of this daemon, and the fleet's certificate
	// authority in both RootCAs and ClientCAs. It is nil for plain text.
	TLS *tls.Config
	// AllowPlainText allows addresses other than loopback without TLS, for
	// networks that only the fleet's VMs can reach.
	AllowPlainText bool
	// Dial replaces the dialer, for tests; may be nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

type handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Link exchanges messages with the peers of this daemon.
type Link struct {
	config       Config
	clock        clock.Clock
	logger       logrus.FieldLogger
	handlers     map[message.Type]handler
	requestSlots chan struct{}
	listener     net.Listener
	ctx          context.Context
	cancel       context.CancelFunc

	mu sync.Mutex
	// outgoing holds the outgoing connections by peer address, and conns all
	// open connections, whichever side opened them.
	outgoing   map[string]*outgoingConn
	conns      map[*conn]struct{}
	closed     bool
	goroutines sync.WaitGroup
}

// New returns a Link that does not listen yet.
func New(config Config, clk clock.Clock, logger logrus.FieldLogger) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	return &Link{
		config:       config,
		clock:        clk,
		logger:       logger,
		handlers:     make(map[message.Type]handler),
		requestSlots: make(chan struct{}, maxConcurrentRequests),
		ctx:          ctx,
		cancel:       cancel,
		outgoing:     make(map[string]*outgoingConn),
		conns:        make(map[*conn]struct{}),
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
	l.goroutines.Add(1)
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

// Close closes all connections and waits for the handlers to return.
func (l *Link) Close() {
	l.mu.Lock()
	alreadyClosed := l.closed
	l.closed = true
	l.cancel()
	conns := make([]*conn, 0, len(l.conns)+len(l.outgoing))
	for c := range l.conns {
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
	l.goroutines.Wait()
}

// checkPlainText returns an error for addresses other than loopback if neither
// TLS nor plain text is configured.
func (l *Link) checkPlainText(address string) error {
	if l.config.TLS != nil || l.config.AllowPlainText {
		return nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("plain text is only allowed on loopback addresses, not on %q: configure the peer certificates", address)
	}
	return nil
}

// run accepts connections.
func (l *Link) run() {
	defer l.goroutines.Done()
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
		l.serveIncoming(netConn)
	}
}

func (l *Link) serveIncoming(netConn net.Conn) {
	if l.config.TLS != nil {
		netConn = tls.Server(netConn, l.config.TLS)
	}
	c := newConn(l, netConn)
	l.mu.Lock()
	refused := l.closed || len(l.conns) >= maxIncomingConns
	if !refused {
		l.conns[c] = struct{}{}
		l.goroutines.Add(1)
	}
	l.mu.Unlock()
	if refused {
		_ = netConn.Close()
		return
	}
	go (&incomingConn{link: l, conn: c}).run()
}

// addGoroutine registers a goroutine that Close waits for. It reports false if
// the link is closed.
func (l *Link) addGoroutine() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.goroutines.Add(1)
	return true
}

func (l *Link) removeConn(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// outgoingTo returns the outgoing connection for the peer's address, which may
// not be open yet.
func (l *Link) outgoingTo(peer Peer) (*outgoingConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, ErrClosed
	}
	out := l.outgoing[peer.Address]
	if out == nil {
		out = &outgoingConn{link: l, peer: peer}
		l.outgoing[peer.Address] = out
	}
	return out, nil
}

// Disconnect closes the connection to an address. The next message to the address
// opens a new one.
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
