package serve

import (
	"context"
	"strings"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/lease"
	"github.com/banyanshift/banyanshift/internal/peer/link"
)

// leaseReadInterval is the mean time between two reads of the lease by a daemon
// that does not compete for it. Each pause is random, from half of this time to
// one and a half times it.
const leaseReadInterval = 15 * clock.Second

// leaseView is this daemon's view of the region's lease. It may be out of date.
type leaseView struct {
	daemon *Daemon
	key    string

	mu  sync.Mutex
	row lease.Row
}

// Run reads the lease periodically until ctx ends. It skips the read while this
// daemon competes for the lease, since d.lease then reads the row.
func (v *leaseView) Run(ctx context.Context) error {
	random := v.daemon.random(5)
	for {
		if !v.daemon.leaseCandidate() {
			v.refresh(ctx)
		}
		pause := leaseReadInterval/2 + clock.Millis(random.Int64N(int64(leaseReadInterval)))
		if err := v.daemon.clock.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

func (v *leaseView) refresh(ctx context.Context) {
	row, err := lease.Peek(ctx, v.daemon.table, v.key)
	if err != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.row = row
}

// latest returns the row with the highest fence that this daemon has read.
func (v *leaseView) latest() lease.Row {
	v.mu.Lock()
	defer v.mu.Unlock()
	if seen := v.daemon.lease.LastSeen(); seen.Fence >= v.row.Fence {
		return seen
	}
	return v.row
}

// holder returns the daemon that holds the lease, if it is a known member. The row
// names the holder's incarnation: the daemon's ID, a dot and a random suffix.
func (v *leaseView) holder() (link.Peer, bool) {
	incarnation := v.latest().Holder
	dot := strings.LastIndex(incarnation, ".")
	if dot < 0 {
		return link.Peer{}, false
	}
	address, found := v.daemon.addressOf(incarnation[:dot])
	return link.Peer{ID: incarnation[:dot], Address: address}, found
}
