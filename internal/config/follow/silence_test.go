package follow

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// TestStoreIsReadSoonAfterASilence guards against a daemon whose read of a silent store is followed
// by the whole interval between two reads, so that its configuration is too old to serve by.
func TestStoreIsReadSoonAfterASilence(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		before, silence := time.Duration(2000+rng.IntN(2000))*time.Millisecond, time.Duration(500+rng.IntN(4000))*time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			fl := newFleet(t, 1, 1)
			fl.timing = DefaultTiming()
			fl.clock = clock.Clock{Now: func() clock.Millis { return clock.FromDuration(time.Since(began)) }, Wall: clock.System().Wall, Sleep: clock.System().Sleep}
			n := fl.newNode(fl.view[0])
			fl.start(n)
			time.Sleep(before)
			n.store.setSilent(true)
			time.Sleep(silence)
			n.store.setSilent(false)
			limit := fl.timing.IsolationAge
			time.Sleep(limit.Duration())
			if age, known := n.follower.Age(); !known || age > limit {
				t.Errorf("seed %d: %v after a silence of %v the configuration is known as of %v ago", seed, limit, silence, age)
			}
			n.cancel()
			<-n.done
		})
	}
}
