package body

import (
	"io"
	"net/http"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// FullTimeout limits how long the body of a request is discarded that is refused for lack of memory,
// since many callers read no answer before they have sent the whole body.
const FullTimeout = 300 * clock.Millisecond

// Discard reads the rest of a request's body and discards it. It returns false if the body has not
// ended after a time, or is longer than maxBytes.
func Discard(w http.ResponseWriter, r *http.Request, timeout clock.Millis, maxBytes int64) bool {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout.Duration()))
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBytes)); err != nil {
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	return true
}
