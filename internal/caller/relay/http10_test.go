package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// readFromOldCaller sends a request of HTTP/1.0, whose answers have no chunks, and returns all
// that arrives until the connection ends.
func (f *fixture) readFromOldCaller(path string) (text string, err error) {
	f.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.caller.URL, "http://"))
	if err != nil {
		f.t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nId: r1\r\nKey: k\r\nContent-Length: 0\r\n\r\n", path)
	data, err := io.ReadAll(conn)
	return string(data), err
}

// TestAbortedAnswerIsResetWithoutChunks guards against an answer that looks complete, since it
// ends with its connection where the caller speaks HTTP/1.0.
func TestAbortedAnswerIsResetWithoutChunks(t *testing.T) {
	breaksOff := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Seal", "s")
		_, _ = io.WriteString(w, longBody)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for path, handle := range map[string]http.HandlerFunc{"/stream/1": events(1, 3, false), "/pay/1": breaksOff} {
		f := newFixture(t, handle)
		if text, err := f.readFromOldCaller(path); err == nil {
			t.Errorf("%s: the answer of %d bytes ended as if it were complete", path, len(text))
		}
	}
	f := newFixture(t, events(1, 3, true))
	if text, err := f.readFromOldCaller("/stream/1"); err != nil || !strings.HasSuffix(text, eventText(1, 3)) {
		t.Errorf("got %q, %v; want a complete stream", text, err)
	}
}
