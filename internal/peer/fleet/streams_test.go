package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
)

// softwareList returns endpoints of the back end books with these software versions.
func softwareList(versions ...string) (list []roster.Endpoint) {
	for _, version := range versions {
		list = append(list, roster.Endpoint{Endpoint: balance.Endpoint{ID: "i-" + version, Backend: "books", SoftwareVersion: version}})
	}
	return list
}

// setSoftware makes all daemons know endpoints with these software versions.
func setSoftware(fleet map[string]*daemon, versions ...string) {
	for _, d := range fleet {
		d.roster.Replace(softwareList(versions...), table.Position{Revision: uint64(len(versions))}, clock.System().Now())
		d.fleet.SetEndpoints(softwareList(versions...))
	}
}

// findStream returns the version that began a stream, "" if it is not known.
func findStream(d *daemon, attempt string) string {
	return d.fleet.FindStream(context.Background(), attempt, "books").Software.Version
}

// TestStreamOriginIsKnownAfterTheLossOfDaemons ends the daemon that began a stream, with
// its root or its whole failure domain, and asks another one.
func TestStreamOriginIsKnownAfterTheLossOfDaemons(t *testing.T) {
	for _, test := range []struct {
		name   string
		begins string
		lost   []string
		asked  string
	}{
		{"a follower", "north-3", []string{"north-3"}, "north-2"},
		{"a root", "north-1", []string{"north-1"}, "north-3"},
		{"a follower and its root", "north-2", []string{"north-1", "north-2"}, "north-3"},
		{"a domain", "north-3", []string{"north-1", "north-2", "north-3"}, "south-3"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fleet := startTree(t)
			setSoftware(fleet, "1")
			fleet[test.begins].fleet.RecordStream(relay.StreamStart{RequestID: "early", Backend: "books", SoftwareVersion: "1"})
			setSoftware(fleet, "1", "2")
			fleet[test.begins].fleet.RecordStream(relay.StreamStart{RequestID: "late", Backend: "books", SoftwareVersion: "2"})
			time.Sleep(200 * time.Millisecond) // The daemons tell each other.
			for _, id := range test.lost {
				fleet[id].stop()
			}
			for attempt, want := range map[string]string{"early": "1", "late": "2", "never": ""} {
				if got := findStream(fleet[test.asked], attempt); got != want {
					t.Errorf("stream %s: got version %q, want %q", attempt, got, want)
				}
			}
		})
	}
}

// TestStreamsAreNotToldWhileThereIsOneVersion checks that a stream whose origin nobody
// was told goes on at the only version, as long as the list of endpoints is up to date and
// no other version can have been in service before the daemon started.
func TestStreamsAreNotToldWhileThereIsOneVersion(t *testing.T) {
	known := table.NewMemory().Client()
	first := startWith(t, environment{clock: clock.System(), firstStart: true}, "a", known)
	setSoftware(map[string]*daemon{"a": first}, "1")
	if got := findStream(first, "other"); got != "1" {
		t.Errorf("at the first start: got version %q, want 1", got)
	}
	eventually(t, "the version is in the table", func() bool {
		row, err := known.Get(t.Context(), "Software/Versions")
		return err == nil && row.Version > 0
	})
	away := table.NewMemory()
	away.SetFault(table.Fault{Down: true})
	for _, test := range []struct {
		name, version string
		rows          table.Client
		age           clock.Millis
		want          string
	}{
		{name: "recorded", version: "1", rows: known, want: "1"},
		{name: "recorded, outdated list", version: "1", rows: known, age: 10 * clock.Second},
		{name: "another one recorded", version: "2", rows: known},
		{name: "nothing recorded", version: "1", rows: table.NewMemory().Client()},
		{name: "table away", version: "1", rows: away.Client()},
		{name: "recorded in an earlier era", version: "1", rows: inEra(known, 2)},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := start(t, test.name, test.rows)
			d.roster.Replace(softwareList(test.version), table.Position{Revision: 1}, clock.System().Now()-test.age)
			d.fleet.SetEndpoints(softwareList(test.version))
			if got := findStream(d, "other"); got != test.want {
				t.Errorf("got version %q, want %q", got, test.want)
			}
		})
	}
}

// inEra returns a client of a table that has come back from a copy.
func inEra(rows table.Client, era uint64) table.Client {
	get := rows.Get
	rows.Get = func(ctx context.Context, key string) (table.Row, error) {
		row, err := get(ctx, key)
		row.Era = era
		return row, err
	}
	return rows
}

func TestStreamIsNotTakenUpAtTheOnlyVersionOfAnOutdatedList(t *testing.T) {
	for _, asked := range []string{"north-2", "south-1", "south-3"} {
		t.Run(asked, func(t *testing.T) {
			t.Parallel()
			fleet := startTreeWith(t, environment{clock: clock.System(), firstStart: true})
			setSoftware(fleet, "1")
			if got := findStream(fleet[asked], "other"); got != "1" {
				t.Fatalf("got version %q while there is one only, want 1", got)
			}
			setSoftware(map[string]*daemon{"north-3": fleet["north-3"]}, "1", "2")
			fleet["north-3"].fleet.RecordStream(relay.StreamStart{RequestID: "late", Backend: "books", SoftwareVersion: "2"})
			time.Sleep(200 * time.Millisecond) // The daemons tell each other.
			if got := findStream(fleet[asked], "late"); got != "2" {
				t.Errorf("got version %q, want 2", got)
			}
		})
	}
}

// TestSoftwareVersionIsNotGuessedWhileNobodyAnswers guards against a daemon that is cut off and
// takes the only version of an old list for the one that began a stream.
func TestSoftwareVersionIsNotGuessedWhileNobodyAnswers(t *testing.T) {
	t.Parallel()
	known := table.NewMemory().Client()
	first := startWith(t, environment{clock: clock.System(), firstStart: true}, "north-1", known)
	asked := start(t, "south-1", known)
	eventually(t, "the daemons know each other", func() bool { return first.fleet.DaemonCount() == 2 && asked.fleet.DaemonCount() == 2 })
	eventually(t, "the only version is believed", func() bool {
		setSoftware(map[string]*daemon{"north-1": first, "south-1": asked}, "1") // Lists become old.
		return findStream(asked, "unknown") == "1"
	})
	first.stop()
	if got := findStream(asked, "unknown"); got != "" {
		t.Errorf("got version %q while nobody answers, want none", got)
	}
}
