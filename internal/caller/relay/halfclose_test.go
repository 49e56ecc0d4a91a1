package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// halfClosingCaller sends a request, closes its sending side, and reads on.
type halfClosingCaller struct {
	t    *testing.T
	conn *net.TCPConn
	in   *bufio.Reader
}

func (f *fixture) dialHalfClosing(t *testing.T, path string) *halfClosingCaller {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.caller.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 1\r\n\r\nx", path)
	return &halfClosingCaller{t: t, conn: conn.(*net.TCPConn), in: bufio.NewReader(conn)}
}

func (c *halfClosingCaller) closeSendingSide() {
	c.t.Helper()
	if err := c.conn.CloseWrite(); err != nil {
		c.t.Fatal(err)
	}
}

// receive reads the answer to its end.
func (c *halfClosingCaller) receive() reply {
	answer, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return reply{err: err}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return reply{status: answer.StatusCode, body: string(body), err: err}
}

// waitForCancel returns once the daemon has canceled the request, after which it gets no more
// of the answer.
func waitForCancel(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(3 * time.Second):
	}
}

func TestStreamOfACallerThatHalfClosesDoesNotEndAsComplete(t *testing.T) {
	for _, path := range []string{"/stream/1", "/resumable/1"} {
		begun := make(chan struct{})
		f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Seal", "s")
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, eventText(1, 2))
			_ = http.NewResponseController(w).Flush()
			close(begun)
			waitForCancel(r)
		})
		caller := f.dialHalfClosing(t, path)
		<-begun
		time.Sleep(20 * time.Millisecond)
		caller.closeSendingSide()
		if got := caller.receive(); got.err == nil {
			t.Errorf("%s: got status %d and a complete body %q, want a stream that breaks off", path, got.status, got.body)
		}
	}
}

func TestRequestOfACallerThatHalfClosesGetsNoEmptySuccess(t *testing.T) {
	for _, path := range []string{"/pay/1", "/look/1", "/stream/1"} {
		received := make(chan struct{})
		f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			close(received)
			waitForCancel(r)
		})
		caller := f.dialHalfClosing(t, path)
		<-received
		caller.closeSendingSide()
		if got := caller.receive(); got.err == nil {
			t.Errorf("%s: got status %d and body %q, want a connection that ends without an answer", path, got.status, got.body)
		}
	}
}
