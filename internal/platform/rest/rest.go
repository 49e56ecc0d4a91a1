// Package rest is a client for the platform's JSON API over HTTP. It distinguishes
// failed calls that certainly had no effect from those that may have taken effect,
// and never sends a call twice.
//
// The standard transport retries a request by itself when an idle pooled connection
// turns out to be closed. For calls that change something this package prevents
// such retries: the body cannot be rewound, and the request has no idempotency
// header, which the transport requires for a retry.
//
// # Usage
//
//	client := rest.New(baseURL, httpClient)
//	var row table.Row
//	err := client.Call(ctx, "POST", "/table/get", query, &row)
//	var failure *rest.RequestError
//	if errors.As(err, &failure) && !failure.MaybeSent { ... the call had no effect ... }
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
)

// MaxResponseBytes is the maximum length of a response body.
const MaxResponseBytes = 64 << 20

// RequestError is the error of a call that got no valid response with status 200.
type RequestError struct {
	// MaybeSent reports whether bytes of the call may have reached the service.
	MaybeSent bool
	// Status is the HTTP status, or 0 if there was no valid response.
	Status int
	// Code is the field Code of the response body, if present.
	Code string
	// Cause is the underlying error, if any.
	Cause error
}

// Error implements error.
func (e *RequestError) Error() string {
	switch {
	case e.Status != 0:
		return fmt.Sprintf("answered with status %d %s", e.Status, e.Code)
	case e.MaybeSent:
		return fmt.Sprintf("no answer: %v", e.Cause)
	default:
		return fmt.Sprintf("not sent: %v", e.Cause)
	}
}

// Unwrap returns the underlying error.
func (e *RequestError) Unwrap() error {
	return e.Cause
}

// Refused reports whether the service responded that it did not accept the call.
func (e *RequestError) Refused() bool {
	return e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable
}

// NotExecuted reports whether the call certainly had no effect, because it was not
// sent or the service refused it.
func (e *RequestError) NotExecuted() bool {
	return !e.MaybeSent || e.Refused()
}

// Client calls one service.
type Client struct {
	baseURL string
	http    *http.Client
}

// New returns a client of the service at baseURL. It does not follow redirects.
func New(baseURL string, httpClient *http.Client) *Client {
	withoutRedirects := *httpClient
	withoutRedirects.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{baseURL: strings.TrimRight(baseURL, "/"), http: &withoutRedirects}
}

// Call sends in as JSON and decodes the response into out; either may be nil. Errors
// are of type *RequestError, possibly wrapped.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	_, err := c.CallForHeader(ctx, method, path, in, out)
	return err
}

// CallForHeader is like Call and returns the header of the response.
func (c *Client) CallForHeader(ctx context.Context, method, path string, in, out any) (header http.Header, err error) {
	body, err := encode(in)
	if err != nil {
		return nil, &RequestError{Cause: err}
	}
	got, err := c.send(ctx, method, path, body, nil)
	if err != nil || out == nil {
		return got.header, err
	}
	if err := json.Unmarshal(got.body, out); err != nil {
		return got.header, &RequestError{MaybeSent: true, Cause: fmt.Errorf("decode answer: %w", err)}
	}
	return got.header, nil
}

// errEndUnknown means that a response ended with its connection, and may have been cut off.
var errEndUnknown = errors.New("answer has neither a length nor chunks")

// CallRaw sends body once and returns the body of the response, unless it may have been cut off. header
// may be nil.
func (c *Client) CallRaw(ctx context.Context, method, path string, body []byte, header http.Header) ([]byte, error) {
	got, err := c.send(ctx, method, path, body, header)
	if err == nil && len(got.body) > 0 && got.endsWithConnection {
		return nil, &RequestError{MaybeSent: true, Cause: errEndUnknown}
	}
	return got.body, err
}

// reply is what arrived of a response. It is empty if none arrived.
type reply struct {
	header http.Header
	body   []byte
	// endsWithConnection is set if the response has neither a length nor chunks.
	endsWithConnection bool
}

// send sends body once and returns the response.
func (c *Client) send(ctx context.Context, method, path string, body []byte, header http.Header) (got reply, err error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), method, c.baseURL+path, body)
	if err != nil {
		return got, &RequestError{Cause: err}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		return got, &RequestError{MaybeSent: sent.Load(), Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	got.header, got.endsWithConnection = response.Header, response.ContentLength < 0 && len(response.TransferEncoding) == 0
	got.body, err = readResponse(response)
	return got, err
}

func readResponse(response *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if response.StatusCode != http.StatusOK {
		return nil, &RequestError{MaybeSent: true, Status: response.StatusCode, Code: errorCode(data), Cause: err}
	}
	if err != nil {
		return nil, &RequestError{MaybeSent: true, Cause: err}
	}
	if len(data) > MaxResponseBytes {
		return nil, &RequestError{MaybeSent: true, Cause: fmt.Errorf("answer is longer than %d bytes", MaxResponseBytes)}
	}
	return data, nil
}

// errorCode returns the field Code of a response body, or "" if there is none.
func errorCode(data []byte) string {
	var body struct{ Code string }
	if json.Unmarshal(data, &body) != nil {
		return ""
	}
	return body.Code
}

func encode(in any) ([]byte, error) {
	if in == nil {
		return nil, nil
	}
	return json.Marshal(in)
}

// unrewindableReader hides the concrete type of the reader from net/http, which
// could otherwise rewind the body and retry the request.
type unrewindableReader struct {
	io.Reader
}

func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, url, http.NoBody)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, unrewindableReader{bytes.NewReader(body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
