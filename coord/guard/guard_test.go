package guard

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
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// fakeLease is a lease whose end is set by the test.
type fakeLease struct {
	until atomic.Int64
	// checksLeft, if positive, is the number of checks after which the lease
	// ends.
	checksLeft atomic.Int64
}

func (l *fakeLease) valid() (clock.Millis, bool) {
	until := clock.Millis(l.until.Load())
	if l.checksLeft.Load() > 0 && l.checksLeft.Add(-1) == 0 {
		l.until.Store(0)
	}
	return until, until > 0
}

func newFakeLease(d clock.Millis) *fakeLease {
	l := &fakeLease{}
	l.until.Store(int64(clock.System().Now() + d))
	return l
}

func tcpPair(t testing.TB) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, server
}

func TestWriteOnlyWhileHeld(t *testing.T) {
	client, server := tcpPair(t)
	l := newFakeLease(clock.Minute)
	guarded := New(l.valid, clock.System()).Conn(client)
	if n, err := guarded.Write([]byte("one")); n != 3 || err != nil {
		t.Fatalf("write with a held lease: got %d, %v, want 3 bytes", n, err)
	}
	l.until.Store(0)
	if n, err := guarded.Write([]byte("two")); n != 0 || !errors.Is(err, ErrLeaseNotHeld) {
		t.Fatalf("write without a lease: got %d, %v, want ErrLeaseNotHeld", n, err)
	}
	l.until.Store(int64(clock.System().Now() + clock.Minute))
	if _, err := guarded.Write([]byte("three")); err == nil {
		t.Error("write succeeded on a connection whose earlier write was refused")
	}
	got, _ := io.ReadAll(server)
	if string(got) != "one" {
		t.Errorf("peer received %q, want only the first write", got)
	}
}

// Guards against a late write by a process that is paused inside Write: the
// lease ends between the first check and the check before the system call.
func TestCheckRightBeforeTheSystemCall(t *testing.T) {
	for name, wrap := range map[string]func(net.Conn) net.Conn{
		"socket": func(c net.Conn) net.Conn { return c },
		"other":  func(c net.Conn) net.Conn { return struct{ net.Conn }{c} },
	} {
		client, server := tcpPair(t)
		l := newFakeLease(clock.Minute)
		l.checksLeft.Store(1)
		n, err := New(l.valid, clock.System()).Conn(wrap(client)).Write([]byte("late"))
		if n != 0 || !errors.Is(err, ErrLeaseNotHeld) {
			t.Errorf("%s: got %d, %v, want ErrLeaseNotHeld", name, n, err)
		}
		server.SetReadDeadline(time.Now().Add(10 * time.Second))
		if got, _ := io.ReadAll(server); len(got) > 0 {
			t.Errorf("%s: peer received %q, want nothing", name, got)
		}
	}
}

func TestBlockedWriteEndsWithTheLease(t *testing.T) {
	client, _ := tcpPair(t)
	l := newFakeLease(200 * clock.Millisecond)
	n, err := New(l.valid, clock.System()).Conn(client).Write(make([]byte, 64<<20))
	if err == nil || n >= 64<<20 {
		t.Fatalf("write to a peer that does not read: got %d, %v, want an error", n, err)
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, ErrLeaseNotHeld) {
		t.Errorf("got %v, want a deadline error or ErrLeaseNotHeld", err)
	}
	if clock.System().Now() < clock.Millis(l.until.Load()) {
		t.Error("write failed before the lease ended")
	}
}

func TestForFence(t *testing.T) {
	fence := uint64(5)
	valid := ForFence(func() (uint64, clock.Millis, bool) { return fence, 10, true }, 5)
	if until, ok := valid(); !ok || until != 10 {
		t.Errorf("got until %v, valid %v, want 10, true", until, ok)
	}
	fence = 7
	if _, ok := valid(); ok {
		t.Error("valid with another fence")
	}
}

func TestTransport(t *testing.T) {
	var connections, requests atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if body, err := io.ReadAll(r.Body); err == nil && len(body) == 5000 {
			requests.Add(1)
		}
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	l := newFakeLease(clock.Minute)
	client := &http.Client{Transport: New(l.valid, clock.System()).Transport()}
	post := func() error {
		resp, err := client.Post(server.URL, "text/plain", bytes.NewReader([]byte(strings.Repeat("x", 5000))))
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	for range 3 {
		if err := post(); err != nil {
			t.Fatal(err)
		}
	}
	if connections.Load() != 3 {
		t.Errorf("3 requests used %d connections, want 3", connections.Load())
	}
	// A request makes three checks: one before the dial and two in the first
	// Write. The lease ends with the second, so that only the dial succeeds.
	l.checksLeft.Store(2)
	if err := post(); !errors.Is(err, ErrLeaseNotHeld) {
		t.Errorf("lease ended after the dial: got %v, want ErrLeaseNotHeld", err)
	}
	if err := post(); !errors.Is(err, ErrLeaseNotHeld) {
		t.Errorf("lease ended before the dial: got %v, want ErrLeaseNotHeld", err)
	}
	// The server may have accepted the connection that was reset.
	if requests.Load() != 3 || connections.Load() > 4 {
		t.Errorf("%d requests on %d connections, want 3 on at most 4", requests.Load(), connections.Load())
	}
}

func TestDialEndsWithTheLease(t *testing.T) {
	l := newFakeLease(50 * clock.Millisecond)
	dial := New(l.valid, clock.System()).DialContext(func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	if _, err := dial(t.Context(), "tcp", "127.0.0.1:1"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want context.DeadlineExceeded", err)
	}
}

func Example() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "order taken under fence ", r.Header.Get("Fence"))
	}))
	defer server.Close()
	clk := clock.System()
	// A program uses the Valid method of a lease.Lease.
	valid := func() (fence uint64, until clock.Millis, ok bool) {
		return 7, clk.Now() + 5*clock.Second, true
	}

	fence, _, _ := valid()
	client := &http.Client{Transport: New(ForFence(valid, fence), clk).Transport()}
	request, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL, bytes.NewReader([]byte("start")))
	request.Header.Set("Fence", fmt.Sprint(fence))
	response, err := client.Do(request)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	fmt.Println(string(answer))

	// A Guard of an earlier fence refuses to write.
	stale := &http.Client{Transport: New(ForFence(valid, fence-1), clk).Transport()}
	request.Body, _ = request.GetBody()
	_, err = stale.Do(request)
	fmt.Println(errors.Is(err, ErrLeaseNotHeld))
	// Output:
	// order taken under fence 7
	// true
}
