package retry

import (
	"sort"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Defaults of HedgeConfig.
const (
	// DefaultHedgeShare is the maximum share of requests that are hedged.
	DefaultHedgeShare = 0.03
	// DefaultHedgeQuantile is the quantile of the measured times to first
	// token that a request waits before it is hedged.
	DefaultHedgeQuantile = 0.95
	// DefaultMinDelay is the minimum time before a hedge.
	DefaultMinDelay = 100 * clock.Millisecond
)

// HedgeConfig holds the settings of a Hedger. Zero fields take the defaults.
type HedgeConfig struct {
	Share    float64
	Quantile float64
	MinDelay clock.Millis
}

// sampleCount is the number of latest times to first token that are kept, and
// samplesPerUpdate the number of new ones before the quantile is recomputed.
const (
	sampleCount      = 256
	samplesPerUpdate = 32
)

// maxHedgeTokens is the maximum number of hedges that may start at once.
const maxHedgeTokens = 5

// Hedger decides when a second copy of a slow request may be started.
type Hedger struct {
	config     HedgeConfig
	samples    []clock.Millis
	nextSample int
	newSamples int
	delay      clock.Millis
	tokens     float64
}

// NewHedger returns a Hedger that allows no hedges until it has measured enough
// requests.
func NewHedger(config HedgeConfig) *Hedger {
	if config.Share == 0 {
		config.Share = DefaultHedgeShare
	}
	if config.Quantile == 0 {
		config.Quantile = DefaultHedgeQuantile
	}
	if config.MinDelay == 0 {
		config.MinDelay = DefaultMinDelay
	}
	return &Hedger{config: config}
}

// RecordFirstToken records the time to first token of a request and adds the
// request's share of a hedge to the budget.
func (h *Hedger) RecordFirstToken(elapsed clock.Millis) {
	h.tokens = min(h.tokens+h.config.Share, maxHedgeTokens)
	if len(h.samples) < sampleCount {
		h.samples = append(h.samples, elapsed)
	} else {
		h.samples[h.nextSample] = elapsed
		h.nextSample = (h.nextSample + 1) % sampleCount
	}
	h.newSamples++
	if h.newSamples >= samplesPerUpdate {
		h.updateDelay()
	}
}

func (h *Hedger) updateDelay() {
	h.newSamples = 0
	sorted := append([]clock.Millis(nil), h.samples...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	index := int(h.config.Quantile * float64(len(sorted)-1))
	h.delay = max(sorted[index], h.config.MinDelay)
}

// Delay returns how long to wait before a hedge, or 0 while there are too few
// measurements.
func (h *Hedger) Delay() clock.Millis {
	return h.delay
}

// TakeHedge reports whether a hedge may start for a request that has waited this
// long for its first token, and takes it from the budget if so. Requests that
// aren't repeatable are never hedged.
func (h *Hedger) TakeHedge(waited clock.Millis, repeatable bool) bool {
	if !repeatable || h.delay == 0 || waited < h.delay || h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}
