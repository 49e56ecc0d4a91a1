package billing

import (
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// EraWatch notes when this daemon first saw the era that the table is in, see
// table.Position. It is safe for concurrent use.
type EraWatch struct {
	clock clock.Clock

	mu     sync.Mutex
	era    uint64
	seenAt clock.Millis
}

// NewEraWatch returns an EraWatch that has seen no era.
func NewEraWatch(clk clock.Clock) *EraWatch {
	return &EraWatch{clock: clk}
}

// Observe records that a call of the table was answered in an era. 0 means that the era is
// not known.
func (w *EraWatch) Observe(era uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if era > w.era {
		w.era, w.seenAt = era, w.clock.Now()
	}
}

// SeenAt returns the time of the steady clock at which an era was first seen.
func (w *EraWatch) SeenAt(era uint64) (at clock.Millis, seen bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seenAt, era != 0 && era == w.era
}
