package relay_test

import (
	"testing"

	"github.com/banyanshift/banyanshift/internal/decide/strain"
)

// TestPermitIsReleasedAsFailedByAPanic guards against a success that is recorded for an attempt
// that a panic ended.
func TestPermitIsReleasedAsFailedByAPanic(t *testing.T) {
	f := newFixture(t, events(1, 3, true))
	f.panics = true
	if got := f.send("/stream/1"); got.err == nil {
		t.Errorf("got status %d, body %q, want no answer", got.status, got.body)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.released) != 1 || f.released[0] != strain.Failed {
		t.Errorf("the permit was released with %v, want once, as failed", f.released)
	}
}
