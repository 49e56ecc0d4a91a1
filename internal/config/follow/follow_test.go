package follow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/config/state"
	"github.com/banyanshift/banyanshift/internal/peer/link"
)

// withKey starts a fleet with the team everest and the key k1, and returns
// the revision of the key.
func withKey(t *testing.T, domains, perDomain int) (*fleet, uint64) {
	t.Helper()
	fl := newFleet(t, domains, perDomain)
	fl.start(fl.nodes...)
	fl.ready()
	fl.mustPropose(fl.nodes[0], "team", 0, team(1))
	outcome := fl.mustPropose(fl.nodes[0], "key", 0, key(false))
	fl.everywhere("key admitted", (*node).admits)
	return fl, outcome.Sequence
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	fl := newFleet(t, 3, 3)
	fl.start(fl.nodes...)
	fl.ready()
	outcome := fl.mustPropose(fl.nodes[4], "r1", 0, team(1))
	if outcome.Sequence != 1 || outcome.Revisions["Team/everest"] != 1 {
		t.Errorf("outcome is %+v", outcome)
	}
	if len(outcome.Confirmed) != 9 || len(outcome.Unconfirmed) != 0 {
		t.Errorf("confirmed by %v, not by %v", outcome.Confirmed, outcome.Unconfirmed)
	}
	fl.everywhere("change applied", func(n *node) bool { return n.state.Sequence() == 1 })
	again := fl.mustPropose(fl.nodes[7], "r1", 0, team(1))
	if again.Sequence != 1 {
		t.Errorf("retry gave change %d", again.Sequence)
	}
	if _, err := fl.propose(fl.nodes[2], "r2", 0, team(2)); !errors.Is(err, ErrConflict) {
		t.Errorf("old revision: %v", err)
	}
}

// Changes reach everybody though every push is lost and most daemons do not
// read the store.
func TestLostPushesAreRepaired(t *testing.T) {
	fl := newFleet(t, 3, 5)
	fl.losePushes = true
	fl.start(fl.nodes...)
	fl.ready()
	for i := range 20 {
		fl.mustPropose(fl.nodes[i%len(fl.nodes)], fmt.Sprint("r", i), uint64(i), team(i+1))
	}
	fl.everywhere("all changes applied", func(n *node) bool { return n.state.Sequence() == 20 })
}

func TestDuplicatedAndReorderedPushes(t *testing.T) {
	fl := newFleet(t, 1, 2)
	fl.start(fl.nodes[0])
	fl.eventually("ready", func() bool { return fl.nodes[0].follower.Ready() == nil })
	for i := range 4 {
		fl.mustPropose(fl.nodes[0], fmt.Sprint("r", i), uint64(i), team(i+1))
	}
	changes, _ := fl.nodes[0].follower.recent.after(0)
	target := fl.nodes[1]
	highest := uint64(0)
	for _, order := range [][]int{{2}, {1}, {0}, {0, 1}, {1}, {3}, {2, 3}, {0}, {3}} {
		var push Push
		for _, i := range order {
			push.Changes = append(push.Changes, changes[i])
		}
		if _, err := target.follower.ServePush(t.Context(), "vm-00-00", push); err != nil {
			t.Fatal(err)
		}
		sequence := target.state.Sequence()
		if sequence < highest {
			t.Errorf("went back from %d to %d", highest, sequence)
		}
		highest = sequence
	}
	if got, _ := target.state.Team("everest"); highest != 4 || got.Weight != 4 {
		t.Errorf("ends at %d with weight %d", highest, got.Weight)
	}
}

func TestWithdrawalHoldsThroughStoreOutage(t *testing.T) {
	fl, revision := withKey(t, 3, 3)
	fl.storeDown(true, fl.nodes...)
	if _, err := fl.propose(fl.nodes[1], "t2", 1, team(2)); !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown) {
		t.Errorf("ordinary change while the store is down: %v", err)
	}
	outcome := fl.mustPropose(fl.nodes[1], "w1", revision, key(true))
	if !outcome.Pending || len(outcome.Confirmed) != 9 {
		t.Errorf("withdrawal while the store is down: %+v", outcome)
	}
	fl.everywhere("key refused", (*node).refuses)
	// The daemon that took it is replaced; the others write it.
	fl.storeDown(true, fl.nodes[1])
	fl.stop(fl.nodes[1])
	fl.storeDown(false, fl.nodes...)
	others := append(append([]*node(nil), fl.nodes[0]), fl.nodes[2:]...)
	fl.eventually("withdrawal is in the log", func() bool {
		for _, n := range others {
			if n.state.Sequence() != revision+1 || n.follower.PendingWithdrawals() != 0 || !n.refuses() {
				return false
			}
		}
		return true
	})
	fl.replace(1)
	fl.everywhere("replacement refuses the key", (*node).refuses)
	for _, n := range fl.nodes {
		if len(n.state.DeniedKeys()) != 0 {
			t.Errorf("%s still denies %v ahead of the log", n.id, n.state.DeniedKeys())
		}
	}
}

// While the store is down the key's class is changed by somebody who still
// reaches it. The withdrawal, reported to be in force, is written nevertheless.
func TestReportedWithdrawalOutlivesAConflict(t *testing.T) {
	fl, revision := withKey(t, 1, 3)
	fl.storeDown(true, fl.nodes[0])
	outcome := fl.mustPropose(fl.nodes[0], "w1", revision, key(true))
	if !outcome.Pending {
		t.Fatalf("outcome is %+v", outcome)
	}
	changed := key(false)
	changed.Class = "quick"
	fl.mustPropose(fl.nodes[1], "c1", revision, changed)
	fl.storeDown(false, fl.nodes[0])
	fl.everywhere("withdrawal written", func(n *node) bool {
		got, _ := n.state.Key("k1")
		return got.Withdrawn && n.follower.PendingWithdrawals() == 0
	})
	if _, err := fl.propose(fl.nodes[2], "back", fl.nodes[2].state.Revision(entity.KindKey, "k1"), key(false)); !errors.Is(err, ErrInvalid) {
		t.Errorf("withdrawn key brought back: %v", err)
	}
}

func TestConflictingWithdrawalIsTakenBack(t *testing.T) {
	fl, revision := withKey(t, 2, 2)
	if _, err := fl.propose(fl.nodes[3], "w1", revision+7, key(true)); !errors.Is(err, ErrConflict) {
		t.Fatalf("got %v", err)
	}
	fl.everywhere("key admitted again", func(n *node) bool { return n.admits() && n.follower.PendingWithdrawals() == 0 })
	// A Deny that comes late, twice, changes nothing.
	for range 2 {
		if _, err := fl.nodes[0].follower.ServeDeny(t.Context(), "vm-01-01", Deny{Denials: []Denial{{Proposal: proposalOf(t, "w1", key(true))}}}); err != nil {
			t.Fatal(err)
		}
	}
	if !fl.nodes[0].admits() {
		t.Error("a late Deny of a refused withdrawal took hold")
	}
}

// The answer is lost after the withdrawal took effect, and the store goes
// down: the key stays refused throughout and is settled by a read.
func TestWithdrawalWithLostAnswer(t *testing.T) {
	fl, revision := withKey(t, 2, 2)
	taker := fl.nodes[0]
	taker.store.after = func(_ table.Txn, err error) error {
		fl.storeDown(true, fl.nodes...)
		return errors.Join(table.ErrUnknown, err)
	}
	outcome := fl.mustPropose(taker, "w1", revision, key(true))
	if !outcome.Pending {
		t.Errorf("outcome is %+v", outcome)
	}
	fl.everywhere("key refused", (*node).refuses)
	taker.store.mu.Lock()
	taker.store.after = nil
	taker.store.mu.Unlock()
	fl.storeDown(false, fl.nodes...)
	fl.everywhere("settled", func(n *node) bool {
		return n.refuses() && n.follower.PendingWithdrawals() == 0 && n.state.Sequence() == revision+1
	})
	if again := fl.mustPropose(fl.nodes[2], "w1", revision, key(true)); again.Sequence != revision+1 || again.Pending {
		t.Errorf("retry gave %+v", again)
	}
}

// The key is refused everywhere, also by the daemon that took the withdrawal,
// while the store has not answered yet.
func TestDenialDoesNotWaitForTheStore(t *testing.T) {
	fl, revision := withKey(t, 2, 2)
	taker := fl.nodes[1]
	answer := make(chan struct{})
	taker.store.mu.Lock()
	taker.store.after = func(_ table.Txn, err error) error {
		if !taker.refuses() {
			t.Error("the taker asked the store before it denied the key")
		}
		<-answer
		return err
	}
	taker.store.mu.Unlock()
	// The others do not see the log either: only the denial can reach them.
	fl.storeDown(true, fl.nodes[0], fl.nodes[2], fl.nodes[3])
	done := make(chan struct{})
	go func() {
		defer close(done)
		fl.mustPropose(taker, "w1", revision, key(true))
	}()
	fl.everywhere("key refused", func(n *node) bool { return n.refuses() && n.follower.PendingWithdrawals() == 1 })
	close(answer)
	<-done
	fl.everywhere("settled", func(n *node) bool {
		return n.refuses() && n.state.Sequence() == revision+1 && n.follower.PendingWithdrawals() == 0
	})
}

// A key is never admitted between its denial and its withdrawal.
func TestNoGapBetweenDenialAndWithdrawal(t *testing.T) {
	fl, revision := withKey(t, 2, 2)
	stop := make(chan struct{})
	var watching sync.WaitGroup
	for _, n := range fl.nodes {
		watching.Go(func() {
			refused := false
			for {
				select {
				case <-stop:
					return
				default:
				}
				if n.refuses() {
					refused = true
				} else if refused {
					t.Errorf("%s admitted the key after it was refused", n.id)
					return
				}
			}
		})
	}
	fl.mustPropose(fl.nodes[1], "w1", revision, key(true))
	fl.everywhere("withdrawn", func(n *node) bool { return n.state.Sequence() == revision+1 && n.refuses() })
	close(stop)
	watching.Wait()
}

// A withdrawal reaches a daemon that was cut off when it was pushed, while the
// store is down, by its next check.
func TestDenialReachesADaemonThatComesBack(t *testing.T) {
	fl, revision := withKey(t, 2, 3)
	late := fl.nodes[5]
	fl.isolate(late.id, true)
	fl.storeDown(true, fl.nodes...)
	outcome := fl.mustPropose(fl.nodes[0], "w1", revision, key(true))
	if len(outcome.Unconfirmed) != 1 || outcome.Unconfirmed[0] != late.id {
		t.Errorf("unconfirmed are %v", outcome.Unconfirmed)
	}
	fl.eventually("cut off daemon not ready", func() bool { return errors.Is(late.follower.Ready(), ErrIsolated) })
	fl.isolate(late.id, false)
	fl.eventually("denial has arrived", func() bool { return late.refuses() && late.follower.Ready() == nil })
}

// All daemons but one restart while the store is down; they copy the state of
// the one that is left, pending withdrawals included.
func TestRestartWhileStoreIsDown(t *testing.T) {
	fl, revision := withKey(t, 2, 2)
	fl.storeDown(true, fl.nodes...)
	fl.mustPropose(fl.nodes[0], "w1", revision, key(true))
	for i := 1; i < len(fl.nodes); i++ {
		fl.stop(fl.nodes[i])
	}
	for i := 1; i < len(fl.nodes); i++ {
		fresh := fl.newNode(fl.view[i])
		fresh.store.setDown(true)
		fl.mu.Lock()
		fl.nodes[i] = fresh
		fl.mu.Unlock()
		if err := fresh.follower.Ready(); !errors.Is(err, ErrStarting) {
			t.Errorf("before the start: %v", err)
		}
		fl.start(fresh)
	}
	fl.everywhere("copied", func(n *node) bool { return n.state.Sequence() == revision && n.refuses() && n.follower.Ready() == nil })
}

func TestSnapshotsAreSavedAndLoaded(t *testing.T) {
	fl := newFleet(t, 2, 2)
	fl.start(fl.nodes...)
	fl.ready()
	for i := range 12 {
		fl.mustPropose(fl.nodes[0], fmt.Sprint("r", i), uint64(i), team(i+1))
	}
	log := fl.nodes[0].follower.config.Log
	fl.eventually("snapshot saved", func() bool {
		sequence, err := log.SnapshotSequence(context.Background())
		return err == nil && sequence >= 5
	})
	fl.replace(3)
	fl.eventually("loaded", func() bool {
		got, _ := fl.nodes[3].state.Team("everest")
		return got.Weight == 12 && fl.nodes[3].follower.Ready() == nil
	})
}

// Operators race on all daemons while answers are lost; afterwards all daemons
// hold the same state and each accepted change is in it.
func TestRacingOperators(t *testing.T) {
	fl := newFleet(t, 2, 2)
	fl.start(fl.nodes...)
	fl.ready()
	var mu sync.Mutex
	accepted := uint64(0)
	var wg sync.WaitGroup
	for i, n := range fl.nodes {
		lose := 0
		n.store.mu.Lock()
		n.store.after = func(_ table.Txn, err error) error {
			mu.Lock()
			defer mu.Unlock()
			lose++
			if lose%3 == 0 {
				return table.ErrUnknown
			}
			return err
		}
		n.store.mu.Unlock()
		wg.Go(func() {
			for round := range 8 {
				named := team(round + 1)
				named.Name = fmt.Sprint("team-", round%3)
				_, err := fl.propose(n, fmt.Sprintf("r%d-%d", i, round), n.state.Revision(entity.KindTeam, named.Name), named)
				mu.Lock()
				if err == nil {
					accepted++
				} else if !errors.Is(err, ErrConflict) {
					t.Error(err)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	fl.everywhere("same sequence", func(n *node) bool { return n.state.Sequence() == accepted })
	for _, n := range fl.nodes[1:] {
		if fmt.Sprint(n.state.Teams()) != fmt.Sprint(fl.nodes[0].state.Teams()) {
			t.Errorf("%s holds %v, %s holds %v", n.id, n.state.Teams(), fl.nodes[0].id, fl.nodes[0].state.Teams())
		}
	}
}

func proposalOf(t *testing.T, requestID string, e any) Proposal {
	t.Helper()
	write, err := state.PutWrite(e)
	if err != nil {
		t.Fatal(err)
	}
	return Proposal{Actor: "ada", RequestID: requestID, Writes: []changelog.Write{write}}
}

// Readiness, driven by a manual clock: no goroutine runs here.
func TestReady(t *testing.T) {
	manual := clock.NewManual(1000)
	fl := newFleet(t, 2, 2)
	fl.clock = manual.Clock()
	fl.timing = DefaultTiming()
	for i := range fl.nodes {
		fl.nodes[i] = fl.newNode(fl.view[i])
		fl.nodes[i].cancel = func() {}
	}
	ctx := t.Context()
	a, b := fl.nodes[0], fl.nodes[1]
	check := func(what string, want error) {
		t.Helper()
		if err := a.follower.Ready(); !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", what, err, want)
		}
	}
	check("nothing known", ErrStarting)
	if err := a.follower.check(ctx, fl.view[1]); !errors.Is(err, errPeerNotStarted) {
		t.Errorf("check with a daemon that knows nothing: %v", err)
	}
	check("still nothing known", ErrStarting)
	for _, n := range fl.nodes {
		if err := n.follower.poll(ctx); err != nil {
			t.Fatal(err)
		}
	}
	check("store read", nil)
	manual.Advance(3 * clock.Second)
	check("evidence at the bound", nil)
	manual.Advance(1)
	check("evidence too old, no contact", ErrIsolated)

	// The peer's evidence is as old as our own: contact counts, freshness not.
	if err := a.follower.check(ctx, fl.view[1]); err != nil {
		t.Fatal(err)
	}
	if age, _ := a.follower.Age(); age != 3001 {
		t.Errorf("age is %d after hearing of old evidence, want 3001", age)
	}
	check("store lost by all, peers reached", nil)
	for _, m := range fl.view[2:] {
		fl.cut[pair(a.id, m.ID)] = true
	}
	check("half of the daemons out of reach", ErrMinority)

	// Evidence through a peer has the peer's age and what the check took.
	if err := b.follower.poll(ctx); err != nil {
		t.Fatal(err)
	}
	manual.Advance(500)
	if err := a.follower.check(ctx, fl.view[1]); err != nil {
		t.Fatal(err)
	}
	if age, _ := a.follower.Age(); age != 500 {
		t.Errorf("age is %d, want 500", age)
	}
	check("fresh evidence through a peer", nil)

	// A pause of a minute makes everything old.
	manual.Advance(clock.Minute)
	check("after a pause", ErrIsolated)
}

// An answer that was under way for a minute is not taken for fresh.
func TestSlowAnswerIsOldEvidence(t *testing.T) {
	manual := clock.NewManual(0)
	fl := newFleet(t, 1, 2)
	fl.clock = manual.Clock()
	fl.timing = DefaultTiming()
	for i := range fl.nodes {
		fl.nodes[i] = fl.newNode(fl.view[i])
		fl.nodes[i].cancel = func() {}
	}
	a, b := fl.nodes[0], fl.nodes[1]
	if err := b.follower.poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	peers := fl.peersOf(a.id)
	prompt := peers.Check
	peers.Check = func(ctx context.Context, peer link.Peer, check Check) (CheckReply, error) {
		reply, err := prompt(ctx, peer, check)
		manual.Advance(clock.Minute)
		return reply, err
	}
	a.follower.SetPeers(peers)
	if err := a.follower.check(t.Context(), fl.view[1]); err != nil {
		t.Fatal(err)
	}
	if age, _ := a.follower.Age(); age != clock.Minute {
		t.Errorf("age is %v, want 1m", age)
	}
	if err := a.follower.Ready(); !errors.Is(err, ErrIsolated) {
		t.Errorf("ready: %v", err)
	}
}
