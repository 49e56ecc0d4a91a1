package fleet_test

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/decide/strain"
)

// TestPermitThatIsLateIsGivenBack guards against requests that are sent together, because
// the daemon was held up between their permits and their sending.
func TestPermitThatIsLateIsGivenBack(t *testing.T) {
	const (
		perSecond = 20
		requests  = 10
		delay     = 500 * clock.Millisecond
	)
	var heldUp atomic.Bool
	clk := clock.System()
	env := environment{clock: clk}
	env.clock.Sleep = func(ctx context.Context, d clock.Millis) error {
		if heldUp.Load() {
			d += delay
		}
		return clk.Sleep(ctx, d)
	}
	d := startWith(t, env, "a", table.NewMemory().Client())
	list := engineList()
	d.scheduler.SetEndpoints(list)
	d.fleet.SetEndpoints(list)
	placement := relay.Placement{Endpoint: list[0].ID}
	scheduler := d.fleet.RelayScheduler()
	scheduler.RecordTerms(placement, strain.Terms{RequestsPerSecond: perSecond})
	acquire := func() (granted int) {
		for range requests {
			if scheduler.Acquire(context.Background(), placement, 0, 5*clock.Second).Granted {
				granted++
			}
		}
		return granted
	}
	if granted := acquire(); granted != requests {
		t.Errorf("%d of %d requests got a permit in time", granted, requests)
	}
	heldUp.Store(true)
	if granted := acquire(); granted > 2 {
		t.Errorf("%d of %d permits were used %v late", granted, requests, delay)
	}
}
