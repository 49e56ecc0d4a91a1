package topology_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// storeWait is how long a call to the store waits for a new version.
const storeWait = clock.Second

// followStore reads the version in the store if the daemon is to follow it.
func (s *simulation) followStore(n *node) {
	follows := n.view.FollowsStore(s.now, n.confirmedAt)
	if follows && (n.version != s.version || s.now-n.readAt >= storeWait) {
		n.readAt = s.now
		s.takeVersion(n, s.version, s.now)
	}
}

// updateLateness pings all contacts at once when the news of a daemon has become late.
func (s *simulation) updateLateness(n *node, contacts []string) {
	wasLate := n.newsIsLate
	n.newsIsLate = n.view.NewsIsLate(s.now)
	for _, address := range contacts {
		if n.newsIsLate && !wasLate {
			n.nextAt[address] = s.now
		}
	}
}

// takeVersion takes over a version, if it is newer, and the time at which it was
// confirmed. The daemons that follow this one are told at once.
func (s *simulation) takeVersion(n *node, version int, confirmedAt clock.Millis) {
	if version < n.version {
		return
	}
	n.confirmedAt = max(n.confirmedAt, confirmedAt)
	if version == n.version {
		return
	}
	n.version = version
	for _, address := range n.view.Subscribers() {
		if subscriber := s.nodes[address]; subscriber.alive {
			subscriber.nextAt[n.vm.Address] = s.now
		}
	}
}

// outdated returns the number of living daemons without the newest version.
func (s *simulation) outdated() (count int) {
	for _, n := range s.order {
		if n.alive && n.version != s.version {
			count++
		}
	}
	return count
}

// TestVersionIsKnownInTimeThoughRootsFallSilent cuts daemons off, among them the roots
// from which the others learn of a version that is confirmed right afterwards.
func TestVersionIsKnownInTimeThoughRootsFallSilent(t *testing.T) {
	sizes := []struct {
		size, domains int
		limit         clock.Millis
	}{{8, 3, 2 * clock.Second}, {30, 5, 2 * clock.Second}, {100, 5, 3 * clock.Second}, {370, 14, 4 * clock.Second}}
	cases := []struct {
		name   string
		silent func(i, domains int, rng *rand.Rand) bool
	}{
		{"all roots", func(i, domains int, _ *rand.Rand) bool { return i < domains }},
		{"all roots but one", func(i, domains int, _ *rand.Rand) bool { return i > 0 && i < domains }},
		{"the first two of each domain but one", func(i, domains int, _ *rand.Rand) bool { return i%domains > 0 && i < 2*domains }},
		{"three of ten", func(_, _ int, rng *rand.Rand) bool { return rng.IntN(10) < 3 }},
	}
	for _, fleet := range sizes {
		for _, test := range cases {
			t.Run(fmt.Sprintf("%d daemons, %s", fleet.size, test.name), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(8) {
					s := newSimulation(fleet.size, fleet.domains)
					s.mustSettle(t, maxStartTime)
					rng := rand.New(rand.NewPCG(seed, 1))
					s.runFor(2*clock.Second + clock.Millis(rng.IntN(10))*tick)
					for i, n := range s.order {
						n.alive = !test.silent(i, fleet.domains, rng)
					}
					s.version++
					s.runFor(fleet.limit)
					if count := s.outdated(); count > 0 {
						t.Errorf("seed %d: %d daemons do not have the version after %s", seed, count, fleet.limit)
					}
				}
			})
		}
	}
}
