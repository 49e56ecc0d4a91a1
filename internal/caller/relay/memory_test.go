package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
)

const (
	// budgetBytes is the memory of a daemon in these tests, and longBytes the length of a body
	// that fits into it once.
	budgetBytes = 4 << 20
	longBytes   = 2 << 20
)

// newMemoryFixture returns a fixture whose daemon has little memory and admits long bodies.
func newMemoryFixture(t testing.TB, serve ...http.HandlerFunc) *fixture {
	f := newFixtureWithMemory(t, memory.New(budgetBytes), serve...)
	d := document.Document{Version: 1, Teams: []document.Team{{Name: "himal", Keys: []string{"k"}}}, Limits: document.Limits{MaxBodyBytes: 4 << 20}}
	for name, kind := range map[string]document.Kind{"pay": document.NonIdempotent, "look": document.Idempotent, "stream": document.Streaming} {
		d.Routes = append(d.Routes, document.Route{Name: name, Host: "api.example", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: 2, Timeout: 20_000, Backends: []document.WeightedBackend{{Backend: "b"}}})
	}
	f.config.Index = document.NewIndex(d)
	return f
}

// waitForMemory waits until the memory that is held satisfies a condition.
func (f *fixture) waitForMemory(what string, holds func(memory.State) bool) {
	f.t.Helper()
	for range 500 {
		if holds(f.memory.State()) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("%s: got %+v", what, f.memory.State())
}

// dial opens a connection and sends the beginning of a request.
func (f *fixture) dial(start string) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.caller.URL, "http://"))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	_, _ = io.WriteString(conn, start)
	return conn
}

// TestLongBodyThatDoesNotFitIsRefusedBeforeItIsPlaced guards against bodies that are held without
// a bound, and against refusals that callers do not read, or of short requests.
func TestLongBodyThatDoesNotFitIsRefusedBeforeItIsPlaced(t *testing.T) {
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	f := newMemoryFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if n, _ := io.Copy(io.Discard, r.Body); n == longBytes {
			<-release
		}
		ok(w, r)
	})
	t.Cleanup(end)
	long := strings.Repeat("b", longBytes)
	first := make(chan reply)
	go func() { first <- f.sendBody("/look/1", long, "Limit", "20000") }()
	f.waitForMemory("the first body is held", func(s memory.State) bool { return s.Held >= longBytes })
	got := f.sendBody("/pay/1", long, "Limit", "20000")
	f.expect(got, http.StatusServiceUnavailable, "no memory left for the body\n")
	if got.header.Get("Retry-After") != "1.000" {
		t.Errorf("got Retry-After %q, want 1.000", got.header.Get("Retry-After"))
	}
	f.expectReceived("e0:")
	f.expect(f.sendBody("/pay/1", strings.Repeat("b", memory.ShortBytes)), http.StatusOK, "fine")
	waiting := make(chan reply)
	go func() { waiting <- f.sendBody("/pay/1", long, "Limit", "20000") }()
	f.waitForMemory("another body waits", func(s memory.State) bool { return s.Waiting > 0 })
	end()
	f.expect(<-first, http.StatusOK, "fine")
	f.expect(<-waiting, http.StatusOK, "fine")
	f.waitForMemory("nothing is held", func(s memory.State) bool { return s.Held == 0 })
}

// TestBodyThatHardlyArrivesHoldsLittle guards against callers that announce long bodies, send
// little, and keep others from being served.
func TestBodyThatHardlyArrivesHoldsLittle(t *testing.T) {
	f := newMemoryFixture(t, ok)
	for range 20 {
		f.dial(fmt.Sprintf("POST /look/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nLimit: 20000\r\nContent-Length: %d\r\n\r\nbytes", longBytes))
	}
	f.waitForMemory("all bodies have begun", func(s memory.State) bool { return s.Held == 20*memory.ShortBytes })
	f.expect(f.sendBody("/pay/1", strings.Repeat("b", longBytes), "Limit", "20000"), http.StatusOK, "fine")
}

// TestBodyIsReleasedOnceNoAttemptCanUseIt guards against bodies that are held to the end of a long
// answer, though the request is not sent again.
func TestBodyIsReleasedOnceNoAttemptCanUseIt(t *testing.T) {
	for _, path := range []string{"/stream/1", "/pay/1", "/look/1"} {
		t.Run(path, func(t *testing.T) {
			begin, release := make(chan struct{}), make(chan struct{})
			endFirst := sync.OnceFunc(func() { close(release) })
			f := newMemoryFixture(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				<-begin
				w.Header().Set("Seal", "s")
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, "data: "+strings.Repeat("x", 1<<20)+"\n\n")
				_ = http.NewResponseController(w).Flush()
				<-release
				_, _ = io.WriteString(w, "data: end\n\n")
			})
			t.Cleanup(endFirst)
			end := make(chan reply)
			go func() { end <- f.sendBody(path, strings.Repeat("b", longBytes), "Limit", "20000") }()
			f.waitForMemory("the body is held", func(s memory.State) bool { return s.Held >= longBytes })
			close(begin)
			f.waitForMemory("the body is released", func(s memory.State) bool { return s.Held < longBytes })
			endFirst()
			if got := <-end; got.err != nil || got.status != http.StatusOK || !strings.HasSuffix(got.body, "end\n\n") {
				t.Errorf("got status %d, error %v", got.status, got.err)
			}
		})
	}
}

// TestAnswerThatDoesNotFitIsForwardedWhole guards against answers that are lost, or a short
// request that is refused, since callers who read no answers hold what answers may take.
func TestAnswerThatDoesNotFitIsForwardedWhole(t *testing.T) {
	for _, path := range []string{"/pay/1", "/look/1"} {
		f := newMemoryFixture(t, long(http.StatusOK, true))
		unread := f.memory.Reserve(memory.Answer)
		if !unread.TryGrow(budgetBytes / 4) {
			t.Fatal("the answers do not fit")
		}
		f.expect(f.sendBody(path, strings.Repeat("b", longBytes), "Limit", "20000"), http.StatusOK, longBody)
		unread.Release()
		f.waitForMemory("nothing is held", func(s memory.State) bool { return s.Held == 0 })
		if refused := f.memory.State().Refused; refused != 1 {
			t.Errorf("%s: %d reservations were refused, want that of the answer", path, refused)
		}
	}
}

// TestUnreadAnswerIsCutOffAfterItsTimeLimit guards against answers that are held for good.
func TestUnreadAnswerIsCutOffAfterItsTimeLimit(t *testing.T) {
	t.Parallel()
	const bytes = 900 << 10
	f := newMemoryFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Seal", "s")
		_, _ = io.WriteString(w, strings.Repeat("a", bytes))
	})
	server := httptest.NewUnstartedServer(f.caller.Config.Handler)
	server.Config.ConnState = func(conn net.Conn, _ http.ConnState) { _ = conn.(*net.TCPConn).SetWriteBuffer(4096) }
	server.Start()
	t.Cleanup(server.Close)
	f.caller = server
	started := time.Now()
	f.dial("POST /look/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
	f.waitForMemory("the answer is held", func(s memory.State) bool { return s.Held >= bytes })
	for f.memory.State().Held > 0 && time.Since(started) < 15*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	if took := time.Since(started); took < 5*time.Second || took > 12*time.Second {
		t.Errorf("it was held for %v, want 6 s: %+v", took, f.memory.State())
	}
}

// TestEventsThatDoNotEndAreCounted guards against endpoints that send events without end, or stop
// within one, to so many callers that the daemon runs out of memory.
func TestEventsThatDoNotEndAreCounted(t *testing.T) {
	const eventBytes, streams = 900 << 10, 8
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	f := newMemoryFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/stream/1" {
			ok(w, r)
			return
		}
		w.Header().Set("Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: "+strings.Repeat("x", eventBytes))
		_ = http.NewResponseController(w).Flush()
		<-release
		_, _ = io.WriteString(w, "\n\n")
	})
	t.Cleanup(end)
	ends := make(chan reply)
	for range streams {
		go func() { ends <- f.sendBody("/stream/1", "b", "Limit", "20000") }()
	}
	refused := 0
	for refused < streams-budgetBytes/2/eventBytes {
		got := <-ends
		if got.status != http.StatusBadGateway {
			t.Fatalf("got status %d, error %v", got.status, got.err)
		}
		refused++
	}
	if held := f.memory.State().Held; held < eventBytes || held > budgetBytes/2+streams*memory.ShortBytes {
		t.Errorf("%d bytes are counted, want those of %d events", held, budgetBytes/2/eventBytes)
	}
	f.expect(f.sendBody("/pay/1", strings.Repeat("b", longBytes/2)), http.StatusOK, "fine")
	end()
	for range streams - refused {
		if got := <-ends; got.err != nil || got.status != http.StatusOK || len(got.body) != eventBytes+len("data: \n\n") {
			t.Errorf("got status %d, error %v, %d bytes", got.status, got.err, len(got.body))
		}
	}
	f.waitForMemory("nothing is held", func(s memory.State) bool { return s.Held == 0 })
}
