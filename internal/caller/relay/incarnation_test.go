package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/internal/caller/relay"
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
	f.startCheck = relay.StartUnproved
	f.incarnation, f.report = 7, func(http.ResponseWriter, *http.Request) { t.Error("asked for a report") }
	f.expect(f.send("/resumable/1"), 200, eventText(1, 3))
}

// TestStreamGoesOnOnlyIfItsStartIsCertain guards against a stream that was begun by an endpoint which
// had started again at another software version, and goes on at one of the version that was known.
func TestStreamGoesOnOnlyIfItsStartIsCertain(t *testing.T) {
	for name, test := range map[string]struct {
		check   relay.StartCheck
		report  http.HandlerFunc
		ends    bool
		goesOn  bool
		unasked bool
	}{
		"Proved":              {check: relay.StartProved, report: reporting(200, nil, "8"), goesOn: true, unasked: true},
		"Refuted":             {check: relay.StartRefuted, report: reporting(200, nil, "7"), unasked: true},
		"SaysItIsTheSame":     {check: relay.StartUnproved, report: reporting(200, nil, "7"), goesOn: true},
		"SaysItIsAnother":     {check: relay.StartUnproved, report: reporting(200, nil, "8")},
		"SaysNothing":         {check: relay.StartUnproved, report: reset},
		"DoesNotKnowTheCall":  {check: relay.StartUnproved, report: reporting(404, nil, ""), goesOn: true},
		"HasEnded":            {check: relay.StartUnproved, report: reporting(200, nil, "7"), ends: true},
		"HasEndedProved":      {check: relay.StartProved, report: reporting(200, nil, "7"), ends: true, goesOn: true, unasked: true},
		"HasEndedAndRefuted":  {check: relay.StartRefuted, report: reporting(200, nil, "7"), ends: true, unasked: true},
		"AnotherAndItsClosed": {check: relay.StartUnproved, report: reporting(200, map[string]string{"Connection": "close"}, "8")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var first *httptest.Server
			var asked atomic.Int64
			begin := func(w http.ResponseWriter, r *http.Request) {
				if test.ends {
					_ = first.Listener.Close()
				}
				events(1, 3, false)(w, r)
			}
			f := newFixture(t, begin, events(4, 6, true))
			first, f.startCheck, f.incarnation = f.endpoints[0], test.check, 7
			f.report = func(w http.ResponseWriter, r *http.Request) {
				if r.Host == f.endpoints[1].Listener.Addr().String() {
					_, _ = io.WriteString(w, "7") // The one that is to go on.
					return
				}
				asked.Add(1)
				test.report(w, r)
			}
			got := f.send("/resumable/1")
			if wantAsked := !test.unasked && !test.ends; (asked.Load() == 1) != wantAsked {
				t.Errorf("asked %d times, want a question: %t", asked.Load(), wantAsked)
			}
			if doubted := f.doubted.Load() > 0; doubted == test.goesOn {
				t.Errorf("doubted: %t", doubted)
			}
			if test.goesOn {
				f.expect(got, 200, eventText(1, 6))
				return
			}
			f.expectBrokenStream(got, eventText(1, 3))
			f.expectReceived("e0:")
		})
	}
}
