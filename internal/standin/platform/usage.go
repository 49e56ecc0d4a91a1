package platform

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/platform/usage"
	"github.com/banyanshift/banyanshift/internal/standin/record"
)

// usageReports collects the usage reports and detects repeated and conflicting ones.
type usageReports struct {
	clock clock.Clock

	mu      sync.Mutex
	bodies  map[string][]byte
	fences  fenceTracker
	reports []record.UsageReport
}

func (w *usageReports) init(clk clock.Clock) {
	w.clock = clk
	w.bodies = make(map[string][]byte)
	w.fences = newFenceTracker()
}

func (w *usageReports) report(c call) answer {
	entry := record.UsageReport{Received: w.clock.Wall(), Sender: c.Header.Get(usage.HeaderSender)}
	if !c.decode(&entry.Window) || entry.Window.Scope == "" || entry.Window.Number == 0 {
		return refuse(http.StatusBadRequest, "BadBody")
	}
	entry.SenderFence, _ = strconv.ParseUint(c.Header.Get(usage.HeaderSenderFence), 10, 64)
	w.mu.Lock()
	defer w.mu.Unlock()
	if entry.Sender != "" {
		entry.Overlap = !w.fences.observe(entry.Window.Scope, entry.SenderFence, entry.Sender)
	}
	key := fmt.Sprintf("%s/%d", entry.Window.Scope, entry.Window.Number)
	known, repeated := w.bodies[key]
	entry.Repeated = repeated
	entry.Conflict = repeated && !bytes.Equal(known, c.body)
	w.reports = append(w.reports, entry)
	if entry.Conflict {
		return refuse(http.StatusConflict, "Conflict")
	}
	w.bodies[key] = c.body
	return ok(struct{}{})
}

func (w *usageReports) record() []record.UsageReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]record.UsageReport(nil), w.reports...)
}

// fenceTracker detects messages of a holder after another one got a newer fence.
type fenceTracker struct {
	greatest map[string]uint64
	holders  map[string]string
}

func newFenceTracker() fenceTracker {
	return fenceTracker{greatest: make(map[string]uint64), holders: make(map[string]string)}
}

// observe reports whether a message comes from the holder with the greatest fence
// of the scope. It is false for a second holder under the same fence, too.
func (f *fenceTracker) observe(scope string, fence uint64, holder string) bool {
	if fence < f.greatest[scope] {
		return false
	}
	if fence > f.greatest[scope] {
		f.greatest[scope] = fence
		f.holders[scope] = holder
	}
	return f.holders[scope] == holder
}
