package path_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/path"
)

// newPeers returns peers in three failure domains.
func newPeers(count int) (peers []path.Peer) {
	for n := range count {
		peers = append(peers, path.Peer{Address: fmt.Sprint("peer-", n), FailureDomain: fmt.Sprint("domain-", n%3)})
	}
	return peers
}

func TestPathBreaksOnAPeersEvidenceAndHealsOnItsOwn(t *testing.T) {
	table := path.New()
	if way := table.Way("e"); way != path.Direct {
		t.Fatalf("got way %v to a new endpoint, want direct", way)
	}
	if !table.RecordPeerReached(1000, "e") || table.RecordPeerReached(1001, "e") {
		t.Error("the path must break once")
	}
	if way := table.Way("e"); way != path.ThroughPeer {
		t.Errorf("got way %v after a peer reached the endpoint, want through a peer", way)
	}
	if way := table.Way("other"); way != path.Direct {
		t.Errorf("got way %v to another endpoint, want direct", way)
	}
	after, healed := table.RecordHeard(3500, "e")
	if !healed || after != 2500 {
		t.Errorf("got healed %v after %v, want after 2.5 s", healed, after)
	}
	if way := table.Way("e"); way != path.Direct {
		t.Errorf("got way %v after the endpoint was heard from, want direct", way)
	}
}

func TestEndpointThatNoPeerReachesIsTriedDirectly(t *testing.T) {
	table := path.New()
	table.RecordPeerReached(0, "e")
	table.RecordNoWay("e")
	if way := table.Way("e"); way != path.Direct {
		t.Errorf("got way %v, want direct", way)
	}
}

func TestProbesOfABrokenPathAreFew(t *testing.T) {
	const (
		minute    = 60
		maxProbes = 35
	)
	table := path.New()
	table.RecordPeerReached(0, "e")
	probes := 0
	for now := range minute * clock.Second {
		if table.TakeProbe(now, "e") {
			probes++
		}
	}
	if probes > maxProbes || probes < minute/3 {
		t.Errorf("got %d probes in a minute with a request each millisecond, want %d to %d", probes, minute/3, maxProbes)
	}
	if table.TakeProbe(0, "intact") {
		t.Error("an intact path is probed")
	}
}

func TestOtherConnectionsAreInDoubtAfterABreak(t *testing.T) {
	table := path.New()
	table.RecordHeard(0, "e")
	if table.IsDoubtful(2000, "e") {
		t.Error("a path is in doubt though none has broken")
	}
	table.RecordPeerReached(2000, "other")
	if !table.IsDoubtful(2100, "e") {
		t.Error("a path from which nothing was heard is not in doubt")
	}
	table.RecordHeard(2150, "e")
	if table.IsDoubtful(2200, "e") {
		t.Error("a path from which the daemon has just heard is in doubt")
	}
	if table.IsDoubtful(9000, "e") {
		t.Error("a path is in doubt long after the last one has broken")
	}
}

// TestMostRequestsFindAPeerThatReachesTheEndpointAtOnce plays a daemon of which most peers
// are cut off like itself.
func TestMostRequestsFindAPeerThatReachesTheEndpointAtOnce(t *testing.T) {
	const requests = 400
	for _, test := range []struct {
		name string
		// reaching lists the peers that reach the endpoint, and sharing those of them that
		// must share the requests.
		reaching, sharing []int
	}{
		{"NearPeersShareAndFarOnesAreLeftOut", []int{5, 6, 7}, []int{6, 7}},
		{"FarPeersAreUsedIfNearOnesAreCutOff", []int{2, 5}, []int{2, 5}},
	} {
		t.Run(test.name, func(t *testing.T) {
			first, unserved, through := playRequests(requests, test.reaching)
			if unserved > 2 || first < requests*9/10 {
				t.Errorf("%d of %d requests found a peer at once, and %d none", first, requests, unserved)
			}
			for _, n := range test.sharing {
				if got := through[fmt.Sprint("peer-", n)]; got < requests/10 {
					t.Errorf("%d of %d requests went through peer %d: %v", got, requests, n, through)
				}
			}
		})
	}
}

// playRequests plays requests to an endpoint in domain-1 of a daemon in domain-0, of whose
// eight peers only some reach the endpoint. It returns how many requests found a peer at the
// first question, how many found none, and how many went through each peer.
func playRequests(requests int, reaching []int) (first, unserved int, through map[string]int) {
	const interval = 20 * clock.Millisecond
	table := path.New()
	rng := rand.New(rand.NewPCG(7, 7))
	reaches := make(map[string]bool)
	for _, n := range reaching {
		reaches[fmt.Sprint("peer-", n)] = true
	}
	through = make(map[string]int)
	for n := range requests {
		now := clock.Millis(n) * interval
		chosen := table.Choose(now, newPeers(8), []string{"domain-0", "domain-1"}, rng.Float64)
		asked := askPeers(table, now, chosen, reaches)
		switch {
		case asked == len(chosen):
			unserved++
			continue
		case asked == 0:
			first++
		}
		through[chosen[asked].Address]++
	}
	return first, unserved, through
}

// askPeers asks peers in order and returns the index of the first one that reaches the
// endpoint, or the number of peers.
func askPeers(table *path.Table, now clock.Millis, peers []path.Peer, reaches map[string]bool) int {
	for i, peer := range peers {
		if reaches[peer.Address] {
			table.RecordForwardBegun(now, peer.Address)
			table.RecordForwardEnded(now, peer.Address)
			return i
		}
		table.RecordPeerFailed(now, peer.Address)
	}
	return len(peers)
}

func TestOpenRequestsSpreadOverPeers(t *testing.T) {
	const requests = 60
	table := path.New()
	rng := rand.New(rand.NewPCG(3, 3))
	peers := newPeers(6)
	through := make(map[string]int)
	for range requests {
		peer := table.Choose(0, peers, []string{"domain-0", "domain-1", "domain-2"}, rng.Float64)[0]
		table.RecordForwardBegun(0, peer.Address)
		through[peer.Address]++
	}
	for _, peer := range peers {
		if got := through[peer.Address]; got < requests/len(peers)/2 || got > requests/len(peers)*2 {
			t.Errorf("got %d open requests through %s, want about %d: %v", got, peer.Address, requests/len(peers), through)
		}
	}
}

// BenchmarkChoose measures the choice of peers at the size to which a daemon's view of a
// fleet of 370 daemons is limited.
func BenchmarkChoose(b *testing.B) {
	table := path.New()
	rng := rand.New(rand.NewPCG(1, 1))
	peers := newPeers(130)
	for b.Loop() {
		table.Choose(0, peers, []string{"domain-0"}, rng.Float64)
	}
}
