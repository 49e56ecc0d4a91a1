// Package client connects the command line to the operators' interface of a
// daemon.
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

// maxMessageBytes bounds a response, such as an export of 40,000 teams.
const maxMessageBytes = 256 << 20

// reads are the methods that change nothing.
var reads = map[string]bool{"Get": true, "List": true, "Status": true, "Export": true}

// Options says how to reach a daemon.
type Options struct {
	// Server is host:port of the operators' interface.
	Server string
	Token  string
	// CAFile is a PEM file; the system's authorities are used
	// when it is empty.
	CAFile string
	// Timeout bounds each call.
	Timeout time.Duration
}

// Client holds one connection and the services on it.
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

// Dial returns a client. The connection is made by the first call.
func Dial(connection Options) (c *Client, err error) {
	defer func() { err = oops.Wrapf(err, "connect to %s", connection.Server) }()
	secure, err := transport(connection)
	if err != nil {
		return nil, err
	}
	conn, err := grpc.NewClient("passthrough:///"+connection.Server,
		grpc.WithTransportCredentials(secure),
		grpc.WithNoProxy(),
		grpc.WithUnaryInterceptor(connection.intercept),
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

// transport uses plain text only to a loopback address for which no authority
// is given: the token must not cross a network unprotected.
func transport(connection Options) (credentials.TransportCredentials, error) {
	if connection.CAFile != "" {
		pem, err := os.ReadFile(connection.CAFile)
		if err != nil {
			return nil, err
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, errors.New("the certificate authority's file holds no certificate in PEM form")
		}
		return credentials.NewTLS(&tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}), nil
	}
	if loopback(connection.Server) {
		return insecure.NewCredentials(), nil
	}
	return credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS12}), nil
}

func loopback(server string) bool {
	host, _, err := net.SplitHostPort(server)
	if err != nil {
		return false
	}
	address, err := netip.ParseAddr(host)
	return host == "localhost" || err == nil && address.IsLoopback()
}

// intercept adds the token and the time limit to a call.
func (c Options) intercept(ctx context.Context, method string, req, reply any, conn *grpc.ClientConn, invoker grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	if c.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
	}
	ctx = metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+c.Token)
	var answered peer.Peer
	err := invoker(ctx, method, req, reply, conn, append(opts, grpc.Peer(&answered))...)
	if brokenChange(method, err, answered) {
		return status.Error(codes.Unknown, "the connection broke during the call; the change may have been made: "+status.Convert(err).Message())
	}
	return err
}

// brokenChange reports whether a change may have been made although the call
// ended with Unavailable: it reached a connection, and it was not the daemon
// that said Unavailable.
func brokenChange(method string, err error, answered peer.Peer) bool {
	if status.Code(err) != codes.Unavailable || answered.Addr == nil {
		return false
	}
	return !reads[path.Base(method)] && len(status.Convert(err).Details()) == 0
}
