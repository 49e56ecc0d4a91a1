package rest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/standin/answer"
	"github.com/banyanshift/banyanshift/internal/wire/response"
)

func asRequestError(t *testing.T, err error) *RequestError {
	t.Helper()
	var failure *RequestError
	if !errors.As(err, &failure) {
		t.Fatalf("got %v, want a *RequestError", err)
	}
	return failure
}

func TestCallClassifiesFailures(t *testing.T) {
	tests := []struct {
		name        string
		status      int
		disconnect  bool
		notExecuted bool
	}{
		{"too many requests", 429, false, true},
		{"unavailable", 503, false, true},
		{"conflict", 409, false, false},
		{"internal error", 500, false, false},
		{"bad gateway", 502, false, false},
		{"redirect", 307, false, false},
		{"connection closed without response", 0, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if test.disconnect {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(test.status)
			}))
			defer server.Close()
			err := New(server.URL, server.Client()).Call(context.Background(), "POST", "/x", 1, nil)
			failure := asRequestError(t, err)
			if failure.NotExecuted() != test.notExecuted || failure.Status != test.status {
				t.Errorf("got %+v", failure)
			}
		})
	}
}

func TestCallIsNotSentWhenConnectionIsRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	err = New("http://"+address, http.DefaultClient).Call(context.Background(), "POST", "/x", 1, nil)
	if asRequestError(t, err).MaybeSent {
		t.Error("got MaybeSent for a refused connection, want not sent")
	}
}

// closingServer responds to the first request of each connection, and reads the
// second one but closes the connection without a response.
type closingServer struct {
	listener net.Listener
	requests atomic.Int64
}

func (s *closingServer) loop() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.run(conn)
	}
}

func (s *closingServer) run(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		buffer := make([]byte, request.ContentLength)
		request.Body.Read(buffer)
		s.requests.Add(1)
		if i == 0 {
			conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
		}
	}
}

func TestCallIsNotRetriedOnClosedIdleConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	server := &closingServer{listener: listener}
	go server.loop()
	transport := &http.Transport{MaxIdleConns: 1}
	defer transport.CloseIdleConnections()
	client := New("http://"+listener.Addr().String(), &http.Client{Transport: transport, Timeout: 10 * time.Second})
	if err := client.Call(context.Background(), "POST", "/commit", 1, nil); err != nil {
		t.Fatal(err)
	}
	err = client.Call(context.Background(), "POST", "/commit", 2, nil)
	if failure := asRequestError(t, err); !failure.MaybeSent || failure.Status != 0 {
		t.Errorf("got %+v, want MaybeSent and status 0", failure)
	}
	if got := server.requests.Load(); got != 2 {
		t.Errorf("server received %d requests, want 2: the transport retried one", got)
	}
}

// rawServer sends text to each request, and closes the connection.
func rawServer(t *testing.T, text string) (url string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// strictClient returns the client that the programs use.
func strictClient() *http.Client {
	return NewHTTPClient(&http.Transport{}, response.Limits{}, 10*clock.Second)
}

// TestMalformedAnswerIsNone guards against an answer whose status or fields are none that is taken for
// one: the call may have taken effect.
func TestMalformedAnswerIsNone(t *testing.T) {
	for _, a := range answer.Malformed() {
		var got int
		err := New(rawServer(t, a.Text("", "1234567")), strictClient()).Call(context.Background(), "POST", "/x", 1, &got)
		if failure := asRequestError(t, err); !failure.MaybeSent || failure.Status != 0 || got != 0 {
			t.Errorf("%s: got %+v and %d, want no status", a.Name, failure, got)
		}
	}
	for _, a := range answer.Sound() {
		var got int
		if err := New(rawServer(t, a.Text("", "1234567")), strictClient()).Call(context.Background(), "POST", "/x", 1, &got); err != nil || got != 1234567 {
			t.Errorf("%s: got %d, %v", a.Name, got, err)
		}
	}
}

// TestListThatMayBeCutIsNone guards against a list or an object without a length that looks whole after
// its connection was cut.
func TestListThatMayBeCutIsNone(t *testing.T) {
	client := New(rawServer(t, "HTTP/1.1 200 OK\r\n\r\n[{\"a\":[1]"), strictClient())
	if data, err := client.CallRaw(context.Background(), "GET", "/endpoints", nil, nil); err == nil {
		t.Errorf("got %q, want an error", data)
	}
}

// TestAnswersOfThePlatformAreCounted guards against answers without end that are read whole, by several
// calls at a time. Sound ones wait for each other.
func TestAnswersOfThePlatformAreCounted(t *testing.T) {
	const budgetBytes, longBytes = 8 << 20, 2 << 20
	budget := memory.New(budgetBytes)
	client := NewHTTPClient(&http.Transport{}, response.Limits{Heads: budget, Bodies: budget}, 10*clock.Second)
	for _, test := range []struct {
		bytes int
		sound bool
	}{{longBytes, true}, {4 * budgetBytes, false}} {
		text := strings.Repeat("1", test.bytes)
		service := New(rawServer(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)), client)
		var calls sync.WaitGroup
		for range 4 {
			calls.Go(func() {
				data, err := service.CallRaw(t.Context(), "GET", "/x", nil, nil)
				if (err == nil) != test.sound || test.sound && len(data) != test.bytes {
					t.Errorf("%d bytes: got %d, %v", test.bytes, len(data), err)
				}
				if held := budget.State().Held; held > budgetBytes {
					t.Errorf("%d bytes are counted", held)
				}
			})
		}
		calls.Wait()
		if held := budget.State().Held; held != 0 {
			t.Errorf("%d bytes are counted after the calls", held)
		}
	}
}
