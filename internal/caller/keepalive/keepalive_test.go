package keepalive_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/caller/keepalive"
)

const requestText = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// ledger counts the bytes that a server has read from a connection and the answers it has begun.
type ledger struct {
	net.Conn
	lost        *atomic.Int64
	closeHook   *atomic.Pointer[func()]
	read, wrote atomic.Int64
	// beforeRead and afterRead stand for a goroutine that gets no processor then. The read of net/http
	// that waits for one byte while a request is served is left alone.
	beforeRead, afterRead func(read int64)
}

func (c *ledger) Read(p []byte) (int, error) {
	if isBackground := len(p) == 1; c.beforeRead != nil && !isBackground {
		c.beforeRead(c.read.Load())
	}
	n, err := c.Conn.Read(p)
	read := c.read.Add(int64(n))
	if c.afterRead != nil && n > 0 {
		c.afterRead(read)
	}
	return n, err
}

func (c *ledger) Write(p []byte) (int, error) {
	c.wrote.Add(1)
	return c.Conn.Write(p)
}

func (c *ledger) Close() error {
	if hook := c.closeHook.Load(); hook != nil {
		(*hook)()
	}
	if requests := c.read.Load() / int64(len(requestText)); requests > c.wrote.Load() {
		c.lost.Add(requests - c.wrote.Load())
	}
	return c.Conn.Close()
}

func (c *ledger) NetConn() net.Conn { return c.Conn }

// ledgers is a listener whose connections are ledgers. Its handler announces their end once
// draining is set.
type ledgers struct {
	*net.TCPListener
	lost                  atomic.Int64
	draining              atomic.Bool
	beforeRead, afterRead func(read int64)
	// acceptHook runs before each Accept, and closeHook before each connection is closed.
	acceptHook, closeHook atomic.Pointer[func()]
}

// beforeAccept sets a function that runs before each later call of Accept.
func (l *ledgers) beforeAccept(hook func()) { l.acceptHook.Store(&hook) }

// beforeClose sets a function that runs before each connection is closed from now on.
func (l *ledgers) beforeClose(hook func()) { l.closeHook.Store(&hook) }

func (l *ledgers) Accept() (net.Conn, error) {
	if hook := l.acceptHook.Load(); hook != nil {
		(*hook)()
	}
	accepted, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &ledger{Conn: accepted, lost: &l.lost, closeHook: &l.closeHook, beforeRead: l.beforeRead, afterRead: l.afterRead}, nil
}

// startServer serves a handler that answers with "ok", like a server that announces its end.
func startServer(t *testing.T, beforeRead, afterRead func(read int64)) (*keepalive.Server, *ledgers) {
	t.Helper()
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &ledgers{TCPListener: inner.(*net.TCPListener), beforeRead: beforeRead, afterRead: afterRead}
	httpServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == resetPath {
			resetAnswer(t, w)
			return
		}
		work(r)
		if listener.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, "ok")
	})}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	server := keepalive.New(httpServer, nil, keepalive.Limits{}, logger)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-served; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return server, listener
}

const (
	// slowPath is the path of requests that take slowTime.
	slowPath = "/slow"
	slowTime = 1500 * time.Millisecond
)

// work takes the time of a request, which breaks off when its caller leaves.
func work(r *http.Request) {
	if r.URL.Path == slowPath {
		select {
		case <-r.Context().Done():
		case <-time.After(slowTime):
		}
	}
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// caller is one kept connection of a caller.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, l net.Listener) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{conn: conn, reader: bufio.NewReader(conn)}
}

func (c *caller) send() error {
	_, err := io.WriteString(c.conn, requestText)
	return err
}

// receive reads an answer. It reports whether the connection goes on.
func (c *caller) receive() (kept bool, err error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false, err
	}
	defer answer.Body.Close()
	if body, err := io.ReadAll(answer.Body); err != nil || string(body) != "ok" {
		return false, fmt.Errorf("body %q, %w", body, err)
	}
	return !answer.Close, nil
}

// exchange sends a request and fails the test unless it is answered.
func (c *caller) exchange(t *testing.T) {
	t.Helper()
	if err := c.send(); err != nil {
		t.Fatal(err)
	}
	if _, err := c.receive(); err != nil {
		t.Fatalf("no answer: %v", err)
	}
}

func shutDown(server *keepalive.Server, listener *ledgers) chan error {
	listener.draining.Store(true)
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		done <- server.Shutdown(ctx)
	}()
	return done
}

// TestRequestIsNotLostInAShutdown guards against a kept connection that is closed as idle though
// a request on it has been read, or has arrived and waits to be read.
func TestRequestIsNotLostInAShutdown(t *testing.T) {
	t.Parallel()
	const (
		idleTime = 100 * time.Millisecond
		// lateTime is longer than a kept connection may stay idle in a shutdown.
		lateTime = 1500 * time.Millisecond
	)
	for name, late := range map[string]func(shuttingDown <-chan struct{}) (before, after func(read int64)){
		"read, not parsed": func(shuttingDown <-chan struct{}) (before, after func(read int64)) {
			return nil, func(read int64) {
				if read > int64(len(requestText)) {
					<-shuttingDown
				}
			}
		},
		"arrived, not read": func(shuttingDown <-chan struct{}) (before, after func(read int64)) {
			return func(read int64) {
				if read == int64(len(requestText)) {
					<-shuttingDown
				}
			}, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			shuttingDown := make(chan struct{})
			before, after := late(shuttingDown)
			server, listener := startServer(t, before, after)
			c := dial(t, listener)
			c.exchange(t)
			time.Sleep(idleTime)
			if err := c.send(); err != nil {
				t.Fatal(err)
			}
			done := shutDown(server, listener)
			time.Sleep(lateTime)
			close(shuttingDown)
			if kept, err := c.receive(); err != nil || kept {
				t.Errorf("got error %v and kept %t, want an answer that ends the connection", err, kept)
			}
			if err := <-done; err != nil {
				t.Errorf("Shutdown: %v", err)
			}
		})
	}
}

// TestNewConnectionIsServedInAShutdown guards against a new connection that is closed before its
// first request, and against one without any request that holds up the shutdown.
func TestNewConnectionIsServedInAShutdown(t *testing.T) {
	t.Parallel()
	server, listener := startServer(t, nil, nil)
	speaks, silent := dial(t, listener), dial(t, listener)
	time.Sleep(10 * time.Millisecond)
	done := shutDown(server, listener)
	time.Sleep(10 * time.Millisecond)
	speaks.exchange(t)
	_ = silent.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := silent.reader.ReadByte(); err != io.EOF {
		t.Errorf("silent connection: got %v, want its end", err)
	}
	if err := <-done; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}

// TestIdleConnectionsEndInAShutdown guards against a shutdown that waits for idle connections.
func TestIdleConnectionsEndInAShutdown(t *testing.T) {
	t.Parallel()
	server, listener := startServer(t, nil, nil)
	c := dial(t, listener)
	c.exchange(t)
	started := time.Now()
	if err := <-shutDown(server, listener); err != nil {
		t.Errorf("Shutdown: %v", err)
	}
	if took := time.Since(started); took > 5*time.Second {
		t.Errorf("Shutdown took %s", took)
	}
	if _, err := c.reader.ReadByte(); err != io.EOF {
		t.Errorf("got %v, want the end of the connection", err)
	}
}

// TestBusyServerLosesNoRequestInAShutdown guards against lost requests when goroutines wait long
// for the processor. It runs by itself, since it delays all other tests.
func TestBusyServerLosesNoRequestInAShutdown(t *testing.T) {
	const (
		callers = 64
		busy    = 32
		warmUp  = 300 * time.Millisecond
	)
	server, listener := startServer(t, nil, nil)
	stop := make(chan struct{})
	var spinning sync.WaitGroup
	for range busy {
		spinning.Go(func() { spin(stop) })
	}
	var answered, cut atomic.Int64
	var calling sync.WaitGroup
	for range callers {
		c := dial(t, listener)
		calling.Go(func() {
			for c.send() == nil {
				kept, err := c.receive()
				if err != nil {
					cut.Add(1)
					return
				}
				answered.Add(1)
				if !kept {
					return
				}
			}
		})
	}
	time.Sleep(warmUp)
	if err := <-shutDown(server, listener); err != nil {
		t.Errorf("Shutdown: %v", err)
	}
	calling.Wait()
	close(stop)
	spinning.Wait()
	t.Logf("%d requests answered, %d cut, of which %d had been read", answered.Load(), cut.Load(), listener.lost.Load())
	if lost := listener.lost.Load(); lost > 0 {
		t.Errorf("%d requests were read and not answered", lost)
	}
}

// spin uses the processor until stop is closed.
func spin(stop <-chan struct{}) {
	text := strings.Repeat("x", 1<<10)
	for {
		select {
		case <-stop:
			return
		default:
			_ = strings.Count(text, "y")
		}
	}
}

// resetPath is answered with a part of an answer and a reset.
const resetPath = "/reset"

func resetAnswer(t *testing.T, w http.ResponseWriter) {
	_, _ = io.WriteString(w, "part")
	control := http.NewResponseController(w)
	_ = control.Flush()
	conn, _, err := control.Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	if err := keepalive.Reset(conn); err != nil {
		t.Error(err)
	}
	_ = conn.Close()
}

// TestResetAnswerDoesNotEndAsComplete guards against a reset that does not reach the TCP
// connection, where only the end of the connection ends the answer.
func TestResetAnswerDoesNotEndAsComplete(t *testing.T) {
	t.Parallel()
	_, listener := startServer(t, nil, nil)
	c := dial(t, listener)
	_, _ = io.WriteString(c.conn, "GET "+resetPath+" HTTP/1.0\r\n\r\n")
	if text, err := io.ReadAll(c.reader); err == nil {
		t.Errorf("the answer %q ended as if it were complete", text)
	}
}
