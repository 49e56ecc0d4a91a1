package serve

import (
	"context"
	"strings"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/lease"
	"github.com/banyanshift/banyanshift/internal/peer/link"
)

// holderInterval is how often a daemon that does not compete for the lease
// reads who holds it.
const holderInterval = 15 * clock.Second

// holderView knows who holds the region's lease, late and without promise.
type holderView struct {
	daemon *Daemon
	key    string

	mu  sync.Mutex
	row lease.Row
}

// Run reads the lease now and then until the context ends, unless this daemon
// competes for it and so knows anyway.
func (h *holderView) Run(ctx context.Context) error {
	random := h.daemon.random(5)
	for {
		if !h.daemon.leaseCandidate() {
			h.refresh(ctx)
		}
		pause := holderInterval/2 + clock.Millis(random.Int64N(int64(holderInterval)))
		if err := h.daemon.clock.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

func (h *holderView) refresh(ctx context.Context) {
	row, err := lease.Peek(ctx, h.daemon.table, h.key)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.row = row
}

// seen returns the newest row that this daemon knows.
func (h *holderView) seen() lease.Row {
	h.mu.Lock()
	defer h.mu.Unlock()
	if own := h.daemon.lease.LastSeen(); own.Fence >= h.row.Fence {
		return own
	}
	return h.row
}

// peer returns the daemon that holds the lease.
func (h *holderView) peer() (link.Peer, bool) {
	holder := h.seen().Holder
	dot := strings.LastIndex(holder, ".")
	if dot < 0 {
		return link.Peer{}, false
	}
	address, found := h.daemon.addressOf(holder[:dot])
	return link.Peer{ID: holder[:dot], Address: address}, found
}
