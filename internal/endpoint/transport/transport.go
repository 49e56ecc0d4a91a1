// Package transport holds the HTTP clients with which endpoints are called.
//
// Go's transport sends a request again by itself when a kept connection turns
// out to be closed and the request looks repeatable to it. Calls that may run
// at most once must not be sent twice, so they use a client that opens a
// connection for each call: the transport never repeats a request on a
// connection that was not used before.
//
// # Usage
//
//	clients := transport.New(transport.Config{})
//	resp, err := clients.Repeatable.Do(req)
//	resp, err := clients.Once.Do(req)
//	if transport.NothingSent(err) { ... no byte of the request left ... }
package transport

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Limits of connections to endpoints.
const (
	dialTimeout       = 1 * clock.Second
	idleTimeout       = 30 * clock.Second
	idlePerEndpoint   = 256
	maxResponseHeader = 64 << 10
)

// Clients are the clients for calls to endpoints.
type Clients struct {
	// Retryable keeps connections and may send a request again when a kept
	// connection was closed.
	Retryable *http.Client
	// AtMostOnce opens a connection for each call and never sends it twice.
	AtMostOnce *http.Client
}

// Config configures the clients.
type Config struct {
	// Dial replaces the dialer; may be nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// DialError says that no connection was made, so nothing was sent.
type DialError struct {
	Err error
}

// Error implements error.
func (e *DialError) Error() string { return "connect to endpoint: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// NothingSent reports whether err proves that no byte of the request was
// handed to a connection.
func NothingSent(err error) bool {
	var dialError *DialError
	return errors.As(err, &dialError)
}

// New returns the clients.
func New(config Config) Clients {
	dial := config.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout.Duration()}).DialContext
	}
	d := dialer{dial: dial}
	return Clients{
		Retryable:  client(d, false),
		AtMostOnce: client(d, true),
	}
}

func client(d dialer, once bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            d.dialContext,
			DisableKeepAlives:      once,
			DisableCompression:     true,
			MaxIdleConnsPerHost:    idlePerEndpoint,
			IdleConnTimeout:        idleTimeout.Duration(),
			MaxResponseHeaderBytes: maxResponseHeader,
		},
		// Endpoints' redirects belong to the caller.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

type dialer struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (d dialer) dialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, &DialError{Err: err}
	}
	return conn, nil
}
