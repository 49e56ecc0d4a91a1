package http1_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

// maxHostileBytes is how many bytes of an answer that never ends may be read before the
// connection is closed.
const maxHostileBytes = 8 << 20

// endless is an endpoint that answers with a start and then the same piece until the
// connection is closed.
type endless struct {
	start, piece string
	// inHead is set if the answer never gets beyond its head.
	inHead  bool
	written atomic.Int64
	closed  chan struct{}
}

func (e *endless) serve(conn net.Conn, _ int) {
	defer close(e.closed)
	_ = readRequest(bufio.NewReader(conn))
	_, err := io.WriteString(conn, e.start)
	for err == nil {
		var n int
		n, err = io.WriteString(conn, e.piece)
		e.written.Add(int64(n))
	}
}

// TestAnswerWithoutEndIsGivenUp guards against endpoints in trouble that send bytes which are
// no answer until the connection is closed.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	const timeout = 5 * clock.Second
	for name, e := range map[string]*endless{
		"Garbage":         {inHead: true, piece: strings.Repeat("x", 4096)},
		"StatusLine":      {inHead: true, start: "HTTP/1.1 200 O", piece: strings.Repeat("K", 4096)},
		"Header":          {inHead: true, start: "HTTP/1.1 200 OK\r\n", piece: "X: " + strings.Repeat("y", 1000) + "\r\n"},
		"HeaderLine":      {inHead: true, start: "HTTP/1.1 200 OK\r\nX: ", piece: strings.Repeat("y", 4096)},
		"Informational":   {inHead: true, piece: "HTTP/1.1 102 Processing\r\n\r\n"},
		"ChunkExtension":  {start: "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5;", piece: strings.Repeat("e", 4096)},
		"ChunkExtensions": {start: "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", piece: "1;" + strings.Repeat("e", 2000) + "\r\nx\r\n"},
		"Trailer":         {start: "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", piece: "X: " + strings.Repeat("y", 1000) + "\r\n"},
		"StrayAnswers":    {piece: "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("z", 1000000)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e.closed = make(chan struct{})
			endpoint := newEndpoint(t, e.serve)
			r := request("a")
			r.Deadline = clock.System().Now() + timeout
			began := time.Now()
			_, err := get(newPool(), endpoint, r)
			if err == nil || e.inHead != errors.Is(err, http1.ErrHeadTooLarge) {
				t.Errorf("got error %v, want one about the head: %v", err, e.inHead)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("it was given up after %v", took)
			}
			select {
			case <-e.closed:
			case <-time.After(time.Second):
				t.Error("the connection is still open")
			}
			if written := e.written.Load(); written > maxHostileBytes {
				t.Errorf("%d bytes were sent, want at most %d", written, maxHostileBytes)
			}
		})
	}
}

// FuzzAnswer checks that no answer makes the client fail or accept more than one answer.
func FuzzAnswer(f *testing.F) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: a\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nId: a\r\n\r\n",
		"\x00\xff garbage",
	} {
		f.Add([]byte(answer))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		client, server := net.Pipe()
		defer server.Close()
		go func() {
			reader := bufio.NewReader(server)
			_ = readRequest(reader)
			_, _ = server.Write(answer)
			_ = server.Close()
		}()
		pool := newPipePool(client)
		body, err := getFrom(pool, "pipe", request("a"))
		if err == nil && !bytes.Contains(answer, []byte(body)) && !bytes.Contains(answer, []byte("chunked")) {
			t.Errorf("got a body %q that the endpoint did not send", body)
		}
	})
}
