package topology_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/document"
)

// storeWait is how long a call to the store waits for a new version.
const storeWait = clock.Second

// storedDocument is the configuration in the store, which is in an era.
type storedDocument struct {
	index *document.Index
	raw   []byte
	era   uint64
}

func (s storedDocument) identity() document.Identity {
	return document.IdentityOf(s.index, s.raw)
}

// write writes a version of the configuration.
func (s *simulation) write(version int64, content string) {
	s.store.index, s.store.raw = document.NewIndex(document.Document{Version: version}), []byte(content)
}

// restore brings the store back from a copy.
func (s *simulation) restore(backup storedDocument) {
	backup.era = s.store.era + 1
	s.store = backup
}

// followStore reads the configuration in the store if the daemon is to follow it.
func (s *simulation) followStore(n *node) {
	held, confirmed, _ := n.document.Identity()
	changed := held != s.store.identity() || confirmed.Era != s.store.era
	if n.view.FollowsStore(s.now, confirmed.AsOf) && (changed || s.now-n.readAt >= storeWait) {
		n.readAt = s.now
		s.reads++
		s.take(n, s.store.index, s.store.raw, document.Reading{Era: s.store.era, AsOf: s.now})
	}
}

// syncDocument takes over what a peer says of its configuration.
func (s *simulation) syncDocument(n, peer *node) {
	identity, confirmed, known := peer.document.Identity()
	if known && n.document.Confirm(identity, confirmed) {
		index, _ := peer.document.Current()
		raw, _, _ := peer.document.Encoded()
		s.take(n, index, raw, confirmed)
	}
}

// take offers a configuration to a daemon. If that takes it over, the daemons that follow
// it are told at once.
func (s *simulation) take(n *node, index *document.Index, raw []byte, reading document.Reading) {
	if !n.document.Update(index, raw, reading) {
		return
	}
	for _, address := range n.view.Subscribers() {
		if subscriber := s.nodes[address]; subscriber.alive {
			subscriber.nextAt[n.vm.Address] = s.now
		}
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

// outdated returns the number of living daemons that do not hold what is in the store.
func (s *simulation) outdated() (count int) {
	for _, n := range s.order {
		if held, _, _ := n.document.Identity(); n.alive && held != s.store.identity() {
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
					s.write(2, "second")
					s.runFor(fleet.limit)
					if count := s.outdated(); count > 0 {
						t.Errorf("seed %d: %d daemons do not have the version after %s", seed, count, fleet.limit)
					}
				}
			})
		}
	}
}

// TestVersionIsKnownInTimeAfterARestore brings the store back without the last version. No
// daemon goes back to the one before, and all have what is written then in time. Only few
// read the store.
func TestVersionIsKnownInTimeAfterARestore(t *testing.T) {
	const (
		rewriteDelay = 1500 * clock.Millisecond
		// maxReads is far below half of the calls that a store allows in a second.
		maxReads = 100
	)
	for _, fleet := range []struct {
		size, domains int
		limit         clock.Millis
	}{{30, 5, 2 * clock.Second}, {100, 5, 3 * clock.Second}, {370, 14, 4 * clock.Second}} {
		t.Run(fmt.Sprintf("%d daemons", fleet.size), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(fleet.size, fleet.domains)
			s.mustSettle(t, maxStartTime)
			s.runFor(2 * clock.Second)
			backup := s.store
			s.write(2, "lost")
			s.runFor(fleet.limit)
			if count := s.outdated(); count > 0 {
				t.Fatalf("%d daemons do not have the version that is to be lost", count)
			}
			s.restore(backup)
			s.reads = 0
			for range rewriteDelay / tick {
				s.runFor(tick)
				for _, n := range s.order {
					if index, _ := n.document.Current(); index.Version() != 2 {
						t.Fatalf("%s went back to version %d", n.vm.ID, index.Version())
					}
				}
			}
			if s.reads > maxReads {
				t.Errorf("%d reads of the store within %s, want at most %d", s.reads, rewriteDelay, maxReads)
			}
			s.write(2, "written again, otherwise")
			s.runFor(fleet.limit)
			if count := s.outdated(); count > 0 {
				t.Errorf("%d daemons do not have the version after %s", count, fleet.limit)
			}
		})
	}
}
