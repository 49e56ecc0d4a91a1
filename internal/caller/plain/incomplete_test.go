package plain

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// halfClosingCaller sends a call, closes its sending side once the call runs, and
// reads on.
type halfClosingCaller struct {
	conn   *net.TCPConn
	reader *bufio.Reader
}

func (r *testCluster) callHalfClosing(t *testing.T, method string) *halfClosingCaller {
	t.Helper()
	conn, err := net.Dial("tcp", r.daemons[0].address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = fmt.Fprintf(conn, "%s /certificates HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx", method, secret)
	for r.service.runs.Load() == 0 && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	return &halfClosingCaller{conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
}

func (c *halfClosingCaller) receive() (status int, body string, err error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

func TestHalfClosedCallerOfARepeatableCallGetsNoEmptySuccess(t *testing.T) {
	r := newTestCluster(t, 1)
	r.service.hold = make(chan struct{})
	defer close(r.service.hold)
	r.service.mode.Store("hanging")
	if status, body, err := r.callHalfClosing(t, http.MethodGet).receive(); err == nil {
		t.Errorf("got status %d and body %q, want a connection that ends without an answer", status, body)
	}
}

func TestCallThatMayRunOnceIsAnsweredWholeToAHalfClosedCaller(t *testing.T) {
	r := newTestCluster(t, 1)
	r.service.hold = make(chan struct{})
	r.service.mode.Store("hanging")
	caller := r.callHalfClosing(t, http.MethodPost)
	time.Sleep(50 * time.Millisecond)
	close(r.service.hold)
	const want = "run 1 of POST /certificates for himal"
	if status, body, err := caller.receive(); status != http.StatusCreated || body != want || err != nil {
		t.Errorf("got status %d, body %q, error %v; want the whole answer", status, body, err)
	}
	if status, _, body := r.call(t, 0, http.MethodPost, "/certificates", "k", "x"); status != http.StatusCreated || body != want {
		t.Errorf("retry: got status %d, body %q; want the recorded answer", status, body)
	}
}
