package fleet_test

import (
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

// listFetches returns how often a daemon took the list of endpoints from a peer.
func (d *daemon) listFetches() (count int) {
	for _, entry := range d.log.AllEntries() {
		if entry.Data["Event"] == 1522 {
			count++
		}
	}
	return count
}

func (d *daemon) knowsList() bool {
	return d.roster.State().Known
}

// startNextToPeers starts a daemon without a list of endpoints next to three that have one.
func startNextToPeers(t *testing.T) *daemon {
	rows := table.NewMemory().Client()
	var seeds []string
	for _, id := range []string{"a", "b", "c"} {
		peer := start(t, id, rows)
		peer.roster.Replace(engineList(), table.Position{Revision: 4}, clock.System().Now())
		seeds = append(seeds, peer.address)
	}
	return start(t, "d", rows, seeds...)
}

// TestFirstListIsLeftToTheStore guards against lists that all daemons send each other when
// they start together and each is reading the store.
func TestFirstListIsLeftToTheStore(t *testing.T) {
	t.Parallel()
	d := startNextToPeers(t)
	time.Sleep(time.Second)
	if fetches := d.listFetches(); fetches > 0 {
		t.Errorf("the list was taken from peers %d times within a second of the start", fetches)
	}
	eventually(t, "the list is taken from a peer when the read takes long", d.knowsList)
}

// TestListIsTakenFromOnePeer checks that a daemon that cannot read the store takes the
// list at once, and from one of the peers that have it.
func TestListIsTakenFromOnePeer(t *testing.T) {
	t.Parallel()
	d := startNextToPeers(t)
	d.storeDown.Store(true)
	eventually(t, "the list is known", d.knowsList)
	time.Sleep(time.Second)
	if fetches := d.listFetches(); fetches != 1 {
		t.Errorf("the list was taken from peers %d times, want once", fetches)
	}
}
