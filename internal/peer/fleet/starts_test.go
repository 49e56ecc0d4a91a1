package fleet_test

import (
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
)

// list makes the daemon know the endpoint i-1 in an incarnation, as of a time.
func (d *daemon) list(incarnation int64, version string, asOf clock.Millis) {
	list := []roster.Endpoint{{Endpoint: balance.Endpoint{ID: "i-1", Backend: "books", SoftwareVersion: version, Incarnation: incarnation}}}
	d.fleet.SetEndpoints(list)
	d.roster.Replace(list, table.Position{Revision: uint64(incarnation)}, asOf)
}

// startOf returns the start of a stream at the incarnation 1 of i-1.
func startOf(attempt string, openedAt clock.Millis) relay.StreamStart {
	return relay.StreamStart{RequestID: attempt, Backend: "books", Endpoint: "i-1", Incarnation: 1, SoftwareVersion: "1", OpenedAt: openedAt}
}

// TestStartIsProvedByALaterListOnly guards against a stream that counts as one of the version in the
// list, though the list may be older than the endpoint's last start.
func TestStartIsProvedByALaterListOnly(t *testing.T) {
	d := start(t, "a", table.NewMemory().Client())
	now := clock.System().Now()
	d.list(1, "1", now)
	for _, test := range []struct {
		name                string
		openedAt, openUntil clock.Millis
		want                relay.StartCheck
	}{
		{"long before the list", now - 5*clock.Second, now, relay.StartProved},
		{"just before the list", now - clock.Second, now, relay.StartUnproved},
		{"after the list", now + clock.Second, now + 5*clock.Second, relay.StartUnproved},
		{"broke off before it would have been listed", now - 5*clock.Second, now - 4*clock.Second, relay.StartUnproved},
	} {
		if got := d.fleet.CheckStart(startOf("a", test.openedAt), test.openUntil); got != test.want {
			t.Errorf("%s: got %d, want %d", test.name, got, test.want)
		}
	}
	if got := d.fleet.CheckStart(relay.StreamStart{Endpoint: "i-1"}, 0); got != relay.StartProved {
		t.Errorf("got %d for an endpoint that does not say when it started, want that it is believed", got)
	}
}

// TestStreamOfAnEndpointThatIsListedAnewIsDoubted guards against a stream that is taken up at the
// version which its endpoint had before it started again.
func TestStreamOfAnEndpointThatIsListedAnewIsDoubted(t *testing.T) {
	for _, test := range []struct {
		name     string
		version  string
		age      clock.Millis
		recorded bool
		want     string
	}{
		{"begun before the list says so", "2", clock.Second, true, ""},
		{"its first event comes after that", "2", clock.Second, false, ""},
		{"begun long before", "2", 20 * clock.Second, true, "1"},
		{"the same version", "1", clock.Second, true, "1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			rows := table.NewMemory().Client()
			d, other := start(t, "a", rows), start(t, "b", rows)
			eventually(t, "the daemons know each other", func() bool { return d.fleet.DaemonCount() == 2 && other.fleet.DaemonCount() == 2 })
			now := clock.System().Now()
			stream := startOf("s", now-test.age)
			d.list(1, "1", now)
			if test.recorded {
				d.fleet.RecordStream(stream)
			}
			d.list(2, test.version, now)
			if !test.recorded {
				d.fleet.RecordStream(stream)
			}
			if got := findStream(d, "s"); got != test.want {
				t.Errorf("got version %q, want %q", got, test.want)
			}
			if got, refuted := d.fleet.CheckStart(stream, now), test.want == ""; (got == relay.StartRefuted) != refuted {
				t.Errorf("got check %d, want that it is refuted: %t", got, refuted)
			}
			if test.want != "" {
				return
			}
			eventually(t, "the other daemon doubts it", func() bool {
				return other.fleet.FindStream(t.Context(), "s", "books").Source == d.fleet.FindStream(t.Context(), "s", "books").Source
			})
		})
	}
}

// TestDoubtReachesThoseThatWereToldOfTheStream guards against a stream that is taken up elsewhere at
// a version which the daemon that passed it on no longer believes.
func TestDoubtReachesThoseThatWereToldOfTheStream(t *testing.T) {
	fleet := startTree(t)
	setSoftware(fleet, "1", "2")
	begun := startOf("s", clock.System().Now())
	fleet["north-3"].fleet.RecordStream(begun)
	eventually(t, "the root is told", func() bool { return findStream(fleet["north-1"], "s") == "1" })
	fleet["north-3"].fleet.DoubtStart(begun)
	for _, asked := range []string{"north-1", "north-2", "south-3"} {
		eventually(t, asked+" refuses", func() bool { return !fleet[asked].fleet.FindStream(t.Context(), "s", "books").Known })
	}
}
