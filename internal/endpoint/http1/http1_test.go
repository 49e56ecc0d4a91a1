package http1_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

// endpoint is a TCP server that runs serve for the nth connection.
type endpoint struct {
	t        *testing.T
	listener net.Listener
	serve    func(conn net.Conn, n int)

	mu    sync.Mutex
	conns int
}

func newEndpoint(t *testing.T, serve func(conn net.Conn, n int)) *endpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{t: t, listener: listener, serve: serve}
	t.Cleanup(func() { _ = listener.Close() })
	go e.run()
	return e
}

func (e *endpoint) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns++
		n := e.conns
		e.mu.Unlock()
		go func() {
			defer conn.Close()
			e.serve(conn, n)
		}()
	}
}

func (e *endpoint) connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conns
}

func answeredID(header http.Header) string { return header.Get("Id") }

func newPool() *http1.Pool {
	return http1.New(http1.Config{Clock: clock.System(), AnsweredID: answeredID})
}

func request(id string) http1.Request {
	return http1.Request{ID: id, Method: "POST", Head: []byte("POST /x HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n"), Deadline: clock.System().Now() + 2000}
}

// newPipePool returns a pool whose only connection is given.
func newPipePool(conn net.Conn) *http1.Pool {
	return http1.New(http1.Config{
		Clock:      clock.System(),
		AnsweredID: answeredID,
		Dial:       func(context.Context, string, string) (net.Conn, error) { return conn, nil },
	})
}

// get sends a request and returns the body of the answer.
func get(p *http1.Pool, e *endpoint, r http1.Request) (string, error) {
	return getFrom(p, e.listener.Addr().String(), r)
}

func getFrom(p *http1.Pool, address string, r http1.Request) (string, error) {
	answer, err := p.Do(context.Background(), "e1", address, r)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

// readRequest reads a request and returns its ID, or "" if reading fails.
func readRequest(reader *bufio.Reader) string {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get("Id")
}

func reply(conn net.Conn, id, body string) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: "+itoa(len(body))+"\r\n\r\n"+body)
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + string(rune('0'+n%10))
}

func TestConnectionIsReused(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			reply(conn, id, "answer to "+id)
		}
	})
	pool := newPool()
	for _, id := range []string{"a", "b", "c"} {
		if body, err := get(pool, e, request(id)); err != nil || body != "answer to "+id {
			t.Fatalf("request %s: got body %q, error %v", id, body, err)
		}
	}
	if e.connections() != 1 {
		t.Errorf("got %d connections for three requests, want 1", e.connections())
	}
}

func TestLateAnswerOfAnEarlierRequestIsPassedOver(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		first := readRequest(reader)
		reply(conn, first, "first")
		second := readRequest(reader)
		reply(conn, first, "first once more")
		reply(conn, second, "second")
	})
	pool := newPool()
	if body, err := get(pool, e, request("a")); err != nil || body != "first" {
		t.Fatal(body, err)
	}
	if body, err := get(pool, e, request("b")); err != nil || body != "second" {
		t.Errorf("got body %q, error %v; want \"second\"", body, err)
	}
}

func TestConnectionWithStrayBytesIsNotUsedAgain(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		id := readRequest(reader)
		reply(conn, id, "right")
		reply(conn, id, "stray")
		readRequest(reader)
	})
	pool := newPool()
	for _, id := range []string{"a", "b"} {
		if body, err := get(pool, e, request(id)); err != nil || body != "right" {
			t.Fatal(body, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if e.connections() != 2 {
		t.Errorf("got %d connections, want 2, one per request", e.connections())
	}
}

func TestClosedConnectionIsNoticedBeforeItIsUsed(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ int) {
		id := readRequest(bufio.NewReader(conn))
		reply(conn, id, "ok")
	})
	pool := newPool()
	for _, id := range []string{"a", "b", "c"} {
		if _, err := get(pool, e, request(id)); err != nil {
			t.Fatalf("%s: %v", id, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestAnswerThatBreaksOffIsAFailure(t *testing.T) {
	for name, sent := range map[string]string{
		"in the body":  "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf",
		"in a chunk":   "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhalf",
		"in the head":  "HTTP/1.1 200 OK\r\nId: a\r\nConte",
		"with garbage": "\x00\x01 not an answer\r\n\r\n",
		"at once":      "",
	} {
		e := newEndpoint(t, func(conn net.Conn, _ int) {
			readRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, sent)
		})
		_, err := get(newPool(), e, request("a"))
		var failure *http1.RequestError
		if !errors.As(err, &failure) || !failure.Sent {
			t.Errorf("%s: got %v, want a RequestError with Sent", name, err)
		}
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ int) {
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole")
	})
	if body, err := get(newPool(), e, request("a")); err != nil || body != "whole" {
		t.Errorf("got body %q, error %v; want \"whole\"", body, err)
	}
}

func TestAnswerWithoutLengthThatIsResetIsAFailure(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ int) {
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf")
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	if body, err := get(newPool(), e, request("a")); err == nil {
		t.Errorf("got body %q without an error", body)
	}
}

func TestFailedDialSendsNothing(t *testing.T) {
	e := newEndpoint(t, nil)
	_ = e.listener.Close()
	_, err := get(newPool(), e, request("a"))
	var failure *http1.RequestError
	if !errors.As(err, &failure) || failure.Sent || !failure.DialFailed {
		t.Errorf("got %v, want a RequestError with DialFailed and not Sent", err)
	}
}

func TestEarlyAnswerToALongBodyClosesTheConnection(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReaderSize(conn, 16)
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			if strings.TrimSpace(line) == "" {
				break
			}
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nId: a\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(200 * time.Millisecond)
	})
	long := request("a")
	long.Body = bytes.Repeat([]byte("x"), 8<<20)
	pool := newPool()
	if _, err := get(pool, e, long); err != nil {
		t.Fatal(err)
	}
	short := request("a")
	if _, err := get(pool, e, short); err != nil {
		t.Fatal(err)
	}
	if e.connections() != 2 {
		t.Error("the connection was reused while the endpoint waited for the rest of the body")
	}
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	e := newEndpoint(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		readRequest(reader)
		_, _ = reader.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := newPool().Do(ctx, "e1", e.listener.Addr().String(), request("a"))
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want context.Canceled", err)
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the connection to the endpoint was not closed")
	}
}

// TestConnectionIsReusedAfterTheDeadlineOfItsLastRequest guards against open connections
// that are closed because the time limit of an earlier request has passed.
func TestConnectionIsReusedAfterTheDeadlineOfItsLastRequest(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			reply(conn, id, "answer to "+id)
		}
	})
	pool := newPool()
	for _, id := range []string{"a", "b"} {
		r := request(id)
		r.Deadline = clock.System().Now() + 100
		if _, err := get(pool, e, r); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
	}
	if e.connections() != 1 {
		t.Errorf("got %d connections for two requests, want 1", e.connections())
	}
}

func TestAnswerThatEndsWithItsProcessIsNotComplete(t *testing.T) {
	gone := errors.New("gone")
	for _, test := range []struct {
		name string
		// listed is the incarnation that is listed before, and listedAfter the one at the end.
		listed, listedAfter int64
		confirmed           error
		whole               bool
	}{
		{name: "StillThere", listed: 7, listedAfter: 7, whole: true},
		{name: "Gone", listed: 7, listedAfter: 7, confirmed: gone},
		{name: "ListedAnew", listed: 7, listedAfter: 8},
		{name: "NoLongerListed", listed: 7, whole: true},
		{name: "NeverListed", whole: true},
		{name: "ListedLate", listedAfter: 7},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newEndpoint(t, cutEndpoint{answer: "HTTP/1.1 200 OK\r\nId: r1\r\n\r\npart"}.serve)
			var listed atomic.Int64
			listed.Store(test.listed)
			pool := http1.New(http1.Config{
				Clock: clock.System(), AnsweredID: answeredID, Listed: func(string) int64 { return listed.Load() },
				ConfirmEnd: func(_ context.Context, process http1.Process) error {
					if want := (http1.Process{Key: "e1", Address: e.listener.Addr().String(), Incarnation: test.listed}); process != want {
						t.Errorf("asked for %+v, want %+v", process, want)
					}
					return test.confirmed
				},
			})
			answer, err := pool.Do(t.Context(), "e1", e.listener.Addr().String(), request("r1"))
			if err != nil {
				t.Fatal(err)
			}
			listed.Store(test.listedAfter)
			body, err := io.ReadAll(answer)
			answer.Close()
			if errors.Is(err, http1.ErrEndUnconfirmed) == test.whole || (err == nil) != test.whole || string(body) != "part" {
				t.Errorf("got %q, %v", body, err)
			}
		})
	}
}

// TestConnectionToAnEarlierIncarnationIsNotUsed guards against an answer of a process whose
// successor confirms its end.
func TestConnectionToAnEarlierIncarnationIsNotUsed(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			reply(conn, id, "ok")
		}
	})
	var listed atomic.Int64
	pool := http1.New(http1.Config{Clock: clock.System(), AnsweredID: answeredID, Listed: func(string) int64 { return listed.Load() }})
	for _, test := range []struct{ listed, connections int }{{7, 1}, {7, 1}, {0, 1}, {8, 2}, {8, 2}} {
		listed.Store(int64(test.listed))
		if _, err := get(pool, e, request("a")); err != nil {
			t.Fatal(err)
		}
		if got := e.connections(); got != test.connections {
			t.Errorf("incarnation %d: got %d connections, want %d", test.listed, got, test.connections)
		}
	}
}
