package retry

import (
	"sort"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Defaults of HedgeConfig.
const (
	// DefaultHedgeShare bounds the hedges as a share of the requests.
	DefaultHedgeShare = 0.03
	// DefaultHedgeQuantile of the times to the first token is how long a
	// request waits before it is hedged.
	DefaultHedgeQuantile = 0.95
	// DefaultMinDelay is the least time before a hedge.
	DefaultMinDelay = 100 * clock.Millisecond
)

// HedgeConfig holds the rules of Hedges. Zero fields take the defaults.
type HedgeConfig struct {
	Share    float64
	Quantile float64
	MinDelay clock.Millis
}

// windowLength is how many times to the first token are remembered, and
// refreshEvery how many new ones pass before the quantile is worked out again.
const (
	windowLength = 256
	refreshEvery = 32
)

// maxHedgeBurst bounds the hedges that may be started at once.
const maxHedgeBurst = 5

// Hedger decides when a second copy of a slow request may be started.
type Hedger struct {
	config HedgeConfig
	window []clock.Millis
	next   int
	fresh  int
	delay  clock.Millis
	budget float64
}

// NewHedger returns Hedges that has seen nothing and hedges nothing yet.
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

// RecordFirstToken records the time to the first token of a request and pays its
// share into the budget.
func (h *Hedger) RecordFirstToken(took clock.Millis) {
	h.budget = min(h.budget+h.config.Share, maxHedgeBurst)
	if len(h.window) < windowLength {
		h.window = append(h.window, took)
	} else {
		h.window[h.next] = took
		h.next = (h.next + 1) % windowLength
	}
	h.fresh++
	if h.fresh >= refreshEvery {
		h.refresh()
	}
}

func (h *Hedger) refresh() {
	h.fresh = 0
	sorted := append([]clock.Millis(nil), h.window...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	at := int(h.config.Quantile * float64(len(sorted)-1))
	h.delay = max(sorted[at], h.config.MinDelay)
}

// Delay returns how long to wait before a hedge; 0 while too little is known.
func (h *Hedger) Delay() clock.Millis {
	return h.delay
}

// TakeHedge takes one hedge from the budget for a request that has waited for its
// first token, and reports whether it may be started. Work that may not be
// repeated is never hedged.
func (h *Hedger) TakeHedge(waited clock.Millis, repeatable bool) bool {
	if !repeatable || h.delay == 0 || waited < h.delay || h.budget < 1 {
		return false
	}
	h.budget--
	return true
}
