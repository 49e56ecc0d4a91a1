package service

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/endpoint/transport"
)

func endpointAt(address string) entity.Endpoint {
	return entity.Endpoint{ID: "s1", Address: address}
}

func TestDoPassesOnlyAllowedHeaders(t *testing.T) {
	var seen http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Run", "Not")
	}))
	defer server.Close()
	header := http.Header{
		"Authorization":   {"Bearer bs_k_secret"},
		"Cookie":          {"a=b"},
		"X-Api-Key":       {"bs_k_secret"},
		"Team":            {"forged"},
		"Content-Type":    {"text/plain"},
		"Idempotency-Key": {"i-1"},
	}
	client := New(transport.New(transport.Config{}))
	answer, err := client.Do(t.Context(), endpointAt(server.Listener.Addr().String()),
		Call{RequestID: "r", Method: http.MethodPost, URI: "/x?y=%2F", Header: header, Team: "halvorsen", AtMostOnce: true})
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	for _, name := range []string{"Authorization", "Cookie", "X-Api-Key"} {
		if seen.Get(name) != "" {
			t.Errorf("header %s was forwarded to the service", name)
		}
	}
	if seen.Get("Team") != "halvorsen" || seen.Get("Idempotency-Key") != "i-1" || seen.Get("Content-Type") != "text/plain" {
		t.Errorf("got headers %v at the service, want Team halvorsen, Idempotency-Key i-1 and Content-Type text/plain", seen)
	}
	if answer.Header.Get("Run") != "" {
		t.Error("the service's Run header was not removed from the answer")
	}
}

func TestDoTellsNotRunFromUnknown(t *testing.T) {
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Run", "Not")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer refusing.Close()
	mismatched := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Request-Id", "another")
	}))
	defer mismatched.Close()
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer aborting.Close()
	closed := httptest.NewServer(nil)
	closed.Close()
	tests := []struct {
		name   string
		server *httptest.Server
		notRun bool
	}{
		{"refused by the service", refusing, true},
		{"connection refused", closed, true},
		{"answer to another request", mismatched, false},
		{"connection closed without an answer", aborting, false},
	}
	client := New(transport.New(transport.Config{}))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := client.Do(t.Context(), endpointAt(tt.server.Listener.Addr().String()),
				Call{RequestID: "r", Method: http.MethodPost, URI: "/", AtMostOnce: true})
			var failure *CallError
			if !errors.As(err, &failure) || failure.NotRun != tt.notRun {
				t.Errorf("got %v, want NotRun %v", err, tt.notRun)
			}
		})
	}
}

// staleServer answers the first request on each connection and closes the
// connection after it has read the second one, like a service that closes an
// idle connection just as a request arrives.
type staleServer struct {
	listener net.Listener
	requests atomic.Int64
}

func (s *staleServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go (&staleConn{server: s, conn: conn}).run()
	}
}

type staleConn struct {
	server *staleServer
	conn   net.Conn
}

func (c *staleConn) run() {
	defer func() { _ = c.conn.Close() }()
	reader := bufio.NewReader(c.conn)
	for i := range 2 {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		c.server.requests.Add(1)
		if i == 1 {
			return
		}
		_, _ = io.WriteString(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func TestDoNeverSendsAnOnceCallTwice(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	server := &staleServer{listener: listener}
	go server.run()
	client := New(transport.New(transport.Config{}))
	const calls = 6
	for i := range calls {
		// Go's transport regards a request without a body and with an
		// idempotency key as safe to resend.
		answer, err := client.Do(t.Context(), endpointAt(listener.Addr().String()), Call{
			RequestID: "r", Method: http.MethodPost, URI: "/", AtMostOnce: true,
			Header: http.Header{"Idempotency-Key": {strings.Repeat("k", i+1)}},
		})
		if err == nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
	}
	if got := server.requests.Load(); got > calls {
		t.Errorf("%d calls resulted in %d requests to the service", calls, got)
	}
}

func TestAnswerWhoseEndIsUnknownIsRefused(t *testing.T) {
	tests := []struct {
		name, method, answer string
		refused              bool
	}{
		{"no length", http.MethodGet, "HTTP/1.1 200 OK\r\n\r\nhalf", true},
		{"no length in HTTP/1.0", http.MethodGet, "HTTP/1.0 200 OK\r\n\r\nhalf", true},
		{"length", http.MethodGet, "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole", false},
		{"chunks", http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", false},
		{"no body", http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", false},
		{"not modified", http.MethodGet, "HTTP/1.1 304 Not Modified\r\n\r\n", false},
		{"HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				_, _ = io.WriteString(conn, tt.answer)
				_ = conn.Close()
			}))
			defer server.Close()
			answer, err := New(transport.New(transport.Config{})).Do(t.Context(), endpointAt(server.Listener.Addr().String()),
				Call{RequestID: "r", Method: tt.method, URI: "/"})
			if err == nil {
				defer func() { _ = answer.Body.Close() }()
			}
			var failure *CallError
			refused := errors.As(err, &failure) && !failure.NotRun
			if refused != tt.refused || (err != nil) != tt.refused {
				t.Errorf("got error %v, want refused %v", err, tt.refused)
			}
		})
	}
}
