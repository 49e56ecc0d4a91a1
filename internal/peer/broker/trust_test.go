package broker

import (
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
)

func TestTrustIsWithdrawnLongerFromABrokerThatFlaps(t *testing.T) {
	var tr trust
	now := clock.Millis(100_000)
	previous := clock.Millis(0)
	for range 10 {
		tr.lost(now)
		if tr.returned(now + tr.doubt - 1) {
			t.Fatalf("believed before %v had passed", tr.doubt)
		}
		if tr.doubt < previous || tr.doubt > longestDoubt {
			t.Fatalf("doubt went from %v to %v", previous, tr.doubt)
		}
		previous = tr.doubt
		now += tr.doubt
		if !tr.returned(now) {
			t.Fatal("not believed after the doubt")
		}
		now += 300
	}
	if tr.doubt != longestDoubt {
		t.Errorf("doubt is %v after ten losses", tr.doubt)
	}
	tr.lost(now + steadyFor)
	if tr.doubt != firstDoubt {
		t.Errorf("doubt is %v after a steady time", tr.doubt)
	}
}
