package relay_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/internal/decide/balance"
)

// TestAbandonedRequestIsAnsweredByWhatIsKnown guards against requests that end without an answer
// with their daemon, and against a 503 for one that may have run.
func TestAbandonedRequestIsAnsweredByWhatIsKnown(t *testing.T) {
	t.Parallel()
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	beginsStream := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, eventText(1, 1))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	for name, tt := range map[string]struct {
		path   string
		handle http.HandlerFunc
		waits  bool
		status int
		retry  string
		broken bool
	}{
		"waits for a permit":         {path: "/pay/1", handle: ok, waits: true, status: http.StatusServiceUnavailable, retry: "0.010"},
		"sent":                       {path: "/pay/1", handle: silent, status: http.StatusBadGateway},
		"sent, could be sent again":  {path: "/look/1", handle: silent, status: http.StatusBadGateway},
		"stream without an event":    {path: "/stream/1", handle: silent, status: http.StatusBadGateway},
		"stream that has begun":      {path: "/stream/1", handle: beginsStream, status: http.StatusOK, broken: true},
		"resumable stream has begun": {path: "/resumable/1", handle: beginsStream, status: http.StatusOK, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, tt.handle, ok)
			f.noPermit = tt.waits
			replies := make(chan reply, 1)
			go func() { replies <- f.send(tt.path) }()
			time.Sleep(100 * time.Millisecond)
			f.handler.Abandon()
			got := <-replies
			if got.status != tt.status || got.header.Get("Retry-After") != tt.retry || (got.err != nil) != tt.broken {
				t.Errorf("got status %d, Retry-After %q and error %v, want %d, %q and error %t", got.status, got.header.Get("Retry-After"), got.err, tt.status, tt.retry, tt.broken)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if len(f.outcomes) != 1 || f.outcomes[0] != balance.Canceled {
				t.Errorf("got outcomes %v, want one that says nothing of the endpoint", f.outcomes)
			}
		})
	}
}

// TestAbandonedRequestThatRunsIsBilled guards against usage that is too low by the requests that
// endpoints work on when their daemon ends.
func TestAbandonedRequestThatRunsIsBilled(t *testing.T) {
	t.Parallel()
	begun := make(chan struct{})
	f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
	}, ok)
	replies := make(chan reply, 1)
	go func() { replies <- f.send("/pay/1") }()
	<-begun
	f.handler.Abandon()
	<-replies
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.started != 1 {
		t.Errorf("%d requests were billed, want 1", f.started)
	}
}
