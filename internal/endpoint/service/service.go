// Package service is the client for plain HTTP services.
//
// Only headers on an allow-list are forwarded, so that no endpoint sees a
// caller's key and only the router sets the team of a call. A call that may
// run at most once is sent on a new connection, because Go's transport may
// resend a request on a pooled one.
//
// # Usage
//
//	client := service.New(clients)
//	answer, err := client.Do(ctx, grant.Endpoint, service.Call{...})
//	var callError *service.CallError
//	if errors.As(err, &callError) && callError.NotRun { ... retry on another endpoint ... }
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

// Errors in a service's answer, wrapped by *CallError.
var (
	// ErrWrongRequest is returned for an answer with the ID of another request.
	ErrWrongRequest = errors.New("answer belongs to another request")
	// ErrEndUnknown is returned for an answer with neither a length nor chunks,
	// because it looks complete if the service is killed while it answers.
	ErrEndUnknown = errors.New("answer has neither a length nor chunks")
)

// forwardedHeaders are the caller's headers that are sent to the service.
var forwardedHeaders = []string{
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

// removedAnswerHeaders are the service's headers that are not sent to the
// caller: hop-by-hop headers and those that the router sets itself.
var removedAnswerHeaders = slices.Concat(http1.HopByHopHeaders, []string{"Request-Id", "Run"})

// Call is one request to a plain service.
type Call struct {
	RequestID string
	Method    string
	// URI is the path and query, escaped as the caller sent them.
	URI    string
	Header http.Header
	Body   []byte
	Team   string
	Class  string
	// AtMostOnce prevents the call from being sent twice.
	AtMostOnce bool
}

// CallError describes why a service sent no usable answer.
type CallError struct {
	Endpoint string
	// NotRun reports whether the call certainly did not run on the endpoint.
	NotRun bool
	Err    error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("service %s: %v", e.Endpoint, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Answer is a service's answer. The caller must read Body to its end to know
// that the answer is complete: Read returns an error if it is truncated.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body, or -1 if unknown.
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

// Do sends a call to an endpoint. Errors are of type *CallError.
func (c *Client) Do(ctx context.Context, endpoint entity.Endpoint, call Call) (Answer, error) {
	ctx, origin := transport.TraceOrigin(ctx)
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
	if transport.IsOfAnother(resp.Header, call.RequestID) {
		_ = resp.Body.Close()
		return Answer{}, &CallError{Endpoint: endpoint.ID, Err: fmt.Errorf("%w: header Request-Id is %q", ErrWrongRequest, resp.Header.Get("Request-Id"))}
	}
	if refusedWithoutRunning(resp) {
		_ = resp.Body.Close()
		notRun := origin.Proves(resp.Header, call.RequestID)
		return Answer{}, &CallError{Endpoint: endpoint.ID, NotRun: notRun, Err: fmt.Errorf("refused with status %d", resp.StatusCode)}
	}
	if endUnknown(call.Method, resp) {
		_ = resp.Body.Close()
		return Answer{}, &CallError{Endpoint: endpoint.ID, Err: ErrEndUnknown}
	}
	for _, name := range removedAnswerHeaders {
		resp.Header.Del(name)
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Length: resp.ContentLength}, nil
}

// refusedWithoutRunning reports whether the service refused the call as
// overloaded and stated that it did not run.
func refusedWithoutRunning(resp *http.Response) bool {
	overloaded := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	return overloaded && resp.Header.Get("Run") == "Not"
}

// endUnknown reports whether the body of an answer ends where the connection ends.
func endUnknown(method string, resp *http.Response) bool {
	return method != http.MethodHead && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func newRequest(ctx context.Context, endpoint entity.Endpoint, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+endpoint.Address+call.URI, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if call.AtMostOnce {
		req.GetBody = nil
	}
	for _, name := range forwardedHeaders {
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
