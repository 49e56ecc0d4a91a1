package platform

import (
	"net/http"
	"strconv"

	"golang.org/x/time/rate"
)

// weights is the rate-limited weight store. It sends no data, but responds after
// the time that the transfer would take.
type weights struct {
	limiter *rate.Limiter
}

// weightChunk is how many bytes a reader takes from the rate limiter at a time,
// so that concurrent readers share the rate.
const weightChunk = 64 << 20

func newWeights(bytesPerSecond float64) *weights {
	return &weights{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), weightChunk)}
}

// serve answers GET /weights/<model>?bytes=N once the rate limit has allowed N
// bytes.
func (s *weights) serve(w http.ResponseWriter, r *http.Request) {
	left, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil {
		http.Error(w, "bytes must be a number", http.StatusBadRequest)
		return
	}
	for left > 0 {
		part := min(left, weightChunk)
		if err := s.limiter.WaitN(r.Context(), int(part)); err != nil {
			return
		}
		left -= part
	}
	writeAnswer(w, ok(struct{}{}))
}
