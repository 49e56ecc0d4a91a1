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

// newFleetWithKey starts a fleet with the team everest and the key k1. It
// returns the fleet and the revision of the key.
func newFleetWithKey(t *testing.T, domains, perDomain int) (*fleet, uint64) {
	t.Helper()
	fl := newFleet(t, domains, perDomain)
	fl.start(fl.nodes...)
	fl.waitReady()
	fl.mustPropose(fl.nodes[0], "team", 0, team(1))
	outcome := fl.mustPropose(fl.nodes[0], "key", 0, key(false))
	fl.eventuallyOnAll("key admitted", (*node).admits)
	return fl, outcome.Sequence
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	fl := newFleet(t, 3, 3)
	fl.start(fl.nodes...)
	fl.waitReady()
	outcome := fl.mustPropose(fl.nodes[4], "r1", 0, team(1))
	if outcome.Sequence != 1 || outcome.Revisions["Team/everest"] != 1 {
		t.Errorf("got outcome %+v, want sequence and revision 1", outcome)
	}
	if len(outcome.Confirmed) != 9 || len(outcome.Unconfirmed) != 0 {
		t.Errorf("got confirmed %v and unconfirmed %v, want all 9 daemons confirmed", outcome.Confirmed, outcome.Unconfirmed)
	}
	fl.eventuallyOnAll("change applied", func(n *node) bool { return n.state.Sequence() == 1 })
	again := fl.mustPropose(fl.nodes[7], "r1", 0, team(1))
	if again.Sequence != 1 {
		t.Errorf("retry: got sequence %d, want 1", again.Sequence)
	}
	if _, err := fl.propose(fl.nodes[2], "r2", 0, team(2)); !errors.Is(err, ErrConflict) {
		t.Errorf("outdated revision: got error %v, want ErrConflict", err)
	}
}

// Every push is lost and most daemons do not read the store, so that changes
// reach them only through checks.
func TestLostPushesAreRepaired(t *testing.T) {
	fl := newFleet(t, 3, 5)
	fl.dropPushes = true
	fl.start(fl.nodes...)
	fl.waitReady()
	for i := range 20 {
		fl.mustPropose(fl.nodes[i%len(fl.nodes)], fmt.Sprint("r", i), uint64(i), team(i+1))
	}
	fl.eventuallyOnAll("all changes applied", func(n *node) bool { return n.state.Sequence() == 20 })
}

func TestDuplicatedAndReorderedPushes(t *testing.T) {
	fl := newFleet(t, 1, 2)
	fl.start(fl.nodes[0])
	fl.eventually("ready", func() bool { return fl.nodes[0].follower.Ready() == nil })
	for i := range 4 {
		fl.mustPropose(fl.nodes[0], fmt.Sprint("r", i), uint64(i), team(i+1))
	}
	changes, _ := fl.nodes[0].follower.recent.changesAfter(0)
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
			t.Errorf("sequence decreased from %d to %d", highest, sequence)
		}
		highest = sequence
	}
	if got, _ := target.state.Team("everest"); highest != 4 || got.Weight != 4 {
		t.Errorf("got sequence %d and weight %d, want 4 and 4", highest, got.Weight)
	}
}

func TestWithdrawalHoldsThroughStoreOutage(t *testing.T) {
	fl, revision := newFleetWithKey(t, 3, 3)
	fl.storeDown(true, fl.nodes...)
	if _, err := fl.propose(fl.nodes[1], "t2", 1, team(2)); !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown) {
		t.Errorf("ordinary change while the store is down: got error %v, want ErrUnavailable and not ErrUnknown", err)
	}
	outcome := fl.mustPropose(fl.nodes[1], "w1", revision, key(true))
	if !outcome.Pending || len(outcome.Confirmed) != 9 {
		t.Errorf("withdrawal while the store is down: got %+v, want it pending and confirmed by 9 daemons", outcome)
	}
	fl.eventuallyOnAll("key refused", (*node).refuses)
	// The daemon that accepted the withdrawal stops; another one writes it.
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
	fl.eventuallyOnAll("replacement refuses the key", (*node).refuses)
	for _, n := range fl.nodes {
		if len(n.state.DeniedKeys()) != 0 {
			t.Errorf("%s still denies %v ahead of the log, want none", n.id, n.state.DeniedKeys())
		}
	}
}

// One daemon cannot reach the store and reports a withdrawal as pending.
// Another daemon then changes the class of the key. The withdrawal must be
// written although the revision of the key no longer matches.
func TestReportedWithdrawalIsWrittenDespiteConflict(t *testing.T) {
	fl, revision := newFleetWithKey(t, 1, 3)
	fl.storeDown(true, fl.nodes[0])
	outcome := fl.mustPropose(fl.nodes[0], "w1", revision, key(true))
	if !outcome.Pending {
		t.Fatalf("got outcome %+v, want it pending", outcome)
	}
	changed := key(false)
	changed.Class = "quick"
	fl.mustPropose(fl.nodes[1], "c1", revision, changed)
	fl.storeDown(false, fl.nodes[0])
	fl.eventuallyOnAll("withdrawal written", func(n *node) bool {
		got, _ := n.state.Key("k1")
		return got.Withdrawn && n.follower.PendingWithdrawals() == 0
	})
	if _, err := fl.propose(fl.nodes[2], "back", fl.nodes[2].state.Revision(entity.KindKey, "k1"), key(false)); !errors.Is(err, ErrInvalid) {
		t.Errorf("readmitting a withdrawn key: got error %v, want ErrInvalid", err)
	}
}

func TestConflictingWithdrawalIsReverted(t *testing.T) {
	fl, revision := newFleetWithKey(t, 2, 2)
	if _, err := fl.propose(fl.nodes[3], "w1", revision+7, key(true)); !errors.Is(err, ErrConflict) {
		t.Fatalf("got error %v, want ErrConflict", err)
	}
	fl.eventuallyOnAll("key admitted again", func(n *node) bool { return n.admits() && n.follower.PendingWithdrawals() == 0 })
	// A Deny that arrives late and twice has no effect.
	for range 2 {
		if _, err := fl.nodes[0].follower.ServeDeny(t.Context(), "vm-01-01", Deny{Denials: []Denial{{Proposal: proposalOf(t, "w1", key(true))}}}); err != nil {
			t.Fatal(err)
		}
	}
	if !fl.nodes[0].admits() {
		t.Error("a late Deny of a refused withdrawal denied the key")
	}
}

// The store commits the withdrawal, but its reply is lost and the store goes
// down. The key must stay refused until a later read settles the withdrawal.
func TestWithdrawalWithLostAnswer(t *testing.T) {
	fl, revision := newFleetWithKey(t, 2, 2)
	acceptor := fl.nodes[0]
	acceptor.store.afterCommit = func(_ table.Txn, err error) error {
		fl.storeDown(true, fl.nodes...)
		return errors.Join(table.ErrUnknown, err)
	}
	outcome := fl.mustPropose(acceptor, "w1", revision, key(true))
	if !outcome.Pending {
		t.Errorf("got outcome %+v, want it pending", outcome)
	}
	fl.eventuallyOnAll("key refused", (*node).refuses)
	acceptor.store.mu.Lock()
	acceptor.store.afterCommit = nil
	acceptor.store.mu.Unlock()
	fl.storeDown(false, fl.nodes...)
	fl.eventuallyOnAll("settled", func(n *node) bool {
		return n.refuses() && n.follower.PendingWithdrawals() == 0 && n.state.Sequence() == revision+1
	})
	if again := fl.mustPropose(fl.nodes[2], "w1", revision, key(true)); again.Sequence != revision+1 || again.Pending {
		t.Errorf("retry: got %+v, want the sequence of the withdrawal and not pending", again)
	}
}

// All daemons, including the one that accepted the withdrawal, must refuse the
// key before the store answers.
func TestDenialDoesNotWaitForTheStore(t *testing.T) {
	fl, revision := newFleetWithKey(t, 2, 2)
	acceptor := fl.nodes[1]
	write := make(chan struct{})
	acceptor.store.mu.Lock()
	acceptor.store.beforeCommit = func() {
		if !acceptor.refuses() {
			t.Error("the accepting daemon wrote to the store before it denied the key")
		}
		<-write
	}
	acceptor.store.mu.Unlock()
	// The other daemons cannot read the log, so only the denial reaches them.
	fl.storeDown(true, fl.nodes[0], fl.nodes[2], fl.nodes[3])
	done := make(chan struct{})
	go func() {
		defer close(done)
		fl.mustPropose(acceptor, "w1", revision, key(true))
	}()
	fl.eventuallyOnAll("key refused", func(n *node) bool { return n.refuses() && n.follower.PendingWithdrawals() == 1 })
	close(write)
	<-done
	fl.eventuallyOnAll("settled", func(n *node) bool {
		return n.refuses() && n.state.Sequence() == revision+1 && n.follower.PendingWithdrawals() == 0
	})
}

// Once a daemon denies a key, it must not admit the key again before the
// withdrawal is applied.
func TestNoGapBetweenDenialAndWithdrawal(t *testing.T) {
	fl, revision := newFleetWithKey(t, 2, 2)
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
					t.Errorf("%s admitted the key after refusing it", n.id)
					return
				}
			}
		})
	}
	fl.mustPropose(fl.nodes[1], "w1", revision, key(true))
	fl.eventuallyOnAll("withdrawn", func(n *node) bool { return n.state.Sequence() == revision+1 && n.refuses() })
	close(stop)
	watching.Wait()
}

// A daemon is disconnected while a withdrawal is broadcast and the store is
// down. After it reconnects, its next check must deliver the withdrawal.
func TestDenialReachesADaemonThatComesBack(t *testing.T) {
	fl, revision := newFleetWithKey(t, 2, 3)
	isolated := fl.nodes[5]
	fl.isolate(isolated.id, true)
	fl.storeDown(true, fl.nodes...)
	outcome := fl.mustPropose(fl.nodes[0], "w1", revision, key(true))
	if len(outcome.Unconfirmed) != 1 || outcome.Unconfirmed[0] != isolated.id {
		t.Errorf("got unconfirmed %v, want only the disconnected daemon", outcome.Unconfirmed)
	}
	fl.eventually("disconnected daemon not ready", func() bool { return errors.Is(isolated.follower.Ready(), ErrIsolated) })
	fl.isolate(isolated.id, false)
	fl.eventually("denial has arrived", func() bool { return isolated.refuses() && isolated.follower.Ready() == nil })
}

// All daemons but one restart while the store is down. They must copy the state
// of the remaining one, including its pending withdrawals.
func TestRestartWhileStoreIsDown(t *testing.T) {
	fl, revision := newFleetWithKey(t, 2, 2)
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
			t.Errorf("Ready before the start: got %v, want ErrStarting", err)
		}
		fl.start(fresh)
	}
	fl.eventuallyOnAll("copied", func(n *node) bool { return n.state.Sequence() == revision && n.refuses() && n.follower.Ready() == nil })
}

func TestSnapshotsAreSavedAndLoaded(t *testing.T) {
	fl := newFleet(t, 2, 2)
	fl.start(fl.nodes...)
	fl.waitReady()
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

// Operators propose changes concurrently on all daemons while some commit
// replies are lost. All daemons must reach the same state, which includes each
// accepted change.
func TestConcurrentOperators(t *testing.T) {
	fl := newFleet(t, 2, 2)
	fl.start(fl.nodes...)
	fl.waitReady()
	var mu sync.Mutex
	accepted := uint64(0)
	var wg sync.WaitGroup
	for i, n := range fl.nodes {
		replyCount := 0
		n.store.mu.Lock()
		n.store.afterCommit = func(_ table.Txn, err error) error {
			mu.Lock()
			defer mu.Unlock()
			replyCount++
			if replyCount%3 == 0 {
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
	fl.eventuallyOnAll("same sequence", func(n *node) bool { return n.state.Sequence() == accepted })
	for _, n := range fl.nodes[1:] {
		if fmt.Sprint(n.state.Teams()) != fmt.Sprint(fl.nodes[0].state.Teams()) {
			t.Errorf("%s has teams %v, %s has %v, want equal", n.id, n.state.Teams(), fl.nodes[0].id, fl.nodes[0].state.Teams())
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

// TestReady uses a manual clock and starts no goroutines.
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
			t.Errorf("%s: Ready returned %v, want %v", what, err, want)
		}
	}
	check("no configuration", ErrStarting)
	if err := a.follower.check(ctx, fl.view[1]); !errors.Is(err, errPeerNotStarted) {
		t.Errorf("check with a peer without a configuration: got error %v, want errPeerNotStarted", err)
	}
	check("still no configuration", ErrStarting)
	for _, n := range fl.nodes {
		if err := n.follower.poll(ctx); err != nil {
			t.Fatal(err)
		}
	}
	check("store read", nil)
	manual.Advance(3 * clock.Second)
	check("freshness time at the limit", nil)
	manual.Advance(1)
	check("freshness time too old, no contact", ErrIsolated)

	// The freshness time of the peer is as old as that of this daemon: the
	// check advances the last contact but not the freshness time.
	if err := a.follower.check(ctx, fl.view[1]); err != nil {
		t.Fatal(err)
	}
	if age, _ := a.follower.Age(); age != 3001 {
		t.Errorf("age after a check with an equally old peer: got %d, want 3001", age)
	}
	check("store unreachable, peers reachable", nil)
	for _, m := range fl.view[2:] {
		fl.disconnected[pair(a.id, m.ID)] = true
	}
	check("half of the daemons unreachable", ErrMinority)

	// After a check, the age is the peer's age plus the time since the Check
	// was sent.
	if err := b.follower.poll(ctx); err != nil {
		t.Fatal(err)
	}
	manual.Advance(500)
	if err := a.follower.check(ctx, fl.view[1]); err != nil {
		t.Fatal(err)
	}
	if age, _ := a.follower.Age(); age != 500 {
		t.Errorf("got age %d, want 500", age)
	}
	check("fresh through a peer", nil)

	// After a pause of a minute, neither the freshness time nor the contact is
	// recent.
	manual.Advance(clock.Minute)
	check("after a pause", ErrIsolated)
}

// A check reply that takes a minute must not make the state look fresh.
func TestSlowReplyIsNotFresh(t *testing.T) {
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
	immediateCheck := peers.Check
	peers.Check = func(ctx context.Context, peer link.Peer, check Check) (CheckReply, error) {
		reply, err := immediateCheck(ctx, peer, check)
		manual.Advance(clock.Minute)
		return reply, err
	}
	a.follower.SetPeers(peers)
	if err := a.follower.check(t.Context(), fl.view[1]); err != nil {
		t.Fatal(err)
	}
	if age, _ := a.follower.Age(); age != clock.Minute {
		t.Errorf("got age %v, want 1m", age)
	}
	if err := a.follower.Ready(); !errors.Is(err, ErrIsolated) {
		t.Errorf("Ready returned %v, want ErrIsolated", err)
	}
}
