package relay_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/decide/strain"
	"github.com/banyanshift/banyanshift/internal/endpoint/connect"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

// connectOver returns a function that connects to endpoints, unless they are silent.
func (f *fixture) connectOver(connector *connect.Connector) func(context.Context, connect.Target) (connect.Connection, error) {
	return func(ctx context.Context, target connect.Target) (connect.Connection, error) {
		if f.isSilent {
			<-ctx.Done()
			return connect.Connection{}, &http1.RequestError{DialFailed: true, Cause: ctx.Err()}
		}
		return connector.Connect(ctx, target)
	}
}

// nextOutcome waits until an attempt has ended, and takes what it said of its endpoint.
func (f *fixture) nextOutcome() (outcome balance.Outcome, permit strain.Outcome) {
	f.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		f.mu.Lock()
		ended := len(f.outcomes) > 0 && len(f.released) > 0
		if ended {
			outcome, permit = f.outcomes[0], f.released[0]
			f.outcomes, f.released = nil, nil
		}
		f.mu.Unlock()
		if ended {
			return outcome, permit
		}
	}
	f.t.Fatal("no attempt has ended")
	return 0, 0
}

// TestShortTimeLimitSaysNothingOfItsEndpoint guards against a caller whose time limits are too
// short for any endpoint, so that others get none.
func TestShortTimeLimitSaysNothingOfItsEndpoint(t *testing.T) {
	late := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	stalled := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Seal", "s")
		w.Header().Set("Content-Length", "9")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	for name, serve := range map[string]http.HandlerFunc{"no answer": late, "stalled answer": stalled, "stalled stream": stalledStream} {
		for _, test := range []struct {
			expected clock.Millis
			outcome  balance.Outcome
			strain   strain.Outcome
		}{
			{10 * clock.Second, balance.Canceled, strain.NotSent},
			{1, balance.Failed, strain.Failed},
		} {
			f := newFixture(t, serve)
			f.expected = test.expected
			f.send("/stream/1", "Limit", "400")
			if outcome, permit := f.nextOutcome(); outcome != test.outcome || permit != test.strain {
				t.Errorf("%s, expected within %v: got outcome %v, permit %v, want %v and %v", name, test.expected, outcome, permit, test.outcome, test.strain)
			}
		}
	}
}

// TestTimeLimitThatPassesInAQueueIsNoRefusal guards against an endpoint that gets fewer requests of
// all callers, since it has refused those of one whose time limits were too short.
func TestTimeLimitThatPassesInAQueueIsNoRefusal(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(70 * time.Millisecond)
		notRun(w, r)
	})
	f.expected = 10 * clock.Second
	f.send("/pay/1", "Limit", "50")
	if outcome, permit := f.nextOutcome(); outcome != balance.Canceled || permit != strain.NotSent {
		t.Errorf("got outcome %v, permit %v, want Canceled and NotSent", outcome, permit)
	}
	f.expect(f.send("/pay/1"), 503, "")
	if outcome, permit := f.nextOutcome(); outcome != balance.Failed || permit != strain.Refused {
		t.Errorf("got outcome %v, permit %v for a refusal in time, want Failed and Refused", outcome, permit)
	}
}

// stalledStream sends one event of a stream and no more.
func stalledStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Seal", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = w.Write([]byte(eventText(1, 1)))
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// TestShortTimeLimitEjectsNoEndpoint guards against endpoints that no caller gets, since one has
// given them no time to accept a connection.
func TestShortTimeLimitEjectsNoEndpoint(t *testing.T) {
	f := newFixture(t, ok)
	f.isSilent = true
	f.send("/pay/1", "Limit", "900")
	if outcome, _ := f.nextOutcome(); outcome != balance.Unreachable {
		t.Errorf("got outcome %v for an endpoint that was silent for long, want Unreachable", outcome)
	}
	for range 20 {
		f.send("/pay/1", "Limit", "5")
		if outcome, _ := f.nextOutcome(); outcome == balance.Canceled {
			return
		}
	}
	t.Error("got no outcome Canceled after 5 ms")
}
