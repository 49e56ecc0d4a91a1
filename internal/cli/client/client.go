// Package client connects the command line to a daemon's gRPC server for
// operators.
//
// # Usage
//
//	c, err := client.Dial(client.Options{Server: "127.0.0.1:8081", Token: token})
//	defer c.Close()
//	teams, err := c.Teams.List(ctx, &operatorv1.ListRequest{})
package client

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/netip"
	"os"
	"path"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// maxMessageBytes limits the size of a response. An export of 40,000 teams must
// fit.
const maxMessageBytes = 256 << 20

// readMethods are the names of the read-only methods.
var readMethods = map[string]bool{"Get": true, "List": true, "Status": true, "Export": true}

// Options configure the connection to a daemon.
type Options struct {
	// Server is the host:port of the daemon's gRPC server for operators.
	Server string
	Token  string
	// CAFile is a PEM file with the certificate authorities to trust. If it is
	// empty, the system's authorities are used.
	CAFile string
	// Timeout limits the duration of each call; 0 means no limit.
	Timeout time.Duration
}

// Client is a connection to a daemon with a gRPC client for each service.
type Client struct {
	Teams    operatorv1.TeamsClient
	Keys     operatorv1.KeysClient
	Classes  operatorv1.ClassesClient
	Routes   operatorv1.RoutesClient
	Backends operatorv1.BackendsClient
	Config   operatorv1.ConfigClient
	Usage    operatorv1.UsageClient
	Audit    operatorv1.AuditClient
	Fleet    operatorv1.FleetClient

	conn *grpc.ClientConn
}

// Dial returns a client, which connects on the first call.
func Dial(options Options) (c *Client, err error) {
	defer func() { err = oops.Wrapf(err, "connect to %s", options.Server) }()
	secure, err := transportCredentials(options)
	if err != nil {
		return nil, err
	}
	conn, err := grpc.NewClient("passthrough:///"+options.Server,
		grpc.WithTransportCredentials(secure),
		grpc.WithNoProxy(),
		grpc.WithUnaryInterceptor(options.intercept),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return nil, err
	}
	return &Client{
		Teams:    operatorv1.NewTeamsClient(conn),
		Keys:     operatorv1.NewKeysClient(conn),
		Classes:  operatorv1.NewClassesClient(conn),
		Routes:   operatorv1.NewRoutesClient(conn),
		Backends: operatorv1.NewBackendsClient(conn),
		Config:   operatorv1.NewConfigClient(conn),
		Usage:    operatorv1.NewUsageClient(conn),
		Audit:    operatorv1.NewAuditClient(conn),
		Fleet:    operatorv1.NewFleetClient(conn),
		conn:     conn,
	}, nil
}

// Close closes the connection.
func (c *Client) Close() error {
	return c.conn.Close()
}

// transportCredentials returns TLS credentials, except for a loopback address
// without a CA file, for which it returns plain text: the token must not cross a
// network unencrypted.
func transportCredentials(options Options) (credentials.TransportCredentials, error) {
	if options.CAFile != "" {
		pem, err := os.ReadFile(options.CAFile)
		if err != nil {
			return nil, err
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, errors.New("the CA file contains no PEM certificate")
		}
		return credentials.NewTLS(&tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}), nil
	}
	if isLoopback(options.Server) {
		return insecure.NewCredentials(), nil
	}
	return credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS12}), nil
}

func isLoopback(server string) bool {
	host, _, err := net.SplitHostPort(server)
	if err != nil {
		return false
	}
	address, err := netip.ParseAddr(host)
	return host == "localhost" || err == nil && address.IsLoopback()
}

// intercept adds the token and the timeout to a call. If the connection broke
// during a change, it replaces Unavailable by Unknown.
func (o Options) intercept(ctx context.Context, method string, req, reply any, conn *grpc.ClientConn, invoker grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	if o.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.Timeout)
		defer cancel()
	}
	ctx = metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+o.Token)
	var serverPeer peer.Peer
	err := invoker(ctx, method, req, reply, conn, append(opts, grpc.Peer(&serverPeer))...)
	if mayHaveBeenApplied(method, err, serverPeer) {
		return status.Error(codes.Unknown, "the connection broke during the call; the change may have been made: "+status.Convert(err).Message())
	}
	return err
}

// mayHaveBeenApplied reports whether a change that failed with Unavailable may
// have been applied: the call was sent on a connection, and the error has no
// details, which the daemon adds when the store is unavailable.
func mayHaveBeenApplied(method string, err error, serverPeer peer.Peer) bool {
	if status.Code(err) != codes.Unavailable || serverPeer.Addr == nil {
		return false
	}
	return !readMethods[path.Base(method)] && len(status.Convert(err).Details()) == 0
}
