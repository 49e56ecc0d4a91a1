package http1_test

import (
	"bufio"
	"io"
	"net"
	"testing"
)

// TestOldAnswerInChunksIsNoAnswer guards against the sizes of chunks in a body: answers of HTTP/1.0
// have no chunks, so that nothing shows where such an answer ends.
func TestOldAnswerInChunksIsNoAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.0 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nId: a\r\ntransfer-encoding:chunked\r\nContent-Length: 22\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTRANSFER-ENCODING : chunked\r\nId: a\r\n\r\n",
		"HTTP/1.0 200 OK\nTransfer-Encoding: chunked\nId: a\n\n",
		"HTTP/1.0 103 Early Hints\r\nId: a\r\n\r\nHTTP/1.0 200 OK\r\nId: a\r\n\r\n",
	} {
		if body, err := getCut(t, head+"c\r\n0123456789ab\r\n0\r\n\r\n", false, nil); err == nil {
			t.Errorf("%q: got a whole answer with body %q", head, body)
		}
	}
}

func TestOldConnectionIsNotReused(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\nId: "+id+"\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := newPool()
	for _, id := range []string{"a", "b"} {
		if body, err := get(pool, e, request(id)); err != nil || body != "ok" {
			t.Errorf("got %q, %v", body, err)
		}
	}
	if got := e.connections(); got != 2 {
		t.Errorf("got %d connections, want 2", got)
	}
}
