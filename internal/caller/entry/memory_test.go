package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
)

// TestBodyThatDoesNotFitIsRefused guards against a daemon that holds more bodies than it has memory for,
// and against callers that do not learn that their request has not run.
func TestBodyThatDoesNotFitIsRefused(t *testing.T) {
	const bodyBytes = 60 << 20
	s := startServer(t, ini.Caller{MaxBodyBytes: 64 << 20}, alwaysReady, func(x *Exchange) error {
		if err := x.ReadBody(); err != nil {
			return err
		}
		return x.SendAnswer(http.StatusOK, []byte(firstLine))
	})
	for length, want := range map[int]int{bodyBytes: http.StatusServiceUnavailable, bodyBytes / 4: http.StatusOK} {
		answer, err := http.Post("http://"+s.Address()+"/x", "text/plain", strings.NewReader(strings.Repeat("x", length)))
		if err != nil {
			t.Fatalf("%d bytes: %v", length, err)
		}
		_ = answer.Body.Close()
		if answer.StatusCode != want {
			t.Errorf("%d bytes: got status %d, want %d", length, answer.StatusCode, want)
		}
		if run := answer.Header.Get("Run"); want == http.StatusServiceUnavailable && run != string(request.RunNot) {
			t.Errorf("%d bytes: got Run %q", length, run)
		}
	}
	for deadline := time.Now().Add(5 * time.Second); s.deps.Memory.State().Held != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are held after the requests", s.deps.Memory.State().Held)
		}
	}
}
