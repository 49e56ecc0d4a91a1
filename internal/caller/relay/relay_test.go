package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/internal/caller/relay"
)

func TestAnswerIsForwardedUnchanged(t *testing.T) {
	f := newFixture(t, ok)
	got := f.send("/pay/1")
	f.expect(got, 200, "fine")
	if got.header.Get("Seal") != "s" {
		t.Error("the endpoint's seal is missing from the answer")
	}
	if f.started != 1 {
		t.Errorf("the request was counted %d times, want 1", f.started)
	}
}

func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{"reset": reset, "500": status(500)} {
		f := newFixture(t, first, ok)
		got := f.send("/pay/1")
		if got.status != 502 && got.status != 500 {
			t.Errorf("%s: got status %d, want 500 or 502 because the request may have run", name, got.status)
		}
		f.expectReceived("e0:")
	}
}

func TestRequestThatDidNotRunIsSentToAnotherEndpoint(t *testing.T) {
	f := newFixture(t, notRun, ok)
	f.expect(f.send("/pay/1"), 200, "fine")
	f.expectReceived("e0:", "e1:")
}

// TestRefusalThatDoesNotSayItDidNotRunIsNoPromise guards against callers that repeat a request
// because its endpoint refused it with a status that promises more than the endpoint said.
func TestRefusalThatDoesNotSayItDidNotRunIsNoPromise(t *testing.T) {
	for _, code := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for name, body := range map[string]http.HandlerFunc{"short": status(code), "long": long(code, true)} {
			for _, path := range []string{"/pay/1", "/stream/1"} {
				t.Run(fmt.Sprint(code, name, path), func(t *testing.T) {
					f := newFixture(t, body, ok)
					if got := f.send(path); got.err != nil || got.status != http.StatusBadGateway {
						t.Errorf("got status %d, error %v; want 502", got.status, got.err)
					}
					f.expectReceived("e0:")
				})
			}
		}
	}
	for _, code := range []int{http.StatusNotFound, http.StatusInternalServerError, http.StatusGatewayTimeout} {
		f := newFixture(t, status(code))
		f.expect(f.send("/pay/1"), code, "broken")
	}
}

func TestRefusalHasRetryAfter(t *testing.T) {
	f := newFixture(t, notRun, notRun)
	got := f.send("/pay/1")
	f.expect(got, 503, "")
	if got.header.Get("Retry-After") == "" {
		t.Error("the refusal has no Retry-After header")
	}
}

func TestIdempotentRequestIsRetried(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{"reset": reset, "500": status(500), "truncated": truncated, "unproved": unproved} {
		f := newFixture(t, first, ok)
		t.Run(name, func(t *testing.T) {
			f.expect(f.send("/look/1"), 200, "fine")
		})
	}
}

// truncated sends less than its Content-Length.
func truncated(w http.ResponseWriter, r *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 100\r\n\r\nhalf", r.Header.Get("Id"))
	_ = conn.Close()
}

// unproved answers 200 without a seal.
func unproved(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "not mine")
}

func TestRetriesStayWithinAttemptsAndBudget(t *testing.T) {
	f := newFixture(t, status(500), status(500), ok)
	f.expect(f.send("/look/1"), 500, "broken")
	f.expectReceived("e0:", "e1:")
	noBudget := newFixture(t, status(500), ok)
	noBudget.retryTokens = 0
	noBudget.expect(noBudget.send("/look/1"), 500, "broken")
	noBudget.expectReceived("e0:")
}

func TestStreamIsForwarded(t *testing.T) {
	f := newFixture(t, events(1, 3, true))
	f.expect(f.send("/stream/1"), 200, eventText(1, 3))
	f.expectReceived("e0:")
}

func TestTruncatedStreamEndsWithError(t *testing.T) {
	f := newFixture(t, events(1, 3, false), events(1, 5, true))
	got := f.send("/stream/1")
	if got.err == nil || got.body != eventText(1, 3) {
		t.Errorf("got %q, %v; want three complete events and an error", got.body, got.err)
	}
	f.expectReceived("e0:")
}

func TestResumableStreamContinuesAfterLastCompleteEvent(t *testing.T) {
	f := newFixture(t, events(1, 3, false), events(4, 6, true))
	f.expect(f.send("/resumable/1"), 200, eventText(1, 6))
	f.expectReceived("e0:", "e1:3")
	if f.started != 1 {
		t.Errorf("the request was counted %d times, want 1", f.started)
	}
}

// endsInsideEvent writes events and a part of the next one, and closes the connection of an
// answer without a length or chunks.
func endsInsideEvent(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n%s", r.Header.Get("Id"), text)
		_ = conn.Close()
	}
}

// TestStreamThatEndsInsideAnEventIsNotComplete guards against an answer without a length or
// chunks that breaks off and reaches the caller as a complete one.
func TestStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	for _, part := range []string{"id: 3", "id: 3\ndata: x", "id: 3\ndata: x\n"} {
		f := newFixture(t, endsInsideEvent(eventText(1, 2)+part), events(3, 4, true))
		if got := f.send("/stream/1"); got.err == nil || got.body != eventText(1, 2) {
			t.Errorf("%q: got %q, %v; want two complete events and an error", part, got.body, got.err)
		}
		resumed := newFixture(t, endsInsideEvent(eventText(1, 2)+part), events(3, 4, true))
		resumed.expect(resumed.send("/resumable/1"), 200, eventText(1, 4))
	}
}

// TestStreamWithoutAnEventIsNotComplete guards against an endpoint that ends before the first
// event of such an answer.
func TestStreamWithoutAnEventIsNotComplete(t *testing.T) {
	f := newFixture(t, endsInsideEvent(""))
	if got := f.send("/stream/1"); got.status != 502 {
		t.Errorf("got status %d, want 502", got.status)
	}
}

// TestStreamThatEndsWithItsConnectionIsComplete guards against taking the end of an answer
// without a length or chunks for a failure.
func TestStreamThatEndsWithItsConnectionIsComplete(t *testing.T) {
	for _, rest := range []string{"", ": done\n", "\n"} {
		f := newFixture(t, endsInsideEvent(eventText(1, 2)+rest))
		f.expect(f.send("/stream/1"), 200, eventText(1, 2)+rest)
	}
}

func TestResumedStreamHasNoDuplicatesOrGaps(t *testing.T) {
	f := newFixture(t, events(1, 3, false), events(2, 5, true))
	f.expect(f.send("/resumable/1"), 200, eventText(1, 5))
	gap := newFixture(t, events(1, 3, false), events(5, 6, true))
	got := gap.send("/resumable/1")
	if got.err == nil || got.body != eventText(1, 3) {
		t.Errorf("got %q, %v; want an incomplete stream instead of one with a gap", got.body, got.err)
	}
}

// TestFailureOfAResumedStreamIsNotWrittenIntoIt guards against the body of an answer other
// than 200 between the events that the caller has got.
func TestFailureOfAResumedStreamIsNotWrittenIntoIt(t *testing.T) {
	for _, code := range []int{404, 500} {
		f := newFixture(t, events(1, 3, false), status(code))
		if got := f.send("/resumable/1"); got.err == nil || got.body != eventText(1, 3) {
			t.Errorf("%d: got %q, %v; want an incomplete stream", code, got.body, got.err)
		}
	}
}

func TestInvalidRequestsAreDenied(t *testing.T) {
	f := newFixture(t, ok)
	f.expect(f.send("/none/1"), 404, "")
	f.expect(f.send("/pay/1", "Key", "other"), 401, "")
	f.expect(f.send("/pay/1", "Id", ""), 400, "")
	f.expect(f.sendBody("/pay/1", strings.Repeat("x", 101)), 413, "")
	f.expect(f.send("/pay/1", "Padding", strings.Repeat("x", 1001)), 431, "")
	f.expectReceived()
}

func TestDaemonWithOutdatedConfigurationRefusesWith503(t *testing.T) {
	f := newFixture(t, ok)
	f.config.Current = false
	f.expect(f.send("/none/1"), 503, "")
	f.expect(f.send("/pay/1", "Key", "other"), 503, "")
	f.expect(f.send("/pay/1"), 200, "fine")
	f.config.Isolated = true
	f.expect(f.send("/pay/1"), 503, "")
	f.config = relay.Configuration{}
	f.expect(f.send("/pay/1"), 503, "")
}

func TestTimeLimitEndsWithGatewayTimeout(t *testing.T) {
	f := newFixture(t, func(http.ResponseWriter, *http.Request) { time.Sleep(1300 * time.Millisecond) })
	start := time.Now()
	f.expect(f.send("/pay/1"), 504, "")
	if took := time.Since(start); took > 1250*time.Millisecond {
		t.Errorf("the answer took %v, want at most 1.25s for a route timeout of 1s", took)
	}
}

func TestDisconnectOfCallerCancelsTheRequest(t *testing.T) {
	stopped := make(chan struct{})
	f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
			close(stopped)
		case <-time.After(2 * time.Second):
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, f.caller.URL+"/pay/1", strings.NewReader("body"))
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "k")
	time.AfterFunc(50*time.Millisecond, cancel)
	if answer, err := http.DefaultClient.Do(r); err == nil {
		_ = answer.Body.Close()
	}
	select {
	case <-stopped:
	case <-time.After(500 * time.Millisecond):
		t.Error("the endpoint was still running the request 500 ms after the caller disconnected")
	}
}

// TestSmuggledRequestIsPartOfTheBody sends a request with both Content-Length
// and Transfer-Encoding, whose body contains a second request. Endpoints must
// not receive the second one.
func TestSmuggledRequestIsPartOfTheBody(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Seal", "s")
		_, _ = w.Write(body)
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.caller.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	inner := "POST /pay/2 HTTP/1.1\r\nHost: h\r\nId: r2\r\nKey: k\r\n\r\n"
	fmt.Fprintf(conn, "POST /pay/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		body, _ := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK && string(body) != inner {
			t.Errorf("the endpoint received body %q, want the inner request unchanged", body)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.received) > 1 {
		t.Errorf("endpoints received %v, want at most one request", f.received)
	}
}

func TestFailedRequestIsLoggedWithItsAttempts(t *testing.T) {
	f := newFixture(t, status(500), reset)
	f.send("/look/1")
	numbers := map[any]int{}
	for _, entry := range f.log.AllEntries() {
		if entry.Data["Request"] == "r1" {
			numbers[entry.Data["Event"]]++
		}
	}
	if numbers[1130] != 2 || numbers[1131] != 2 || numbers[1133] != 1 {
		t.Errorf("got events by number %v, want two of 1130, two of 1131 and one of 1133", numbers)
	}
}
