package keepalive_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/internal/caller/keepalive"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
)

// limited is a server with limits. Its handler reads the body, marks the request as received and then
// waits for release, unless the path is /at-once.
type limited struct {
	t        *testing.T
	server   *keepalive.Server
	listener net.Listener
	release  chan struct{}
	// outcomes receives what became of each request.
	outcomes chan string
}

func startLimited(t *testing.T, limits keepalive.Limits) *limited {
	logger, _ := test.NewNullLogger()
	l := &limited{t: t, release: make(chan struct{}), outcomes: make(chan string, 64)}
	l.server = keepalive.New(&http.Server{Handler: l, IdleTimeout: time.Minute}, nil, limits, logger)
	var err error
	if l.listener, err = keepalive.Listen(t.Context(), "127.0.0.1:0", limits); err != nil {
		t.Fatal(err)
	}
	go func() { _ = l.server.Serve(l.listener) }()
	t.Cleanup(func() { _ = l.server.Close() })
	return l
}

// ServeHTTP implements http.Handler.
func (l *limited) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, err := io.Copy(io.Discard, r.Body)
	switch {
	case err != nil && keepalive.Yielded(r.Context()):
		l.outcomes <- "yielded"
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil:
		l.outcomes <- "broken"
		return
	case !keepalive.MarkReceived(r.Context()):
		l.outcomes <- "yielded late"
		return
	}
	l.outcomes <- "received"
	if r.URL.Path != "/at-once" {
		<-l.release
	}
}

// send connects and sends the beginning of a request.
func (l *limited) send(text string) net.Conn {
	l.t.Helper()
	conn, err := net.Dial("tcp", l.listener.Addr().String())
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		l.t.Fatal(err)
	}
	return conn
}

// status returns the status of the answer on a connection, 0 if it ends without one.
func status(conn net.Conn) int {
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// isOpen reports whether the server leaves a connection open for some time.
func isOpen(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

const (
	whole     = "GET /at-once HTTP/1.1\r\nHost: x\r\n\r\n"
	slow      = "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n"
	halfHead  = "GET /at-once HTTP/1.1\r\nHost: x\r\n"
	uploading = "POST /at-once HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n"
)

// TestConnectionThatMovesLeastYields guards against callers that are kept out, or lose a request, by
// clients that hold connections and send nothing.
func TestConnectionThatMovesLeastYields(t *testing.T) {
	l := startLimited(t, keepalive.Limits{Connections: 4})
	served := l.send(slow)
	if got := <-l.outcomes; got != "received" {
		t.Fatalf("the first request: %s", got)
	}
	stuck, moving := l.send(halfHead), l.send(uploading)
	kept := l.send(whole)
	if got := status(kept); got != http.StatusOK {
		t.Fatalf("got status %d", got)
	}
	for range 12 {
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(moving, strings.Repeat("x", 1000))
	}
	newcomer := l.send(whole)
	if got := status(newcomer); got != http.StatusOK {
		t.Errorf("the new connection got status %d", got)
	}
	if isOpen(stuck) {
		t.Error("the connection with half a head is still open")
	}
	for name, conn := range map[string]net.Conn{"that moves": moving, "kept": kept, "served": served} {
		if !isOpen(conn) {
			t.Errorf("the connection %s was closed", name)
		}
	}
}

// TestRequestThatWasReceivedDoesNotYield guards against requests that are cut off while they run.
func TestRequestThatWasReceivedDoesNotYield(t *testing.T) {
	const limit = 3
	l := startLimited(t, keepalive.Limits{Connections: limit})
	var running []net.Conn
	for range limit {
		running = append(running, l.send(slow))
		<-l.outcomes
	}
	for range 20 {
		if got := status(l.send("")); got != 0 {
			t.Fatalf("a connection over the limit got status %d", got)
		}
	}
	close(l.release)
	for _, conn := range running {
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		if got := status(conn); got != http.StatusOK {
			t.Errorf("a request that ran got status %d", got)
		}
	}
}

// TestReclaimEndsTheSlowestLongRequest guards against memory that stays with clients that have stopped.
func TestReclaimEndsTheSlowestLongRequest(t *testing.T) {
	l := startLimited(t, keepalive.Limits{})
	stopped, moving, short := l.send(uploading+strings.Repeat("x", 50_000)), l.send(uploading), l.send(uploading)
	for range 30 {
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(moving, strings.Repeat("x", 1000))
	}
	l.server.Reclaim()
	if got := <-l.outcomes; got != "yielded" {
		t.Errorf("the request ended as %s", got)
	}
	if got := status(stopped); got != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want 503", got)
	}
	if !isOpen(moving) || !isOpen(short) {
		t.Error("another request ended")
	}
}

// TestRequestThatYieldedMakesRoom guards against new connections that are closed while others only linger.
func TestRequestThatYieldedMakesRoom(t *testing.T) {
	l := startLimited(t, keepalive.Limits{Connections: 2})
	l.send(slow)
	<-l.outcomes
	l.send(uploading + strings.Repeat("x", 50_000))
	time.Sleep(1100 * time.Millisecond)
	l.server.Reclaim()
	if got := <-l.outcomes; got != "yielded" {
		t.Fatalf("the request ended as %s", got)
	}
	if got := status(l.send(whole)); got != http.StatusOK {
		t.Errorf("the new connection got status %d", got)
	}
}

// TestHeadsAreReserved guards against heads that take more memory than there is.
func TestHeadsAreReserved(t *testing.T) {
	const limit = 1 << 20
	budget := memory.New(limit)
	l := startLimited(t, keepalive.Limits{Memory: budget})
	var head strings.Builder
	head.WriteString(halfHead)
	for n := range 3000 {
		fmt.Fprintf(&head, "X-%d: 1\r\n", n)
	}
	first := l.send(head.String())
	for last := int64(-1); last < limit/2 || budget.State().Held != last; {
		last = budget.State().Held
		time.Sleep(100 * time.Millisecond)
	}
	second := l.send(head.String())
	if got := status(second); got != http.StatusServiceUnavailable {
		t.Errorf("the second head got status %d, want 503", got)
	}
	if held := budget.State().Held; held < limit/2 || held > limit {
		t.Errorf("%d bytes are held of %d", held, limit)
	}
	_, _ = io.WriteString(first, "\r\n")
	if got := status(first); got != http.StatusOK {
		t.Errorf("the first head got status %d", got)
	}
	_ = first.Close()
	for deadline := time.Now().Add(5 * time.Second); budget.State().Held != 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are held after the requests", budget.State().Held)
		}
	}
}
