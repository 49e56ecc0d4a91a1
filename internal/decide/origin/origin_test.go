package origin_test

import (
	"fmt"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/decide/origin"
)

// endpoints returns endpoints of the back end books with these software versions.
func endpoints(versions ...string) (list []balance.Endpoint) {
	for _, version := range versions {
		list = append(list, balance.Endpoint{Backend: "books", SoftwareVersion: version})
	}
	return list
}

func stream(attempt, version string) origin.Stream {
	return origin.Stream{ID: origin.ID(attempt), Backend: "books", SoftwareVersion: version}
}

func TestVersionsAreMixedUntilNoStreamOfTheFirstCanBeTakenUp(t *testing.T) {
	b := origin.New()
	b.Watch(0, 0)
	b.Merge(0, nil, true)
	b.SetEndpoints(0, endpoints("1", "1"))
	b.SetEndpoints(10, endpoints("1"))
	if version, found := b.Sole(40*clock.Second, "books"); !found || version != "1" {
		t.Errorf("got sole version %q, want 1", version)
	}
	if mixed := b.SetEndpoints(50*clock.Second, endpoints("1", "2")); len(mixed) != 1 || mixed[0] != "books" {
		t.Errorf("back ends that became mixed: got %v, want books", mixed)
	}
	if mixed := b.SetEndpoints(51*clock.Second, endpoints("2")); len(mixed) != 0 {
		t.Errorf("back ends that became mixed: got %v, want none", mixed)
	}
	if !b.Mixed(80*clock.Second, "books") {
		t.Error("a stream of version 1 may still be taken up 29 s after it was last listed")
	}
	if version, found := b.Sole(82*clock.Second, "books"); !found || version != "2" {
		t.Errorf("got sole version %q, want 2", version)
	}
}

// TestVersionThatWasListedForLongIsRecentWhenItEnds guards against a version that counts
// from the time at which it was first listed.
func TestVersionThatWasListedForLongIsRecentWhenItEnds(t *testing.T) {
	b := origin.New()
	b.SetEndpoints(0, endpoints("1"))
	b.SetEndpoints(clock.Minute, endpoints("2"))
	if !b.Mixed(clock.Minute+29*clock.Second, "books") {
		t.Error("the versions are not mixed, though version 1 was listed until 29 s ago")
	}
}

func TestStreamsAreForgotten(t *testing.T) {
	b := origin.New()
	b.RecordOwn(0, stream("a", "1"))
	b.RecordOther(20*clock.Second, stream("b", "2"), 5*clock.Second)
	b.RecordOther(20*clock.Second, stream("c", "2"), 31*clock.Second)
	if version, known := b.Find(30*clock.Second, origin.ID("a")); !known || version != "1" {
		t.Errorf("got version %q, want 1", version)
	}
	for attempt, at := range map[string]clock.Millis{"a": 31 * clock.Second, "b": 46 * clock.Second, "c": 20 * clock.Second, "d": 0} {
		if version, known := b.Find(at, origin.ID(attempt)); known {
			t.Errorf("stream %s at %s: got version %q, want none", attempt, at, version)
		}
	}
}

// TestMemoryIsLimited checks that the oldest streams are forgotten first.
func TestMemoryIsLimited(t *testing.T) {
	const count = 200_000
	b := origin.New()
	for n := range count {
		b.RecordOther(0, stream(fmt.Sprint(n), "1"), 0)
	}
	if _, known := b.Find(0, origin.ID("0")); known {
		t.Error("the oldest stream is remembered")
	}
	if _, known := b.Find(0, origin.ID(fmt.Sprint(count-1))); !known {
		t.Error("the newest stream is forgotten")
	}
}

func TestOnlyOwnStreamsOfTheBackendAreToldToOthers(t *testing.T) {
	b := origin.New()
	b.RecordOwn(0, stream("a", "1"))
	b.RecordOther(0, stream("b", "1"), 0)
	b.RecordOwn(0, origin.Stream{ID: origin.ID("c"), Backend: "other", SoftwareVersion: "1"})
	streams, ages := b.Own(2*clock.Second, "books")
	if len(streams) != 1 || streams[0].ID != origin.ID("a") || ages[0] != 2*clock.Second {
		t.Errorf("got %v with ages %v, want a of 2 s", streams, ages)
	}
}

// TestVersionsOfTheTimeBeforeAreNotGuessed guards against a stream that goes on at the only
// version that a daemon has seen, though another one was in service before it watched.
func TestVersionsOfTheTimeBeforeAreNotGuessed(t *testing.T) {
	const start = clock.Minute
	for _, test := range []struct {
		name    string
		arrange func(b *origin.Book)
		// cutOff is set if no list is confirmed after the first one until at, and stoodStill is
		// how long none is confirmed before that.
		cutOff     bool
		stoodStill clock.Millis
		at         clock.Millis
		want       string
	}{
		{name: "just started", at: start, want: ""},
		{name: "watched for as long as a stream lasts", at: start + 31*clock.Second, want: "2"},
		{name: "nothing ran before", at: start, arrange: func(b *origin.Book) { b.Merge(start, nil, true) }, want: "2"},
		{name: "gap", cutOff: true, at: start + 31*clock.Second, want: ""},
		{name: "gap after nothing ran before", cutOff: true, at: start + 12*clock.Second, arrange: func(b *origin.Book) { b.Merge(start, nil, true) }, want: ""},
		{name: "stood still for a few seconds", stoodStill: 4 * clock.Second, at: start + 35*clock.Second, want: ""},
		{name: "usual time between two confirmations", stoodStill: 2 * clock.Second, at: start + 35*clock.Second, want: "2"},
		{name: "recorded alone", at: start, arrange: func(b *origin.Book) { b.Merge(start, origin.Versions{"books": {"2"}}, true) }, want: "2"},
		{name: "recorded with another", at: start, arrange: func(b *origin.Book) { b.Merge(start, origin.Versions{"books": {"1", "2"}}, true) }, want: ""},
		{name: "record of an earlier era", at: start, arrange: func(b *origin.Book) { b.Merge(start, origin.Versions{"books": {"2"}}, false) }, want: ""},
		{name: "recorded with another long ago", at: start + 31*clock.Second, arrange: func(b *origin.Book) { b.Merge(start, origin.Versions{"books": {"1", "2"}}, true) }, want: "2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := origin.New()
			b.SetEndpoints(start, endpoints("2"))
			b.Watch(start, start)
			if test.arrange != nil {
				test.arrange(b)
			}
			for now := start; now <= test.at-test.stoodStill && !test.cutOff; now += clock.Second {
				b.Watch(now, now)
			}
			b.Watch(test.at, test.at)
			if got, _ := b.Sole(test.at, "books"); got != test.want {
				t.Errorf("got sole version %q, want %q", got, test.want)
			}
		})
	}
}

// TestMergedVersionIsForgotten guards against a version that two daemons keep adding to the
// record for each other.
func TestMergedVersionIsForgotten(t *testing.T) {
	b := origin.New()
	b.SetEndpoints(0, endpoints("2"))
	record := origin.Versions{"books": {"1", "2"}}
	if mixed := b.Merge(0, record, true); len(mixed) != 1 {
		t.Errorf("back ends that became mixed: got %v, want books", mixed)
	}
	b.Merge(31*clock.Second, record, true)
	if got := b.Versions(31 * clock.Second); !got.Equal(origin.Versions{"books": {"2"}}) {
		t.Errorf("got versions %v, want 2 alone", got)
	}
}
