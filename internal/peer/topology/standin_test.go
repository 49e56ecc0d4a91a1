package topology_test

import (
	"fmt"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// TestOldViewIsReadAgainByAFewOfEachDomain guards against daemons that leave the store to roots
// which do not know that it does not answer them, and against a fleet in which all read it.
func TestOldViewIsReadAgainByAFewOfEachDomain(t *testing.T) {
	for _, fleet := range []struct{ size, domains int }{{12, 3}, {100, 5}, {370, 14}} {
		s := newSimulation(fleet.size, fleet.domains)
		s.mustSettle(t, maxStartTime)
		s.runFor(10 * clock.Second)
		for _, test := range []struct {
			age  clock.Millis
			want int
		}{{2400, 3}, {2600, fleet.domains}, {3100, 2 * fleet.domains}, {3600, 3 * fleet.domains}, {4100, 4 * fleet.domains}, {60000, 4 * fleet.domains}} {
			t.Run(fmt.Sprintf("%d daemons, %s", fleet.size, test.age), func(t *testing.T) {
				follow := 0
				for _, n := range s.order {
					if n.view.FollowsStore(s.now, s.now-test.age) {
						follow++
					}
				}
				if follow != test.want {
					t.Errorf("%d daemons follow the store, want %d", follow, test.want)
				}
			})
		}
	}
}

// TestStandInGoesOnAfterItsFirstRead guards against daemons that read the store once for the roots
// whose calls hang, and leave it to them again since the view is recent by that.
func TestStandInGoesOnAfterItsFirstRead(t *testing.T) {
	s := newSimulation(12, 3)
	s.mustSettle(t, maxStartTime)
	s.runFor(10 * clock.Second)
	second := s.order[3]
	if second.view.FollowsStore(s.now, s.now) {
		t.Error("the second daemon of a domain follows the store though the view is recent")
	}
	if !second.view.FollowsStore(s.now, s.now-3100) {
		t.Error("the second daemon of a domain does not follow the store though the view is old")
	}
	s.runFor(5900)
	if !second.view.FollowsStore(s.now, s.now) {
		t.Error("the daemon stopped to follow the store while calls of the roots may still hang")
	}
	s.runFor(200)
	if second.view.FollowsStore(s.now, s.now) {
		t.Error("the daemon still follows the store")
	}
}
