package response

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/banyanshift/banyanshift/internal/decide/memory"
)

// Transport is an http.RoundTripper that reads answers with a Conn before net/http does. It speaks
// HTTP/1 only.
type Transport struct {
	base   *http.Transport
	bodies *memory.Budget
	// longBody holds the place of the only long body that is read.
	longBody chan struct{}
}

// dialer opens connections.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Limits are the budgets in which answers are counted. Each may be nil.
type Limits struct {
	Heads *memory.Budget
	// Bodies is for clients that read each body whole. It waits for memory if there is none.
	Bodies *memory.Budget
}

// NewTransport returns a Transport with the settings of base, which must not be used by itself any
// more.
func NewTransport(base *http.Transport, limits Limits) *Transport {
	if base.DialContext == nil {
		base.DialContext = (&net.Dialer{}).DialContext
	}
	base.DialTLSContext = dialer(base.DialContext).underTLS(base.TLSClientConfig).checked(limits.Heads)
	base.DialContext = dialer(base.DialContext).checked(limits.Heads)
	return &Transport{base: base, bodies: limits.Bodies, longBody: make(chan struct{}, 1)}
}

// checked returns a dialer whose connections are of type *Conn.
func (d dialer) checked(budget *memory.Budget) dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn, budget), nil
	}
}

// underTLS returns a dialer whose connections use TLS.
func (d dialer) underTLS(config *tls.Config) dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		conn, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		config := config.Clone()
		if config == nil {
			config = &tls.Config{MinVersion: tls.VersionTLS12}
		}
		if config.ServerName == "" {
			config.ServerName = host
		}
		secure := tls.Client(conn, config)
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, err
		}
		return secure, nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used *Conn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if used, _ = info.Conn.(*Conn); used != nil {
				used.Expect(request.Method)
			}
		},
		PutIdleConn: func(err error) {
			if used != nil && err == nil {
				used.Release()
			}
		},
	}
	answer, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	switch {
	case err == nil && t.bodies != nil:
		answer.Body = newCountedBody(request.Context(), answer.Body, t.bodies, t.longBody)
	case err != nil && used != nil && errors.Is(used.Err(), ErrMalformed):
		err = used.Err()
	}
	return answer, err
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}
