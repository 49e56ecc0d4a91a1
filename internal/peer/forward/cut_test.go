package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
	"github.com/banyanshift/banyanshift/internal/peer/forward"
)

// cutAnswers are whole answers to request "r", by how they show their end.
var cutAnswers = map[string]string{
	"Length":     "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 12\r\n\r\n0123456789ab",
	"Chunks":     "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n2\r\nab\r\n0\r\nSum: 1\r\n\r\n",
	"Interim":    "HTTP/1.1 103 Early Hints\r\nId: r\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 12\r\n\r\n0123456789ab",
	"Connection": "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\n\r\n0123456789ab",
	"HTTP10":     "HTTP/1.0 200 OK\r\nId: r\r\nSeal: s\r\n\r\n0123456789ab",
}

// endAfter returns a handler that writes an answer, as far as written says, and ends the
// connection.
func endAfter(written *atomic.Pointer[string], isReset *atomic.Bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, *written.Load())
		if isReset.Load() {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

// read sends a request through the peer and reads the answer.
func (p *peer) read() (body string, err error) {
	answer, err := p.do(context.Background(), newRequest(nil, 5*clock.Second))
	if err != nil {
		return "", err
	}
	defer answer.Close()
	data, err := io.ReadAll(answer)
	return string(data), err
}

// TestAnswerThatIsCutAtAnyByteIsNotWholeThroughAPeer guards against an end of the endpoint's
// connection that the peer passes on as the end of a head, a field or a chunk.
func TestAnswerThatIsCutAtAnyByteIsNotWholeThroughAPeer(t *testing.T) {
	for name, whole := range cutAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var written atomic.Pointer[string]
			var isReset atomic.Bool
			p := startPeer(t, endAfter(&written, &isReset))
			bodyStart := strings.LastIndex(whole, "\r\n\r\n0") + len("\r\n\r\n")
			for cut := range whole {
				part := whole[:cut]
				written.Store(&part)
				isReset.Store(true)
				if body, err := p.read(); err == nil {
					t.Errorf("reset after %q: got a whole answer with body %q", part, body)
				}
				isReset.Store(false)
				if body, err := p.read(); err == nil && (cut < bodyStart || name != "Connection" && name != "HTTP10") {
					t.Errorf("cut after %q: got a whole answer with body %q", part, body)
				}
			}
			written.Store(&whole)
			if body, err := p.read(); err != nil || body != "0123456789ab" {
				t.Errorf("whole answer: got body %q and error %v", body, err)
			}
		})
	}
}

// cutListener passes the connections of a Client on to a peer, and ends them after a number of
// bytes of the peer.
type cutListener struct {
	net.Listener
	peer string
	left int64
}

// run passes on one connection at a time.
func (l *cutListener) run() {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		l.pass(conn)
	}
}

func (l *cutListener) pass(conn net.Conn) {
	defer conn.Close()
	peer, err := net.Dial("tcp", l.peer)
	if err != nil {
		return
	}
	defer peer.Close()
	go func() { _, _ = io.Copy(peer, conn) }()
	_, _ = io.CopyN(conn, peer, l.left)
}

// TestAnswerOfAPeerThatIsCutAtAnyByteIsNotWhole guards against the end of a peer's connection that
// counts as the end of a message or of the answer.
func TestAnswerOfAPeerThatIsCutAtAnyByteIsNotWhole(t *testing.T) {
	p := startPeer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "0123456789ab") })
	ip := fmt.Sprintf("127.%d.%d.7", 10+os.Getpid()%100, lastIP.Add(1))
	whole := 0
	for cut := range int64(2000) {
		listener, err := net.Listen("tcp", ip+":8083")
		if err != nil {
			t.Fatal(err)
		}
		l := &cutListener{Listener: listener, peer: p.config.Listen, left: cut}
		go l.run()
		body, err := readThrough(ip+":1", p.target())
		_ = listener.Close()
		var requestError *http1.RequestError
		switch {
		case err == nil && body != "0123456789ab":
			t.Errorf("cut after %d bytes: got a whole answer with body %q", cut, body)
		case err == nil:
			whole++
		case whole > 0:
			t.Errorf("cut after %d bytes: got error %v, though fewer bytes were a whole answer", cut, err)
		case errors.As(err, &requestError) && !requestError.Sent:
			t.Errorf("cut after %d bytes: the request counts as not sent: %v", cut, err)
		}
		if whole > 1 {
			return
		}
	}
	t.Error("there was no whole answer")
}

// readThrough sends a request through the peer at an address and reads the answer.
func readThrough(address string, target forward.Target) (body string, err error) {
	client := forward.NewClient(clock.System(), "8083", memory.New(1<<20))
	conn, err := client.Open(context.Background(), address, target)
	if err != nil {
		return "", err
	}
	answer, err := conn.Do(context.Background(), newRequest(nil, 5*clock.Second))
	if err != nil {
		return "", err
	}
	defer answer.Close()
	data, err := io.ReadAll(answer)
	return string(data), err
}
