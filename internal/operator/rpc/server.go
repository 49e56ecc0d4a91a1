// Package rpc implements the gRPC API for operators. It authenticates
// operators, validates and proposes changes to the configuration, and reads the
// configuration, usage, audit trail and fleet status.
//
// Operators authenticate with a bearer token; the settings hold the SHA-256
// digests of all tokens. A token that looks like a caller's key is refused even
// if its digest is in the settings. A call is authenticated by its header,
// before its message is read. The sizes of messages and headers, the numbers of
// connections and concurrent calls, and the duration of calls are limited, so
// that malformed input costs little.
//
// # Usage
//
//	server, err := rpc.New(rpc.Config{
//		Settings:     settings.Operator,
//		State:        configState,
//		Propose:      propose,
//		FindChange:   log.FindByRequestID,
//		ChangesAfter: log.Tail,
//		UsageWindows: usageWindows,
//		FleetStatus:  fleetStatus,
//	}, logger)
//	err = server.Start()
//	defer server.Close()
package rpc

import (
	"context"
	"net"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/internal/config/follow"
	"github.com/banyanshift/banyanshift/internal/config/state"
	"github.com/banyanshift/banyanshift/internal/platform/usage"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// Limits that keep a client from exhausting the daemon's resources.
const (
	maxConnections           = 256
	maxConnectionsPerAddress = 32
	maxStreamsPerConnection  = 32
	maxHeaderBytes           = 16 << 10
	handshakeTimeout         = 10 * time.Second
	callTimeout              = 60 * time.Second
	closeTimeout             = 5 * time.Second
	keepaliveTime            = 2 * time.Minute
	keepaliveTimeout         = 20 * time.Second
	minKeepaliveTime         = 20 * time.Second
	maxConnectionIdle        = time.Minute
	maxChangesInApply        = 1000
	maxAuditLimit            = 1000
	defaultAuditLimit        = 50
	defaultUsageLimit        = 20
	maxUsageLimit            = 1000
)

// Outcome is the result of a proposed change.
type Outcome = follow.Outcome

// SealedWindow is a usage window that has been closed for billing.
type SealedWindow struct {
	usage.Window
	// Reported is true once the platform has confirmed the window.
	Reported bool
}

// Config holds what a Server depends on. All fields must be set.
type Config struct {
	Settings ini.Operator
	// State is the configuration in force.
	State *state.State
	// Propose applies a change. errors.Is matches its errors with those of
	// coord/changelog and coord/table.
	Propose func(ctx context.Context, proposal changelog.Proposal) (Outcome, error)
	// FindChange returns the change with this request ID, if there is one.
	FindChange func(ctx context.Context, requestID string) (changelog.Change, bool, error)
	// ChangesAfter returns at most limit changes whose sequence is greater than
	// after, oldest first.
	ChangesAfter func(ctx context.Context, after uint64, limit int) ([]changelog.Change, error)
	// UsageWindows returns at most limit sealed windows, newest first.
	UsageWindows func(ctx context.Context, limit int) ([]SealedWindow, error)
	// FleetStatus returns this daemon's view of the fleet.
	FleetStatus func(ctx context.Context) (*operatorv1.FleetStatus, error)
}

// Server is the gRPC server for operators.
type Server struct {
	config   Config
	logger   logrus.FieldLogger
	grpc     *grpc.Server
	listener net.Listener
	stopped  chan struct{}
}

// New returns a server. Start makes it listen.
func New(config Config, logger logrus.FieldLogger) (s *Server, err error) {
	defer func() { err = oops.Wrapf(err, "set up operators' interface") }()
	s = &Server{config: config, logger: logger, stopped: make(chan struct{})}
	auth, err := newAuthenticator(config.Settings.Tokens, logger)
	if err != nil {
		return nil, err
	}
	options := []grpc.ServerOption{
		grpc.InTapHandle(auth.tapHandle),
		grpc.ChainUnaryInterceptor(s.recoverPanic, requireOperator, withTimeout),
		grpc.UnknownServiceHandler(refuseUnknownMethod),
		grpc.MaxRecvMsgSize(int(config.Settings.MaxMessageBytes)),
		grpc.MaxConcurrentStreams(maxStreamsPerConnection),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: maxConnectionIdle,
			Time:              keepaliveTime,
			Timeout:           keepaliveTimeout,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveTime}),
	}
	if config.Settings.Certificate != "" {
		tls, err := credentials.NewServerTLSFromFile(config.Settings.Certificate, config.Settings.CertificateKey)
		if err != nil {
			return nil, err
		}
		options = append(options, grpc.Creds(tls))
	}
	s.grpc = grpc.NewServer(options...)
	s.register()
	return s, nil
}

func (s *Server) register() {
	operatorv1.RegisterTeamsServer(s.grpc, &teamsService{server: s})
	operatorv1.RegisterKeysServer(s.grpc, &keysService{server: s})
	operatorv1.RegisterClassesServer(s.grpc, &classesService{server: s})
	operatorv1.RegisterRoutesServer(s.grpc, &routesService{server: s})
	operatorv1.RegisterBackendsServer(s.grpc, &backendsService{server: s})
	operatorv1.RegisterConfigServer(s.grpc, &configService{server: s})
	operatorv1.RegisterUsageServer(s.grpc, &usageService{server: s})
	operatorv1.RegisterAuditServer(s.grpc, &auditService{server: s})
	operatorv1.RegisterFleetServer(s.grpc, &fleetService{server: s})
}

// Start listens and serves until Close.
func (s *Server) Start() (err error) {
	defer func() { err = oops.Wrapf(err, "listen for operators on %s", s.config.Settings.Listen) }()
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", s.config.Settings.Listen)
	if err != nil {
		return err
	}
	s.listener = netutil.LimitListener(newAddressLimiter(listener, maxConnectionsPerAddress), maxConnections)
	eventServing.Log(s.logger, logrus.Fields{"Address": s.Address()})
	go s.run()
	return nil
}

func (s *Server) run() {
	defer close(s.stopped)
	if err := s.grpc.Serve(s.listener); err != nil {
		eventServeFailed.Log(s.logger, logrus.Fields{"Error": err.Error()})
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close stops the server. It waits up to closeTimeout for calls in flight, then
// cancels them.
func (s *Server) Close() {
	timer := time.AfterFunc(closeTimeout, s.grpc.Stop)
	defer timer.Stop()
	s.grpc.GracefulStop()
	if s.listener != nil {
		<-s.stopped
	}
}
