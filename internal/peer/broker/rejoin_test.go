package broker

import (
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
)

func TestRejoinDelayGrowsWhileBrokerFlaps(t *testing.T) {
	var backoff rejoinBackoff
	now := clock.Millis(100_000)
	previous := clock.Millis(0)
	for range 10 {
		backoff.recordLoss(now)
		if backoff.tryRejoin(now + backoff.delay - 1) {
			t.Fatalf("broker rejoined before its delay of %v had passed", backoff.delay)
		}
		if backoff.delay < previous || backoff.delay > maxRejoinDelay {
			t.Fatalf("delay changed from %v to %v, want no decrease and at most maxRejoinDelay", previous, backoff.delay)
		}
		previous = backoff.delay
		now += backoff.delay
		if !backoff.tryRejoin(now) {
			t.Fatal("broker did not rejoin after its delay")
		}
		now += 300
	}
	if backoff.delay != maxRejoinDelay {
		t.Errorf("got delay %v after ten losses, want maxRejoinDelay", backoff.delay)
	}
	backoff.recordLoss(now + rejoinResetAfter)
	if backoff.delay != minRejoinDelay {
		t.Errorf("got delay %v after a stable period, want minRejoinDelay", backoff.delay)
	}
}
