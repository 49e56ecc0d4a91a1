package billing

import (
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// EraWatch notes when this daemon first saw the era that the table is in, see
// table.Position. It is safe for concurrent use.
type EraWatch struct {
	clock      clock.Clock
	firstStart bool
	startedAt  clock.Millis

	mu     sync.Mutex
	era    uint64
	seenAt clock.Millis
	// sinceStart is set if the table has been in this era since the system first started.
	sinceStart bool
}

// NewEraWatch returns an EraWatch that has seen no era. firstStart is set if this daemon
// starts together with the whole system, for the first time.
func NewEraWatch(clk clock.Clock, firstStart bool) *EraWatch {
	return &EraWatch{clock: clk, firstStart: firstStart, startedAt: clk.Now()}
}

// Observe records that a call of the table was answered in an era. 0 means that the era is
// not known.
func (w *EraWatch) Observe(era uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if era <= w.era {
		return
	}
	now := w.clock.Now()
	// No window was sealed within sealDelay of the first start.
	w.sinceStart = w.firstStart && w.era == 0 && now-w.startedAt <= sealDelay
	w.era, w.seenAt = era, now
}

// Seen reports whether any answer of the table named an era.
func (w *EraWatch) Seen() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.era != 0
}

// SeenAt returns the time of the steady clock at which an era was first seen.
func (w *EraWatch) SeenAt(era uint64) (at clock.Millis, seen bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seenAt, era != 0 && era == w.era
}

// SinceStart reports whether no window was sealed before the table entered an era, since the
// whole system started in it.
func (w *EraWatch) SinceStart(era uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sinceStart && era == w.era
}
