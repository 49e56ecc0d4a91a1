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

// Histograms is a metric with one histogram of durations per key. It is safe for
// concurrent use.
type Histograms struct {
	mu    sync.Mutex
	byKey map[string]*hdrhistogram.Histogram
}

// summary is the published form of a histogram, in milliseconds.
type summary struct {
	Count              int64
	Mean               float64
	P50, P95, P99, Max int64
}

// NewHistograms declares a metric with one histogram of durations per key.
func NewHistograms(name, help string) *Histograms {
	describe(name, help)
	h := &Histograms{byKey: make(map[string]*hdrhistogram.Histogram)}
	expvar.Publish(name, h)
	return h
}

// Record adds a duration to the histogram of key. Durations out of range are
// clamped to it.
func (h *Histograms) Record(key string, d clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	histogram := h.byKey[key]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxRecorded, significantDigits)
		h.byKey[key] = histogram
	}
	// RecordValue fails only for values out of range.
	_ = histogram.RecordValue(min(max(int64(d), 1), maxRecorded))
}

// String returns the summaries by key as JSON. It implements expvar.Var.
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
