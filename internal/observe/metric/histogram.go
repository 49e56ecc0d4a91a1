package metric

import (
	"encoding/json"
	"expvar"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Range and precision of the histograms.
const (
	maxRecorded       = int64(clock.Minute)
	significantDigits = 2
)

// Histograms is a metric with a histogram of durations for each of several
// keys. It is safe for concurrent use.
type Histograms struct {
	mu    sync.Mutex
	byKey map[string]*hdrhistogram.Histogram
}

// summary is what a histogram shows, in milliseconds.
type summary struct {
	Count              int64
	Mean               float64
	P50, P95, P99, Max int64
}

// NewHistograms declares a metric of durations.
func NewHistograms(name, help string) *Histograms {
	describe(name, help)
	h := &Histograms{byKey: make(map[string]*hdrhistogram.Histogram)}
	expvar.Publish(name, h)
	return h
}

// Record adds a duration; one beyond the range counts as its end.
func (h *Histograms) Record(key string, d clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	histogram := h.byKey[key]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxRecorded, significantDigits)
		h.byKey[key] = histogram
	}
	// The value is within the range.
	_ = histogram.RecordValue(min(max(int64(d), 1), maxRecorded))
}

// String implements expvar.Var.
func (h *Histograms) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	summaries := make(map[string]summary, len(h.byKey))
	for key, histogram := range h.byKey {
		summaries[key] = summary{
			Count: histogram.TotalCount(), Mean: histogram.Mean(),
			P50: histogram.ValueAtQuantile(50), P95: histogram.ValueAtQuantile(95), P99: histogram.ValueAtQuantile(99), Max: histogram.Max(),
		}
	}
	text, err := json.Marshal(summaries)
	if err != nil {
		return "{}"
	}
	return string(text)
}
