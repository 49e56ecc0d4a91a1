// Package rest speaks the platform's JSON over HTTP. It tells apart the calls
// that certainly did nothing from those that may have taken effect, and never
// sends a call twice.
//
// The standard transport sends a request again by itself when a kept
// connection turns out to be closed. For calls that change something this is
// ruled out: their body can't be rewound and they carry no idempotency header,
// so that the transport has neither the means nor the permission.
//
// # Usage
//
//	client := rest.New(baseURL, httpClient)
//	var row table.Row
//	err := client.Call(ctx, "POST", "/table/get", query, &row)
//	var failure *rest.RequestError
//	if errors.As(err, &failure) && !failure.MaybeSent { ... nothing can have happened ... }
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
)

// MaxResponseBytes bounds the body of an answer.
const MaxResponseBytes = 64 << 20

// RequestError is the error of a call that was not answered with status 200.
type RequestError struct {
	// MaybeSent says that bytes of the call may have reached the service.
	MaybeSent bool
	// Status is the HTTP status, 0 when no answer came.
	Status int
	// Code is the field Code of the answer's body, if there was one.
	Code string
	// Cause is the underlying error when no answer came.
	Cause error
}

// Error implements error.
func (f *RequestError) Error() string {
	switch {
	case f.Status != 0:
		return fmt.Sprintf("answered with status %d %s", f.Status, f.Code)
	case f.MaybeSent:
		return fmt.Sprintf("no answer: %v", f.Cause)
	default:
		return fmt.Sprintf("not sent: %v", f.Cause)
	}
}

// Unwrap returns the underlying error.
func (f *RequestError) Unwrap() error {
	return f.Cause
}

// Refused says that the service answered that it did not take the call.
func (f *RequestError) Refused() bool {
	return f.Status == http.StatusTooManyRequests || f.Status == http.StatusServiceUnavailable
}

// NotExecuted says that the call can't have taken effect because it was not
// sent or not taken.
func (f *RequestError) NotExecuted() bool {
	return !f.MaybeSent || f.Refused()
}

// Client calls one service.
type Client struct {
	baseURL string
	http    *http.Client
}

// New returns a client of the service at baseURL. It follows no redirects.
func New(baseURL string, httpClient *http.Client) *Client {
	own := *httpClient
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{baseURL: strings.TrimRight(baseURL, "/"), http: &own}
}

// Call sends in as JSON and decodes the answer into out; either may be nil.
// An error is a *RequestError, possibly wrapped.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	body, err := encode(in)
	if err != nil {
		return &RequestError{Cause: err}
	}
	answer, err := c.CallRaw(ctx, method, path, body, nil)
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return &RequestError{MaybeSent: true, Cause: fmt.Errorf("decode answer: %w", err)}
	}
	return nil
}

// CallRaw sends body once and returns the body of the answer. header may be nil.
func (c *Client) CallRaw(ctx context.Context, method, path string, body []byte, header http.Header) ([]byte, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), method, c.baseURL+path, body)
	if err != nil {
		return nil, &RequestError{Cause: err}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &RequestError{MaybeSent: sent.Load(), Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(response)
}

func readAnswer(response *http.Response) ([]byte, error) {
	answer, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if response.StatusCode != http.StatusOK {
		return nil, &RequestError{MaybeSent: true, Status: response.StatusCode, Code: codeOf(answer), Cause: err}
	}
	if err != nil {
		return nil, &RequestError{MaybeSent: true, Cause: err}
	}
	if len(answer) > MaxResponseBytes {
		return nil, &RequestError{MaybeSent: true, Cause: fmt.Errorf("answer is longer than %d bytes", MaxResponseBytes)}
	}
	return answer, nil
}

func codeOf(answer []byte) string {
	var body struct{ Code string }
	if json.Unmarshal(answer, &body) != nil {
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

// onceReader hides the type of the reader from net/http, which would make the
// body rewindable.
type onceReader struct {
	io.Reader
}

func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, url, http.NoBody)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, onceReader{bytes.NewReader(body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
