package roster_test

import (
	"context"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
)

type fixture struct {
	clock *clock.Manual
	*roster.Roster
	last []roster.Endpoint
}

// newFixture returns a Roster that has read entries with the given IDs, or one
// that has read no list if there are no IDs.
func newFixture(ids ...string) *fixture {
	f := &fixture{clock: clock.NewManual(1000)}
	f.Roster = roster.New(f.clock.Clock(), 2*clock.Second, func(list []roster.Endpoint) { f.last = list })
	var entries []roster.Endpoint
	for _, id := range ids {
		entries = append(entries, entry(id, 1))
	}
	if len(entries) > 0 {
		f.Replace(entries, at(1), f.clock.Now())
	}
	return f
}

// at returns the position of a revision.
func at(revision uint64) table.Position {
	return table.Position{Revision: revision}
}

func entry(id string, incarnation int64) roster.Endpoint {
	return roster.Endpoint{Endpoint: balance.Endpoint{ID: id, Backend: "books", Incarnation: incarnation}, Address: "127.0.0.1:1"}
}

// TestColdTimeIsKeptOverHeartbeats guards against a list that changes with each heartbeat of a
// cold endpoint, and against one that stays cold in the list.
func TestColdTimeIsKeptOverHeartbeats(t *testing.T) {
	f := newFixture("a")
	cold := func(left clock.Millis) roster.Endpoint {
		e := entry("a", 1)
		e.ColdFor = left
		return e
	}
	update := func(revision uint64, left clock.Millis) (changed bool) {
		f.last = nil
		f.Update([]roster.Endpoint{cold(left)}, nil, at(revision), f.clock.Now())
		return f.last != nil
	}
	if !update(2, 3*clock.Second) || f.last[0].ColdUntil != f.clock.Now()+3*clock.Second {
		t.Fatalf("got %+v, want the endpoint to be cold for 3 s", f.last)
	}
	f.clock.Advance(1200)
	if update(3, 1700) {
		t.Error("a heartbeat that states about the same time changed the list")
	}
	f.clock.Advance(2000)
	if update(4, 0) {
		t.Error("the end of the cold time changed the list")
	}
	if !update(5, 2*clock.Second) {
		t.Error("an endpoint that became cold again did not change the list")
	}
	if !update(6, 0) || f.last[0].ColdUntil != 0 {
		t.Errorf("got %+v, want an endpoint that has warmed up early", f.last)
	}
}

// loseA simulates an outage of the table after which only b has an entry.
func (f *fixture) loseA() {
	f.MarkTableUnavailable()
	f.clock.Advance(9 * clock.Second)
	f.Replace([]roster.Endpoint{entry("b", 1)}, at(2), f.clock.Now())
}

// pass advances the clock by d and confirms the list every 500 ms.
func (f *fixture) pass(d clock.Millis) {
	for range d / 500 {
		f.clock.Advance(500)
		f.Update(nil, nil, at(0), f.clock.Now())
	}
}

func (f *fixture) ids() string {
	ids := ""
	for _, e := range f.last {
		ids += e.ID
		if e.Leaving {
			ids += "(leaving)"
		}
		if e.Missing {
			ids += "(missing)"
		}
	}
	return ids
}

func (f *fixture) expect(t *testing.T, want string) {
	t.Helper()
	if got := f.ids(); got != want {
		t.Errorf("endpoints are %q, want %q", got, want)
	}
}

// TestRenewedEntriesAreNoNews guards against work for the whole list whenever an endpoint
// renews its entry.
func TestRenewedEntriesAreNoNews(t *testing.T) {
	f := newFixture("a", "b")
	f.last = nil
	f.Update([]roster.Endpoint{entry("a", 1)}, []string{"c"}, at(2), f.clock.Now())
	f.UpdateFromPeer([]roster.Endpoint{entry("b", 1)}, []string{"c"}, at(3))
	f.Replace([]roster.Endpoint{entry("a", 1), entry("b", 1)}, at(4), f.clock.Now())
	if f.last != nil {
		t.Errorf("the list %v was published though it has not changed", f.last)
	}
	if state := f.State(); state.Position != at(4) {
		t.Errorf("the position is %v, want revision 4", state.Position)
	}
}

func TestRemovedEntryIsRemovedAtOnce(t *testing.T) {
	f := newFixture("a", "b")
	f.pass(clock.Second)
	f.Update(nil, []string{"a"}, at(2), f.clock.Now())
	f.expect(t, "b")
}

func TestMissingEntryMayReturnAfterOutage(t *testing.T) {
	f := newFixture("a", "b")
	f.loseA()
	f.expect(t, "a(missing)b")
	f.pass(clock.Second)
	f.Update([]roster.Endpoint{entry("a", 1)}, nil, at(3), f.clock.Now())
	f.expect(t, "ab")
	f.pass(3 * clock.Second)
	f.expect(t, "ab")
}

// TestUnusableEntryIsNotMissing guards against requests for an endpoint whose entry another
// writer has replaced during an outage.
func TestUnusableEntryIsNotMissing(t *testing.T) {
	f := newFixture("a", "b")
	f.loseA()
	f.Drop([]string{"a", "c"}, at(2))
	f.expect(t, "b")
	f.UpdateFromPeer([]roster.Endpoint{entry("a", 1)}, nil, at(4))
	f.Drop([]string{"a"}, at(3))
	f.expect(t, "ab")
}

func TestMissingEntryIsRemovedAfterGracePeriod(t *testing.T) {
	f := newFixture("a", "b")
	f.loseA()
	f.pass(2500 * clock.Millisecond)
	f.expect(t, "b")
}

func TestOlderEntryDoesNotClearLeaving(t *testing.T) {
	f := newFixture("a")
	f.MarkLeaving("a", 1)
	f.expect(t, "a(leaving)")
	f.Update([]roster.Endpoint{entry("a", 1)}, nil, at(2), f.clock.Now())
	f.expect(t, "a(leaving)")
}

func TestLaterIncarnationReplacesEarlier(t *testing.T) {
	f := newFixture("a")
	f.MarkLeaving("a", 1)
	f.Update([]roster.Endpoint{entry("a", 2)}, nil, at(2), f.clock.Now())
	f.expect(t, "a")
	f.Update([]roster.Endpoint{entry("a", 1)}, nil, at(3), f.clock.Now())
	if f.last[0].Incarnation != 2 {
		t.Error("an entry of an earlier incarnation replaced that of a later one")
	}
}

func TestListOfOlderRevisionIsIgnored(t *testing.T) {
	f := newFixture()
	f.Replace([]roster.Endpoint{entry("a", 1)}, at(7), f.clock.Now())
	f.Replace([]roster.Endpoint{entry("b", 1)}, at(6), f.clock.Now())
	f.expect(t, "a")
}

// TestLongGapBetweenReadsIsNoOutage guards against keeping a removed entry as
// missing only because the table was not read for a while. Without a failed
// read there was no outage.
func TestLongGapBetweenReadsIsNoOutage(t *testing.T) {
	f := newFixture("a", "b")
	f.clock.Advance(4 * clock.Second)
	f.Update(nil, []string{"a"}, at(2), f.clock.Now())
	f.expect(t, "b")
}

func TestReplaceFromPeerDropsEntriesMissingThere(t *testing.T) {
	f := newFixture("a", "b")
	missing := entry("a", 1)
	missing.Missing = true
	f.ReplaceFromPeer([]roster.Endpoint{missing, entry("b", 1)}, at(2), f.clock.Now())
	f.expect(t, "b")
}

func TestPeerListDoesNotEndOutage(t *testing.T) {
	f := newFixture("a", "b")
	f.MarkTableUnavailable()
	f.clock.Advance(5 * clock.Second)
	f.ReplaceFromPeer([]roster.Endpoint{entry("a", 1), entry("b", 1)}, at(2), f.clock.Now())
	f.clock.Advance(clock.Second)
	f.Replace([]roster.Endpoint{entry("b", 1)}, at(3), f.clock.Now())
	f.expect(t, "a(missing)b")
}

// TestGracePeriodStartsWhenTheReadIsSent guards against keeping missing entries
// too long. The first read after an outage waits for a change, so its answer
// may arrive long after the table has recovered.
func TestGracePeriodStartsWhenTheReadIsSent(t *testing.T) {
	f := newFixture("a", "b")
	f.MarkTableUnavailable()
	f.clock.Advance(9 * clock.Second)
	sent := f.clock.Now()
	f.clock.Advance(1900)
	f.Update(nil, []string{"a"}, at(2), sent)
	f.clock.Advance(200)
	f.Update(nil, nil, at(2), f.clock.Now())
	f.expect(t, "b")
}

func TestRunRemovesExpiredMissingEntries(t *testing.T) {
	f := newFixture("a", "b")
	f.loseA()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	for range 24 {
		for f.clock.Sleepers() == 0 {
			time.Sleep(100 * time.Microsecond)
		}
		f.clock.Advance(100)
	}
	for f.clock.Sleepers() == 0 {
		time.Sleep(100 * time.Microsecond)
	}
	cancel()
	<-done
	f.expect(t, "b")
}

// TestPeerChangesRemoveEntries checks that a daemon that lost the table removes an
// entry that is missing here, or present, when a peer reports it removed in a later
// revision.
func TestPeerChangesRemoveEntries(t *testing.T) {
	f := newFixture("a", "b", "c")
	f.UpdateFromPeer(nil, []string{"c"}, at(2))
	f.expect(t, "ab")
	f.loseA()
	f.expect(t, "a(missing)b")
	f.UpdateFromPeer(nil, []string{"a"}, at(3))
	f.expect(t, "b")
}

// TestStalePeerChangesAreIgnored checks that a report of an earlier revision neither
// removes an entry that has returned since nor brings back one that is gone.
func TestStalePeerChangesAreIgnored(t *testing.T) {
	f := newFixture("a", "b")
	f.Update([]roster.Endpoint{entry("a", 2)}, []string{"b"}, at(9), f.clock.Now())
	f.UpdateFromPeer([]roster.Endpoint{entry("b", 1)}, []string{"a"}, at(8))
	f.expect(t, "a")
}

// TestReadThatIsBehindAPeerDoesNotUndoItsNews guards against an endpoint that is lost, or comes
// back, since a read of the table was under way while a peer told of a later change.
func TestReadThatIsBehindAPeerDoesNotUndoItsNews(t *testing.T) {
	f := newFixture("a", "b")
	f.UpdateFromPeer([]roster.Endpoint{entry("a", 1)}, []string{"b"}, at(9))
	f.Update([]roster.Endpoint{entry("b", 1)}, []string{"a"}, at(8), f.clock.Now())
	f.expect(t, "a")
	f.Update([]roster.Endpoint{entry("b", 1)}, []string{"a"}, at(9), f.clock.Now())
	f.expect(t, "b")
}

// TestReadThatIsBehindAPeerStillTellsOfLeaving guards against requests for an endpoint that
// leaves, since the peer's own read was behind as well.
func TestReadThatIsBehindAPeerStillTellsOfLeaving(t *testing.T) {
	f := newFixture("a")
	f.UpdateFromPeer([]roster.Endpoint{entry("a", 1)}, nil, at(9))
	leaving := entry("a", 1)
	leaving.Leaving = true
	f.Update([]roster.Endpoint{leaving}, nil, at(8), f.clock.Now())
	f.expect(t, "a(leaving)")
}

// TestLeavingAtAPeerCountsInAnyRevision guards against requests for an endpoint that is
// known to leave: a read that was behind may have brought this list to a later revision
// without the change.
func TestLeavingAtAPeerCountsInAnyRevision(t *testing.T) {
	f := newFixture("a", "b")
	f.Update(nil, nil, at(9), f.clock.Now())
	leaving, restarted := entry("a", 1), entry("b", 0)
	leaving.Leaving, restarted.Leaving = true, true
	f.UpdateFromPeer([]roster.Endpoint{leaving, restarted}, nil, at(8))
	f.expect(t, "a(leaving)b")
}

// TestEntryMissingAtAPeerIsNotBroughtBack checks that an entry that is missing at a peer
// after an outage there does not return to a list from which it was removed.
func TestEntryMissingAtAPeerIsNotBroughtBack(t *testing.T) {
	f := newFixture("b")
	missing := entry("a", 1)
	missing.Missing = true
	f.UpdateFromPeer([]roster.Endpoint{missing}, nil, at(2))
	f.expect(t, "b")
}

// TestEntryMissingAtAPeerExpires checks that a daemon that does not read the table
// keeps an entry as long as the peer that does, and drops it even if the peer's next
// report is lost.
func TestEntryMissingAtAPeerExpires(t *testing.T) {
	f := newFixture("a", "b")
	missing := entry("a", 1)
	missing.Missing = true
	f.UpdateFromPeer([]roster.Endpoint{missing}, nil, at(2))
	f.expect(t, "a(missing)b")
	f.pass(1500)
	f.expect(t, "a(missing)b")
	f.pass(1000)
	f.expect(t, "b")
}

func TestPeerChangesBeforeTheFirstListAreIgnored(t *testing.T) {
	f := newFixture()
	f.UpdateFromPeer([]roster.Endpoint{entry("a", 1)}, nil, at(2))
	if f.State().Known {
		t.Error("a part of a list counts as a list")
	}
}

// TestLeavingTimeCountsFromTheLastConfirmedList guards against a LeavesAt that
// is too late. An endpoint may have started to leave right after the list was
// last confirmed.
func TestLeavingTimeCountsFromTheLastConfirmedList(t *testing.T) {
	f := newFixture()
	first := f.clock.Now()
	f.Replace([]roster.Endpoint{entry("a", 1), entry("b", 1), entry("c", 1)}, at(1), first)
	f.clock.Advance(700)
	leaving := entry("a", 1)
	leaving.Leaving = true
	f.Update([]roster.Endpoint{leaving}, nil, at(2), f.clock.Now())
	f.clock.Advance(500)
	f.MarkLeaving("b", 1)
	f.Update([]roster.Endpoint{leaving}, nil, at(3), f.clock.Now())
	soon := entry("c", 1)
	soon.Leaving, soon.LeavesIn = true, clock.Second
	f.Update([]roster.Endpoint{soon}, nil, at(4), f.clock.Now())
	for i, want := range []clock.Millis{first + 2000, first + 2700, first + 2200} {
		if got := f.last[i].LeavesAt; got != want {
			t.Errorf("%s leaves at %v, want %v", f.last[i].ID, got, want)
		}
	}
}

// TestEndpointFirstSeenLeavingMayLeaveAtAnyTime checks that LeavesAt is 0 for an
// endpoint that was already leaving when first listed, since the start of its
// drain time is unknown.
func TestEndpointFirstSeenLeavingMayLeaveAtAnyTime(t *testing.T) {
	f := newFixture()
	leaving := entry("a", 1)
	leaving.Leaving, leaving.LeavesAt = true, 99000
	f.Replace([]roster.Endpoint{leaving}, at(1), f.clock.Now())
	if got := f.last[0].LeavesAt; got != 0 {
		t.Errorf("leaves at %v, want 0", got)
	}
}
