package connect_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/decide/path"
	"github.com/banyanshift/banyanshift/internal/endpoint/connect"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
	"github.com/banyanshift/banyanshift/internal/peer/forward"
)

const forwardPort = "8083"

var lastIP atomic.Int64

// daemon is a daemon with one endpoint and one peer.
type daemon struct {
	connector *connect.Connector
	endpoint  *httptest.Server
	// silent makes the daemon's own dials hang, and peerRefuses makes the peer say that it
	// does not reach the endpoint either.
	silent, peerRefuses atomic.Bool
	// resets makes the daemon's own path refuse dials and reset open connections.
	resets atomic.Bool
}

func newPool(dial func(context.Context, string, string) (net.Conn, error)) *http1.Pool {
	return http1.New(http1.Config{Clock: clock.System(), Dial: dial, AnsweredID: func(header http.Header) string {
		if header.Get("Unnamed") != "" {
			return ""
		}
		return "r"
	}})
}

func startDaemon(t *testing.T, serve http.HandlerFunc) *daemon {
	t.Helper()
	d := &daemon{endpoint: httptest.NewServer(serve)}
	t.Cleanup(d.endpoint.Close)
	logger, _ := logtest.NewNullLogger()
	ip := fmt.Sprintf("127.%d.%d.8", 10+os.Getpid()%100, lastIP.Add(1))
	peerPool := newPool(nil)
	server := forward.NewServer(forward.ServerConfig{
		Clock: clock.System(), Logger: logger, Listen: net.JoinHostPort(ip, forwardPort),
		Connect: func(ctx context.Context, target forward.Target) (*http1.Conn, error) {
			if d.peerRefuses.Load() {
				return nil, &forward.Refusal{Code: forward.Unreachable, Reason: "no path"}
			}
			return peerPool.Dial(ctx, target.Endpoint, target.Address)
		},
		RecordAnswer: func(forward.Target, int, http.Header) {}, Memory: memory.New(64 << 20),
	})
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	d.connector = connect.New(connect.Config{
		Clock: clock.System(), Logger: logger, Pool: newPool(d.dial), Open: forward.NewClient(clock.System(), forwardPort, memory.New(1<<20)).Open,
		Peers: func() []path.Peer { return []path.Peer{{Address: ip + ":1"}} }, Rand: rand.New(rand.NewPCG(1, 1)),
		Report: connect.ReportCall{Encode: encodeReportCall, Decode: decodeReport},
	})
	return d
}

func (d *daemon) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.resets.Load() {
		return nil, syscall.ECONNREFUSED
	}
	if d.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return &resettableConn{Conn: conn, daemon: d}, err
}

// resettableConn is a connection that fails when something is sent while the path resets.
type resettableConn struct {
	net.Conn
	daemon *daemon
}

func (c *resettableConn) Read(buf []byte) (int, error) {
	if c.daemon.resets.Load() {
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Read(buf)
}

// call sends a request and returns the body of the answer, and whether a peer passed it on.
func (d *daemon) call(repeatable bool, timeout clock.Millis) (body string, throughPeer bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
	defer cancel()
	connection, err := d.connector.Connect(ctx, connect.Target{Endpoint: "e", Address: strings.TrimPrefix(d.endpoint.URL, "http://"), Repeatable: repeatable})
	if err != nil {
		return "", false, err
	}
	answer, err := connection.Do(context.Background(), http1.Request{
		ID: "r", Method: http.MethodGet, Head: []byte("GET /x HTTP/1.1\r\nHost: h\r\n"), Deadline: clock.System().Now() + timeout,
	})
	if err != nil {
		return "", connection.Peer != "", err
	}
	defer answer.Close()
	read, err := io.ReadAll(answer)
	return string(read), connection.Peer != "", err
}

// answerFirst answers the first request at once, and later ones after a time.
func answerFirst(delay time.Duration) http.HandlerFunc {
	var count atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		if count.Add(1) > 1 {
			select {
			case <-time.After(delay):
			case <-r.Context().Done():
			}
		}
		_, _ = io.WriteString(w, "answer")
	}
}

func TestSilentDialGoesThroughAPeerAndComesBack(t *testing.T) {
	d := startDaemon(t, answerFirst(0))
	d.silent.Store(true)
	began := time.Now()
	if body, throughPeer, err := d.call(false, 900); err != nil || !throughPeer || body != "answer" {
		t.Fatalf("got %q, through a peer %v, error %v", body, throughPeer, err)
	}
	if took := time.Since(began); took > 600*time.Millisecond {
		t.Errorf("the first request took %v", took)
	}
	began = time.Now()
	if _, throughPeer, err := d.call(false, 900); err != nil || !throughPeer {
		t.Errorf("through a peer %v, error %v", throughPeer, err)
	}
	if took := time.Since(began); took > 100*time.Millisecond {
		t.Errorf("the second request took %v, want no wait for the dial", took)
	}
	d.silent.Store(false)
	for deadline := time.Now().Add(4 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if _, throughPeer, err := d.call(false, 900); err == nil && !throughPeer {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("requests still go through the peer 4 s after the path has healed")
		}
	}
}

func TestDialLeavesTheCallerTimeToBeAnswered(t *testing.T) {
	d := startDaemon(t, answerFirst(0))
	d.silent.Store(true)
	d.peerRefuses.Store(true)
	began := time.Now()
	var requestError *http1.RequestError
	if _, _, err := d.call(false, 400); !errors.As(err, &requestError) || requestError.Sent {
		t.Errorf("got error %v, want that the request was not sent", err)
	}
	if took := time.Since(began); took > 450*time.Millisecond {
		t.Errorf("took %v, the caller waits 400 ms", took)
	}
}

// TestRequestOnABrokenPathIsEndedIfItMayBeRepeated guards against callers that wait for an
// answer which cannot arrive.
func TestRequestOnABrokenPathIsEndedIfItMayBeRepeated(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		t.Run(fmt.Sprint("Repeatable", repeatable), func(t *testing.T) {
			d := startDaemon(t, answerFirst(3*time.Second))
			if _, _, err := d.call(repeatable, 900); err != nil {
				t.Fatal(err)
			}
			time.Sleep(1100 * time.Millisecond)
			d.silent.Store(true)
			began := time.Now()
			_, _, err := d.call(repeatable, 2000)
			took := time.Since(began)
			var requestError *http1.RequestError
			if !errors.As(err, &requestError) || !requestError.Sent {
				t.Fatalf("got error %v, want that the request may have run", err)
			}
			if repeatable && took > time.Second {
				t.Errorf("took %v, want less than 1 s", took)
			}
			if !repeatable && took < 1900*time.Millisecond {
				t.Errorf("was given up after %v though its answer might have arrived", took)
			}
		})
	}
}

// TestEndpointThatIsSilentForAllEndsNothing guards against requests that are given up
// because an endpoint falls silent for a second and then goes on.
func TestEndpointThatIsSilentForAllEndsNothing(t *testing.T) {
	d := startDaemon(t, answerFirst(1500*time.Millisecond))
	if _, _, err := d.call(true, 900); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1100 * time.Millisecond)
	d.silent.Store(true)
	d.peerRefuses.Store(true)
	if body, _, err := d.call(true, 3000); err != nil || body != "answer" {
		t.Errorf("got %q, error %v, want the late answer", body, err)
	}
}

// TestConnectionsAreCheckedAfterAnotherPathBroke guards against requests that may run once
// only and are lost on open connections of a path that other endpoints have shown to be cut.
func TestConnectionsAreCheckedAfterAnotherPathBroke(t *testing.T) {
	d := startDaemon(t, answerFirst(0))
	if _, _, err := d.call(false, 900); err != nil {
		t.Fatal(err)
	}
	d.silent.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	other, err := d.connector.Connect(ctx, connect.Target{Endpoint: "other", Address: strings.TrimPrefix(d.endpoint.URL, "http://")})
	if err != nil || other.Peer == "" {
		t.Fatalf("got peer %q, error %v, want a way through the peer", other.Peer, err)
	}
	time.Sleep(600 * time.Millisecond)
	if _, throughPeer, err := d.call(false, 900); err != nil || !throughPeer {
		t.Errorf("through a peer %v, error %v, want that the open connection is not used", throughPeer, err)
	}
}

// TestResetOfOneConnectionIsAWarningForTheOthers guards against requests that are sent on
// one open connection after the other, each of which has lost its path.
func TestResetOfOneConnectionIsAWarningForTheOthers(t *testing.T) {
	const connections = 4
	d := startDaemon(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "answer")
	})
	var calls sync.WaitGroup
	for range connections {
		calls.Go(func() {
			if _, _, err := d.call(false, 900); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	time.Sleep(600 * time.Millisecond)
	d.resets.Store(true)
	if _, _, err := d.call(false, 900); err == nil {
		t.Error("got an answer on a connection that is reset")
	}
	time.Sleep(100 * time.Millisecond)
	for range connections - 1 {
		if _, throughPeer, err := d.call(false, 900); err != nil || !throughPeer {
			t.Errorf("through a peer %v, error %v, want that no other open connection is used", throughPeer, err)
		}
	}
}
