package relay_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

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
