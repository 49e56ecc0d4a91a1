// Package transport provides the HTTP clients for calls to endpoints. Answers are read by package
// response.
//
// Go's transport resends a request by itself when a pooled connection turns
// out to be closed and the request looks idempotent to it. Calls that may run
// at most once must not be sent twice, so they use a client that opens a
// connection for each call: the transport never resends a request that was
// written to a new connection.
//
// # Usage
//
//	clients := transport.New(transport.Config{})
//	ctx, origin := transport.TraceOrigin(ctx)
//	resp, err := clients.Retryable.Do(req.WithContext(ctx))
//	if origin.Proves(resp.Header, id) { ... the answer belongs to the request ... }
//	resp, err = clients.AtMostOnce.Do(req)
//	if transport.NothingSent(err) { ... no byte of the request was sent ... }
package transport

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/tcp"
	"github.com/banyanshift/banyanshift/internal/wire/response"
)

// Limits of connections to endpoints.
const (
	dialTimeout        = 1 * clock.Second
	idleTimeout        = 30 * clock.Second
	maxIdlePerEndpoint = 256
)

// Clients are the clients for calls to endpoints.
type Clients struct {
	// Retryable pools connections and may resend a request if a pooled
	// connection was closed.
	Retryable *http.Client
	// AtMostOnce opens a connection for each call and never resends it.
	AtMostOnce *http.Client
	// Memory is the budget in which answers are counted, nil if there is none.
	Memory *memory.Budget
}

// Config configures the clients.
type Config struct {
	// Dial replaces the default dialer. It may be nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Memory bounds what answers take. It may be nil.
	Memory *memory.Budget
}

// DialError is returned if no connection was established, so that no byte of
// the request was sent.
type DialError struct {
	Err error
}

// Error implements error.
func (e *DialError) Error() string { return "connect to endpoint: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// NothingSent reports whether err shows that no byte of the request was
// written to a connection.
func NothingSent(err error) bool {
	var dialError *DialError
	return errors.As(err, &dialError)
}

// New returns the clients.
func New(config Config) Clients {
	dial := config.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout.Duration(), Control: tcp.BoundUnread}).DialContext
	}
	d := dialer{dial: dial}
	return Clients{
		Retryable:  newClient(d, config.Memory, false),
		AtMostOnce: newClient(d, config.Memory, true),
		Memory:     config.Memory,
	}
}

func newClient(d dialer, budget *memory.Budget, atMostOnce bool) *http.Client {
	return &http.Client{
		Transport: response.NewTransport(&http.Transport{
			DialContext:         d.dialContext,
			DisableKeepAlives:   atMostOnce,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdlePerEndpoint,
			IdleConnTimeout:     idleTimeout.Duration(),
		}, response.Limits{Heads: budget}),
		// Redirects are passed to the caller and not followed.
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
