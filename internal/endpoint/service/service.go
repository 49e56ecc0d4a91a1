// Package service calls plain HTTP services.
//
// Only headers on an allow-list are passed on, so that no endpoint sees a
// caller's key, and only the router says which team a call is for. A call
// that may run at most once is sent on a connection of its own, so that
// nothing below ever sends it twice.
//
// # Usage
//
//	client := service.New(clients)
//	answer, err := client.Do(ctx, grant.Endpoint, service.Call{...})
//	var failure *service.CallError
//	if errors.As(err, &failure) && failure.NotRun { ... may be tried elsewhere ... }
//	defer answer.Body.Close()
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
	"github.com/banyanshift/banyanshift/internal/endpoint/transport"
)

// ErrWrongRequest says that the answer belongs to another request.
var ErrWrongRequest = errors.New("answer of another request")

// requestHeaders are the caller's headers that a service gets to see.
var requestHeaders = []string{
	"Accept",
	"Accept-Language",
	"Content-Encoding",
	"Content-Language",
	"Content-Type",
	"Idempotency-Key",
	"If-Match",
	"If-Modified-Since",
	"If-None-Match",
	"If-Unmodified-Since",
	"Range",
	"Traceparent",
	"Tracestate",
}

// answerHeaders are the service's headers that a caller does not get: those of
// the connection, and those that the router sets itself.
var answerHeaders = slices.Concat(http1.HopByHopHeaders, []string{"Request-Id", "Run"})

// Call is one call of a plain service.
type Call struct {
	RequestID string
	Method    string
	// URI is the path with the query, escaped as the caller sent it.
	URI    string
	Header http.Header
	Body   []byte
	Team   string
	Class  string
	// AtMostOnce forbids that the call is ever sent twice.
	AtMostOnce bool
}

// CallError says why a service gave no answer.
type CallError struct {
	Endpoint string
	// NotRun says that the call surely did not run there.
	NotRun bool
	Err    error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("service %s: %v", e.Endpoint, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Answer is a service's answer. The Body must be read to its end: an early
// end is an error of Read.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body, -1 when unknown.
	Length int64
}

// Client calls plain services.
type Client struct {
	clients transport.Clients
}

// New returns a Client.
func New(clients transport.Clients) *Client {
	return &Client{clients: clients}
}

// Do sends a call to an endpoint. Errors are *CallError.
func (c *Client) Do(ctx context.Context, endpoint entity.Endpoint, call Call) (Answer, error) {
	req, err := newRequest(ctx, endpoint, call)
	if err != nil {
		return Answer{}, &CallError{Endpoint: endpoint.ID, NotRun: true, Err: err}
	}
	client := c.clients.Retryable
	if call.AtMostOnce {
		client = c.clients.AtMostOnce
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{}, &CallError{Endpoint: endpoint.ID, NotRun: transport.NothingSent(err), Err: err}
	}
	if refusedUnrun(resp) {
		_ = resp.Body.Close()
		return Answer{}, &CallError{Endpoint: endpoint.ID, NotRun: true, Err: fmt.Errorf("refused with status %d", resp.StatusCode)}
	}
	if got := resp.Header.Get("Request-Id"); got != "" && got != call.RequestID {
		_ = resp.Body.Close()
		return Answer{}, &CallError{Endpoint: endpoint.ID, Err: fmt.Errorf("%w: header Request-Id is %q", ErrWrongRequest, got)}
	}
	for _, name := range answerHeaders {
		resp.Header.Del(name)
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Length: resp.ContentLength}, nil
}

// refusedUnrun reports whether the service itself said that the call did not run.
func refusedUnrun(resp *http.Response) bool {
	overloaded := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	return overloaded && resp.Header.Get("Run") == "Not"
}

func newRequest(ctx context.Context, endpoint entity.Endpoint, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+endpoint.Address+call.URI, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if call.AtMostOnce {
		req.GetBody = nil
	}
	for _, name := range requestHeaders {
		if values := call.Header[name]; len(values) > 0 {
			req.Header[name] = values
		}
	}
	req.Header.Set("User-Agent", "banyanshift")
	req.Header.Set("Request-Id", call.RequestID)
	if call.Team != "" {
		req.Header.Set("Team", call.Team)
	}
	if call.Class != "" {
		req.Header.Set("Class", call.Class)
	}
	return req, nil
}
