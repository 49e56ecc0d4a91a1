package billing_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// playFleet runs a test with a fleet of two VMs whose times of day are right.
func playFleet(t *testing.T, play func(t *testing.T, f *simFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newSimFleet(ctx, t, 1, 0, 0, 0)
		play(t, f)
		cancel()
		f.stop()
	})
}

// TestFenceOfALostTakeoverIsNotUsedAgain guards against two holders with one fence, after the
// table has lost the takeover by the first of them and all daemons that knew of it have ended.
func TestFenceOfALostTakeoverIsNotUsedAgain(t *testing.T) {
	playFleet(t, func(_ *testing.T, f *simFleet) {
		time.Sleep(2 * time.Second)
		first := f.holder()
		first.freeze(8 * time.Second)
		time.Sleep(6 * time.Second)
		second := f.holder()
		f.kill(second.slot(), 4*time.Second, false)
		f.kill(first.slot(), time.Second, false)
		f.restore(100*time.Millisecond, 5500*time.Millisecond)
		time.Sleep(10 * time.Second)
	})
}

// TestFenceIsNotUsedAgainAfterARestoreOlderThanTheLease guards against the same when the table has
// lost the row of the lease.
func TestFenceIsNotUsedAgainAfterARestoreOlderThanTheLease(t *testing.T) {
	playFleet(t, func(_ *testing.T, f *simFleet) {
		time.Sleep(7 * time.Second)
		first := f.holder()
		f.kill(first.slot(), 5*time.Second, false)
		f.restore(100*time.Millisecond, 8*time.Second)
		time.Sleep(10 * time.Second)
	})
}

// TestHolderThatStoodStillOverARestoreReportsNothingElse guards against a second report by a
// holder that goes on in a later era, which has lost the takeover and the seal of another one.
func TestHolderThatStoodStillOverARestoreReportsNothingElse(t *testing.T) {
	playFleet(t, func(_ *testing.T, f *simFleet) {
		time.Sleep(2 * time.Second)
		f.holder().freeze(6500 * time.Millisecond)
		time.Sleep(6 * time.Second)
		f.holder().freeze(5 * time.Second)
		f.restore(100*time.Millisecond, 5500*time.Millisecond)
		time.Sleep(10 * time.Second)
	})
}

// TestClocksThatDifferBringNoSecondReport guards against a daemon whose time of day is behind
// that of the holder before it, so that it takes a window for one that has not ended.
func TestClocksThatDifferBringNoSecondReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newSimFleet(ctx, t, 1, 0, 1200*clock.Millisecond, -1200*clock.Millisecond)
		ahead, behind := f.vms[0], f.vms[1]
		behind.freeze(time.Second)
		behind.cut(time.Minute)
		for !f.reported(100) {
			time.Sleep(time.Millisecond)
		}
		if f.holder() != ahead {
			t.Fatal("window 100 was not reported by the daemon whose clock is ahead")
		}
		f.kill(ahead.slot(), 5*time.Second, false)
		f.restore(100*time.Millisecond, 1500*time.Millisecond)
		time.Sleep(10 * time.Second)
		cancel()
		f.stop()
	})
}

// TestNoOrderOfEventsBringsASecondReport plays random orders of kills, pauses, cuts between
// daemons, late writes, clocks that differ, and tables that come back from a copy. USAGE_ORDERS sets their number.
func TestNoOrderOfEventsBringsASecondReport(t *testing.T) {
	for seed := range simSeeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playOrder(t, seed) })
		})
	}
}

func playOrder(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	skews := make([]clock.Millis, 2+rng.IntN(3))
	for n := range skews {
		skews[n] = clock.Millis(rng.Int64N(int64(2*simMaxSkew)+1)) - simMaxSkew
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := newSimFleet(ctx, t, seed, 0.05*float64(rng.IntN(3)), skews...)
	for range 4 + rng.IntN(8) {
		time.Sleep(time.Duration(rng.Int64N(int64(6 * time.Second))))
		f.disturb(rng)
	}
	cancel()
	f.stop()
}

// disturb starts a disturbance.
func (f *simFleet) disturb(rng *rand.Rand) {
	n := rng.IntN(len(f.vms))
	f.mu.Lock()
	d := f.vms[n]
	f.mu.Unlock()
	span := time.Duration(rng.Int64N(int64(6*time.Second))) + 100*time.Millisecond
	switch rng.IntN(7) {
	case 0:
		f.kill(n, span/4, false)
	case 1:
		d.freeze(span)
	case 2:
		d.cut(span)
	case 3, 4:
		f.restore(span/6, time.Duration(rng.Int64N(int64(7*time.Second))))
	case 5:
		for n := range f.vms {
			if rng.IntN(4) > 0 {
				f.kill(n, span/8, false)
			}
		}
		f.restore(span/6, time.Duration(rng.Int64N(int64(7*time.Second))))
	case 6:
		f.restoreWhileTheHolderStands(rng)
	}
}

// restoreWhileTheHolderStands lets the holder stand still until another daemon may have taken
// over and reported. The table then comes back from a copy of before, as the holder goes on.
func (f *simFleet) restoreWhileTheHolderStands(rng *rand.Rand) {
	f.mu.Lock()
	vms := slices.Clone(f.vms)
	f.mu.Unlock()
	for _, d := range vms {
		if _, _, ok := d.lease.Valid(); ok {
			span := 4*time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
			d.freeze(span)
			time.Sleep(span - 400*time.Millisecond)
			f.restore(time.Duration(rng.Int64N(int64(600*time.Millisecond))), span-time.Second)
		}
	}
}

// simMaxSkew is the largest difference of a time of day to the true one.
const simMaxSkew = 1200 * clock.Millisecond

// simSeeds returns the number of random orders: a few, or as many as the environment asks for.
func simSeeds(t *testing.T) uint64 {
	const few = 60
	text := os.Getenv("USAGE_ORDERS")
	if text == "" {
		return few
	}
	count, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return count
}
