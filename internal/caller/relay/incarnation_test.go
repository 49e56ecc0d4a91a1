package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/internal/decide/balance"
)

// reporting returns a handler that answers the call for the report.
func reporting(status int, fields map[string]string, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for name, value := range fields {
			w.Header().Set(name, value)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// TestStreamGoesOnOnlyAtTheKnownIncarnation guards against a stream that goes on at an endpoint
// that has started again, maybe at another software version, and against one that breaks off
// where endpoints do not say what they are.
func TestStreamGoesOnOnlyAtTheKnownIncarnation(t *testing.T) {
	closing := map[string]string{"Connection": "close"}
	for name, test := range map[string]struct {
		report http.HandlerFunc
		goesOn bool
	}{
		"Same":             {reporting(200, nil, "7"), true},
		"SameAndCloses":    {reporting(200, closing, "7"), true},
		"Another":          {reporting(200, nil, "8"), false},
		"AnotherAndCloses": {reporting(200, closing, "8"), false},
		"NotKnown":         {reporting(404, nil, "8"), true},
		"NotKnownCloses":   {reporting(404, closing, ""), true},
		"NoIncarnation":    {reporting(200, nil, "{}"), true},
		"Endless": {func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				_, _ = io.WriteString(w, "8")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(time.Millisecond)
			}
		}, true},
		"NoAnswer":     {reset, false},
		"SilentAnswer": {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, events(1, 3, false), events(4, 6, true))
			f.incarnation, f.report = 7, test.report
			got := f.send("/resumable/1")
			if test.goesOn {
				f.expect(got, 200, eventText(1, 6))
				f.expectReceived("e0:", "e1:3")
				return
			}
			f.expectBrokenStream(got, eventText(1, 3))
			f.expectReceived("e0:")
			if len(f.outcomes) < 2 || f.outcomes[1] != balance.Canceled {
				t.Errorf("got outcomes %v; the endpoint is to get other requests", f.outcomes)
			}
		})
	}
}

// TestStreamGoesOnAfterAnEndpointThatStartedAgain guards against a stream that breaks off though
// another endpoint is of its version, and against an attempt that is counted though nothing was
// sent.
func TestStreamGoesOnAfterAnEndpointThatStartedAgain(t *testing.T) {
	f := newFixture(t, events(1, 3, false), events(4, 6, true), events(4, 6, true))
	restarted := f.endpoints[1].Listener.Addr().String()
	f.incarnation, f.report = 7, func(w http.ResponseWriter, r *http.Request) {
		incarnation := 7
		if r.Host == restarted {
			incarnation = 8
		}
		_, _ = fmt.Fprint(w, incarnation)
	}
	f.expect(f.send("/resumable/1"), 200, eventText(1, 6))
	f.expectReceived("e0:", "e2:3")
	if f.retryTokens != 8 {
		t.Errorf("%d tokens of 10 are left", f.retryTokens)
	}
}

// TestOtherRequestsAskForNoReport guards against questions before requests that continue no
// stream.
func TestOtherRequestsAskForNoReport(t *testing.T) {
	f := newFixture(t, reset, ok)
	f.incarnation, f.report = 7, func(http.ResponseWriter, *http.Request) { t.Error("asked for a report") }
	f.expect(f.send("/look/1"), 200, "fine")
	f = newFixture(t, reset, events(1, 3, true))
	f.incarnation, f.report = 7, func(http.ResponseWriter, *http.Request) { t.Error("asked for a report") }
	f.expect(f.send("/resumable/1"), 200, eventText(1, 3))
}
