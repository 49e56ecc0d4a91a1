package forward_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
	"github.com/banyanshift/banyanshift/internal/peer/forward"
)

// peer is a daemon that forwards requests to one endpoint.
type peer struct {
	config   forward.ServerConfig
	server   *forward.Server
	client   *forward.Client
	address  string
	endpoint *httptest.Server
	// refusal is the error of the peer's connection to the endpoint.
	refusal atomic.Pointer[forward.Refusal]
	heads   atomic.Int64
	// ids is set if answers name their requests.
	ids atomic.Bool
}

var lastIP atomic.Int64

// startPeer starts a peer on a loopback address of its own.
func startPeer(t *testing.T, serve http.HandlerFunc) *peer {
	t.Helper()
	const port = "8083"
	logger, _ := logtest.NewNullLogger()
	p := &peer{endpoint: httptest.NewServer(serve), client: forward.NewClient(clock.System(), port, memory.New(1<<20))}
	t.Cleanup(p.endpoint.Close)
	ip := fmt.Sprintf("127.%d.%d.7", 10+os.Getpid()%100, lastIP.Add(1))
	p.address = ip + ":1"
	pool := http1.New(http1.Config{Clock: clock.System(), AnsweredID: func(header http.Header) string {
		if p.ids.Load() {
			return header.Get("Id")
		}
		return "r"
	}})
	p.config = forward.ServerConfig{
		Clock: clock.System(), Logger: logger, Listen: net.JoinHostPort(ip, port),
		Connect: func(ctx context.Context, target forward.Target) (*http1.Conn, error) {
			if refusal := p.refusal.Load(); refusal != nil {
				return nil, refusal
			}
			return pool.Dial(ctx, target.Endpoint, target.Address)
		},
		RecordAnswer: func(forward.Target, int, http.Header) { p.heads.Add(1) }, Memory: memory.New(64 << 20),
	}
	p.start(t)
	return p
}

func (p *peer) start(t *testing.T) {
	t.Helper()
	p.server = forward.NewServer(p.config)
	if err := p.server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.server.Close)
}

// restart ends all connections to the peer.
func (p *peer) restart(t *testing.T) {
	t.Helper()
	p.server.Close()
	p.start(t)
}

func (p *peer) target() forward.Target {
	return forward.Target{Endpoint: "e", Address: strings.TrimPrefix(p.endpoint.URL, "http://")}
}

func newRequest(body []byte, timeout clock.Millis) http1.Request {
	return http1.Request{ID: "r", Method: http.MethodPost, Head: []byte("POST /x HTTP/1.1\r\nHost: h\r\nId: r\r\n"), Body: body, Deadline: clock.System().Now() + timeout}
}

// do sends a request through the peer.
func (p *peer) do(ctx context.Context, request http1.Request) (*http1.Answer, error) {
	conn, err := p.client.Open(ctx, p.address, p.target())
	if err != nil {
		return nil, err
	}
	return conn.Do(ctx, request)
}

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	p := startPeer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Add("Seal", r.Header.Get("Id"))
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write(body)
	})
	for _, size := range []int{0, 1, 100_000, 3 << 20} {
		body := bytes.Repeat([]byte("abc"), size/3+1)[:size]
		answer, err := p.do(context.Background(), newRequest(body, 5*clock.Second))
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(answer)
		answer.Close()
		if err != nil || !bytes.Equal(got, body) || answer.Status != http.StatusCreated || answer.Header.Get("Seal") != "r" {
			t.Errorf("body of %d bytes: got status %d, %d bytes, error %v", size, answer.Status, len(got), err)
		}
	}
	if got := p.heads.Load(); got != 4 {
		t.Errorf("the peer recorded %d answers, want 4", got)
	}
}

func TestAnswerThatBreaksOffIsNotComplete(t *testing.T) {
	p := startPeer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	answer, err := p.do(context.Background(), newRequest(nil, clock.Second))
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	got, err := io.ReadAll(answer)
	if err == nil || string(got) != "half" {
		t.Errorf("got %q, error %v, want half an answer and an error", got, err)
	}
}

func TestEventsPassAsTheyArrive(t *testing.T) {
	next := make(chan struct{})
	p := startPeer(t, func(w http.ResponseWriter, _ *http.Request) {
		for range 3 {
			_, _ = io.WriteString(w, "event\n")
			_ = http.NewResponseController(w).Flush()
			<-next
		}
	})
	answer, err := p.do(context.Background(), newRequest(nil, 5*clock.Second))
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	buf := make([]byte, 100)
	for range 3 {
		n, err := answer.Read(buf)
		if err != nil || string(buf[:n]) != "event\n" {
			t.Fatalf("got %q, error %v, want one event", buf[:n], err)
		}
		next <- struct{}{}
	}
}

func TestRequestEndsAtTheEndpointWhenTheCallerLeaves(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	p := startPeer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-started
		leave()
	}()
	if _, err := p.do(ctx, newRequest(nil, 10*clock.Second)); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want that the caller left", err)
	}
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Error("the endpoint still worked 500 ms later")
	}
}

func TestRefusalLeavesTheConnectionOpen(t *testing.T) {
	p := startPeer(t, func(http.ResponseWriter, *http.Request) {})
	p.refusal.Store(&forward.Refusal{Code: forward.Unreachable, Reason: "no path"})
	for range 2 {
		_, err := p.client.Open(context.Background(), p.address, p.target())
		var refusal *forward.Refusal
		if !errors.As(err, &refusal) || refusal.Code != forward.Unreachable {
			t.Fatalf("got error %v, want that the endpoint is unreachable", err)
		}
	}
	p.refusal.Store(nil)
	if _, err := p.do(context.Background(), newRequest(nil, clock.Second)); err != nil {
		t.Error(err)
	}
}

func TestStoppingPeerRefusesAndCompletes(t *testing.T) {
	release := make(chan struct{})
	p := startPeer(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	conn, err := p.client.Open(context.Background(), p.address, p.target())
	if err != nil {
		t.Fatal(err)
	}
	p.server.SetStopping()
	var refusal *forward.Refusal
	if _, err := p.client.Open(context.Background(), p.address, p.target()); !errors.As(err, &refusal) || refusal.Code != forward.Unavailable {
		t.Errorf("got error %v, want that the peer is unavailable", err)
	}
	drained := make(chan struct{})
	go func() {
		p.server.Drain(context.Background())
		close(drained)
	}()
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	answer, err := conn.Do(context.Background(), newRequest(nil, 5*clock.Second))
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(answer)
	answer.Close()
	if err != nil || string(got) != "whole" {
		t.Errorf("got %q, error %v, want the whole answer", got, err)
	}
	<-drained
}

// TestPeerThatEndsInTheMiddleLeavesTheOutcomeOpen guards against a promise that a request
// has not run, although a peer that ended may have sent it.
func TestPeerThatEndsInTheMiddleLeavesTheOutcomeOpen(t *testing.T) {
	started := make(chan struct{})
	p := startPeer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
	})
	go func() {
		<-started
		p.server.Close()
	}()
	_, err := p.do(context.Background(), newRequest(nil, 5*clock.Second))
	var requestError *http1.RequestError
	if !errors.As(err, &requestError) || !requestError.Sent {
		t.Errorf("got error %v, want that the request may have run", err)
	}
}

func TestSilentPeerIsGivenUpInTime(t *testing.T) {
	ip := fmt.Sprintf("127.%d.%d.7", 10+os.Getpid()%100, lastIP.Add(1))
	listener, err := net.Listen("tcp", ip+":8083")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := forward.NewClient(clock.System(), "8083", memory.New(1<<20))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	began := time.Now()
	if _, err := client.Open(ctx, ip+":1", forward.Target{Endpoint: "e", Address: "127.0.0.1:1"}); err == nil {
		t.Error("got no error")
	}
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("took %v", took)
	}
}

func TestPeerThatHasRestartedIsAskedAgain(t *testing.T) {
	p := startPeer(t, func(http.ResponseWriter, *http.Request) {})
	p.refusal.Store(&forward.Refusal{Code: forward.Unreachable, Reason: "no path"})
	if _, err := p.client.Open(context.Background(), p.address, p.target()); err == nil {
		t.Fatal("got no refusal")
	}
	p.refusal.Store(nil)
	p.restart(t)
	answer, err := p.do(context.Background(), newRequest(nil, clock.Second))
	if err != nil {
		t.Fatal(err)
	}
	answer.Close()
}

// TestPeerTellsHowAnAnswerEnds guards against an answer that was cut off and looks explicitly
// complete because it passed through a peer.
func TestPeerTellsHowAnAnswerEnds(t *testing.T) {
	for head, want := range map[string]http1.Ending{
		"Content-Length: 0\r\n\r\n":                   http1.EndsByLength,
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n": http1.EndsByChunks,
		"\r\n": http1.EndsByPeer,
	} {
		p := startPeer(t, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s", head)
			_ = conn.Close()
		})
		answer, err := p.do(context.Background(), newRequest(nil, clock.Second))
		if err != nil {
			t.Fatal(err)
		}
		if answer.Ending != want {
			t.Errorf("%q: got ending %v, want %v", head, answer.Ending, want)
		}
		answer.Close()
	}
}

// TestRequestThatDoesNotFitIsRefusedBeforeItIsSent guards against requests of peers that are read
// though there is no memory for them, and against peers that do not know that none was sent.
func TestRequestThatDoesNotFitIsRefusedBeforeItIsSent(t *testing.T) {
	const length = 1 << 20
	arrived, release := make(chan struct{}), make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	p := startPeer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-release
	})
	t.Cleanup(end)
	p.config.Memory = memory.New(length * 3 / 2)
	p.restart(t)
	target := p.target()
	target.BodyBytes = length
	conn, err := p.client.Open(context.Background(), p.address, target)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error)
	go func() {
		answer, err := conn.Do(context.Background(), newRequest(make([]byte, length), 10*clock.Second))
		if err == nil {
			answer.Close()
		}
		ended <- err
	}()
	<-arrived
	var refusal *forward.Refusal
	if _, err := p.client.Open(context.Background(), p.address, target); !errors.As(err, &refusal) || refusal.Code != forward.Unavailable {
		t.Errorf("got error %v, want that the peer is unavailable", err)
	}
	end()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	for range 200 {
		if p.config.Memory.State().Held == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("got %+v, want nothing held", p.config.Memory.State())
}
