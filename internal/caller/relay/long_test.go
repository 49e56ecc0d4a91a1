package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/internal/decide/strain"
)

// longBody is longer than the answers that are buffered.
var longBody = strings.Repeat("long answer ", 100_000)

// long returns a handler that answers with a long body.
func long(code int, sealed bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if sealed {
			w.Header().Set("Seal", "s")
		}
		w.WriteHeader(code)
		_, _ = io.WriteString(w, longBody)
	}
}

// TestLongAnswersAreCheckedLikeOthers guards against a success without the endpoint's proof,
// or a failure that could be retried, which reach the caller because they are long.
func TestLongAnswersAreCheckedLikeOthers(t *testing.T) {
	f := newFixture(t, long(http.StatusOK, false))
	if got := f.send("/pay/1"); got.status != http.StatusBadGateway {
		t.Errorf("got status %d for a success without proof, want 502", got.status)
	}
	f = newFixture(t, long(http.StatusInternalServerError, true), ok)
	f.expect(f.send("/look/1"), http.StatusOK, "fine")
	f = newFixture(t, long(http.StatusInternalServerError, true), ok)
	f.expect(f.send("/pay/1"), http.StatusInternalServerError, longBody)
	f = newFixture(t, long(http.StatusOK, true))
	f.expect(f.send("/pay/1"), http.StatusOK, longBody)
}

// TestPermitIsReleasedWhenALongAnswerBreaksOff guards against places at an endpoint that stay
// taken after its answer has broken off on the way to the caller.
func TestPermitIsReleasedWhenALongAnswerBreaksOff(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Seal", "s")
		_, _ = io.WriteString(w, longBody)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	f.send("/pay/1")
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.released) != 1 || f.released[0] != strain.Failed {
		t.Errorf("the permit was released with %v, want once, as failed", f.released)
	}
}

// TestLongAnswerThatBreaksOffIsNotComplete guards against a long answer that looks complete, or
// is joined with another endpoint's, where its endpoint breaks off after a part was forwarded.
func TestLongAnswerThatBreaksOffIsNotComplete(t *testing.T) {
	const length = "Content-Length: 9000000\r\n"
	for name, test := range map[string]struct {
		first http.HandlerFunc
		path  string
	}{
		"Length":     {raw(length, longBody), "/pay/1"},
		"Idempotent": {raw(length, longBody), "/look/1"},
		"Chunks":     {raw("Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(longBody), longBody)), "/look/1"},
		"Stream":     {raw(jsonType+length, longBody), "/resumable/1"},
		"Reset":      {resetAfter(longBody), "/look/1"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, test.first, long(http.StatusOK, true))
			got := f.send(test.path)
			if got.err == nil || !strings.HasPrefix(longBody, got.body) {
				t.Errorf("got status %d and %d bytes, error %v; want a part of the first answer and an error", got.status, len(got.body), got.err)
			}
			f.expectReceived("e0:")
		})
	}
}

// resetAfter returns a handler of an answer without a length, whose connection is reset.
func resetAfter(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n\r\n%s", r.Header.Get("Id"), body)
		time.Sleep(100 * time.Millisecond) // A reset discards what has not been read.
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}
