package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
)

func endpoints(n int) []entity.Endpoint {
	list := make([]entity.Endpoint, n)
	for i := range list {
		list[i] = entity.Endpoint{
			ID: fmt.Sprintf("e%02d", i), Backend: "pool", Incarnation: "1",
			FailureDomain: fmt.Sprintf("d%d", i%3),
		}
	}
	return list
}

func slots(n int) func(entity.Endpoint) int {
	return func(entity.Endpoint) int { return n }
}

func newCell(t *testing.T, config Config, replicas, perReplica int) *Cell {
	t.Helper()
	c := New(config, rand.New(rand.NewPCG(1, 2)))
	c.SetEndpoints(0, endpoints(replicas), slots(perReplica))
	return c
}

func ask(id, team string, tier int) RunRequest {
	return RunRequest{
		ID: id, Entry: "d1", Team: team, Class: fmt.Sprintf("tier%d", tier), Tier: tier, Weight: 1,
		PromptTokens: 100, Target: 800, MaxWait: 30 * clock.Second, Repeatable: true,
	}
}

func kinds(actions []Action, kind ActionKind) []string {
	var ids []string
	for _, a := range actions {
		if a.Kind == kind {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

func TestGrantsUpToSlotsThenInTierOrder(t *testing.T) {
	c := newCell(t, Config{NoPreemption: true}, 1, 1)
	if got := kinds(c.Submit(0, ask("a", "t1", 2)), Grant); len(got) != 1 {
		t.Fatalf("first ask: grants %v, want one", got)
	}
	if got := c.Submit(1, ask("b", "t1", 2)); len(got) != 0 {
		t.Fatalf("second ask: actions %v, want none while the slot is taken", got)
	}
	c.Submit(2, ask("c", "t2", 0))
	if got := kinds(c.Release(3, "a", Outcome{OutputTokens: 5}), Grant); len(got) != 1 || got[0] != "c" {
		t.Fatalf("after release: grants %v, want c of the top tier", got)
	}
}

func TestCancelFreesPlace(t *testing.T) {
	c := newCell(t, Config{}, 1, 1)
	c.Submit(0, ask("a", "t1", 0))
	c.Submit(0, ask("b", "t1", 0))
	c.Submit(0, ask("c", "t1", 0))
	c.Cancel(1, "b")
	if got := kinds(c.Cancel(2, "a"), Grant); len(got) != 1 || got[0] != "c" {
		t.Fatalf("grants %v, want c at once", got)
	}
}

func TestPreemptsLowerTierOnly(t *testing.T) {
	c := newCell(t, Config{}, 2, 2)
	for i := range 4 {
		c.Submit(0, ask(fmt.Sprintf("low%d", i), "t1", 3))
	}
	c.Submit(0, ask("top", "t2", 0))
	preempted := kinds(c.Tick(600), Preempt)
	if len(preempted) != 1 {
		t.Fatalf("preempted %v, want one", preempted)
	}
	if got := kinds(c.Release(610, preempted[0], Outcome{Preempted: true}), Grant); len(got) != 1 || got[0] != "top" {
		t.Fatalf("grants %v, want top", got)
	}
	same := newCell(t, Config{}, 1, 1)
	same.Submit(0, ask("x", "t1", 1))
	same.Submit(0, ask("y", "t2", 1))
	if got := kinds(same.Tick(5000), Preempt); len(got) != 0 {
		t.Fatalf("preempted %v for the same tier", got)
	}
}

func TestNeverPreemptsWorkThatMayNotBeRepeated(t *testing.T) {
	c := newCell(t, Config{}, 1, 2)
	for i := range 2 {
		once := ask(fmt.Sprintf("once%d", i), "t1", 4)
		once.Repeatable = false
		c.Submit(0, once)
	}
	c.Submit(0, ask("top", "t2", 0))
	if got := kinds(c.Tick(2000), Preempt); len(got) != 0 {
		t.Fatalf("preempted %v", got)
	}
}

func TestLowerWaitingWorkIsWithdrawnBeforeHigherIsRefused(t *testing.T) {
	c := newCell(t, Config{NoPreemption: true}, 1, 1)
	c.Submit(0, ask("run", "t1", 0))
	for i := range 5 {
		c.Submit(0, ask(fmt.Sprintf("low%d", i), "t1", 3))
	}
	refused := 0
	for i := range 20 {
		top := ask(fmt.Sprintf("top%d", i), "t2", 0)
		top.RefuseEarly = true
		top.Target = 500
		for _, a := range c.Submit(1, top) {
			if a.Kind != Refuse {
				continue
			}
			if a.ID[:3] == "top" && c.Queue().Waiting(3) > 1 {
				t.Fatalf("%s refused while %d of a lower tier wait", a.ID, c.Queue().Waiting(3))
			}
			if a.ID[:3] == "top" {
				refused++
			}
			if a.RetryAfter <= 0 {
				t.Fatalf("refusal of %s without a time to come back", a.ID)
			}
		}
	}
	if refused == 0 {
		t.Fatal("the overload of the top tier itself was never refused")
	}
	if got := kinds(c.Submit(2, ask("low9", "t3", 3)), Refuse); len(got) != 1 {
		t.Fatalf("lower work is queued while the top tier is refused: %v", got)
	}
}

func TestAnnounceRebuildsState(t *testing.T) {
	c := newCell(t, Config{}, 1, 2)
	c.HoldGrants(300, []string{"d1", "d2"})
	first := c.Announce(1, "d1", []RunRequest{ask("w1", "t1", 1)}, []Running{{RunRequest: ask("r1", "t1", 1), Endpoint: "e00", Tokens: 9}})
	if len(first) != 0 {
		t.Fatalf("granted %v before d2 announced", first)
	}
	other := ask("r2", "t2", 1)
	got := c.Announce(2, "d2", nil, []Running{{RunRequest: other, Endpoint: "e00"}})
	if len(got) != 0 || c.Running() != 2 {
		t.Fatalf("actions %v, running %d; want none while both slots are taken", got, c.Running())
	}
	if got := kinds(c.Release(3, "r2", Outcome{}), Grant); len(got) != 1 || got[0] != "w1" {
		t.Fatalf("grants %v, want w1", got)
	}
	if got := c.Announce(4, "d1", nil, nil); len(got) != 0 || c.Running() != 0 {
		t.Fatalf("announced nothing: actions %v, running %d", got, c.Running())
	}
}

func TestHoldEndsByTime(t *testing.T) {
	c := newCell(t, Config{}, 1, 1)
	c.HoldGrants(300, []string{"d1", "gone"})
	c.Announce(1, "d1", []RunRequest{ask("a", "t1", 0)}, nil)
	if got := kinds(c.Tick(301), Grant); len(got) != 1 {
		t.Fatalf("grants %v after the hold, want a", got)
	}
}

func TestLeavingEndpointGetsNothingAndIsSticky(t *testing.T) {
	c := newCell(t, Config{}, 2, 1)
	c.MarkLeaving(0, "e00", "1")
	c.SetEndpoints(1, endpoints(2), slots(1)) // an older list that does not know yet
	for i := range 3 {
		for _, a := range c.Submit(2, ask(fmt.Sprint(i), "t", 0)) {
			if a.Endpoint == "e00" {
				t.Fatal("work for a leaving endpoint")
			}
		}
	}
	list := endpoints(2)
	list[0].Incarnation = "2"
	got := c.SetEndpoints(3, list, slots(1))
	if len(got) != 1 || got[0].Endpoint != "e00" {
		t.Fatalf("a new incarnation gets no work: %v", got)
	}
}

func TestReclaimNoticeMovesRepeatableWork(t *testing.T) {
	c := newCell(t, Config{}, 1, 2)
	c.Submit(0, ask("a", "t", 0))
	once := ask("b", "t", 0)
	once.Repeatable = false
	c.Submit(0, once)
	list := endpoints(1)
	list[0].Leaving, list[0].ReclaimIn = true, 5*clock.Second
	got := c.SetEndpoints(1, list, slots(2))
	if len(got) != 1 || got[0].Kind != Preempt || got[0].ID != "a" || got[0].Reason != Leaving {
		t.Fatalf("actions %v, want a moved", got)
	}
}

func TestSilentEntryIsDropped(t *testing.T) {
	c := newCell(t, Config{}, 1, 1)
	c.Submit(0, ask("a", "t", 0))
	other := ask("b", "t", 0)
	other.Entry = "d2"
	c.Submit(1*clock.Second, other)
	if got := kinds(c.Tick(2*clock.Second+1), Grant); len(got) != 1 || got[0] != "b" {
		t.Fatalf("grants %v, want b when d1 is silent", got)
	}
}

func TestWaitsNoLongerThanMaxWait(t *testing.T) {
	c := newCell(t, Config{EntryTimeout: -1}, 1, 1)
	c.Submit(0, ask("a", "t", 0))
	c.Submit(0, ask("b", "t", 0))
	got := c.Tick(30*clock.Second + 1)
	if len(got) != 1 || got[0].Kind != Refuse || got[0].Code != request.CodeWaitedTooLong {
		t.Fatalf("actions %v, want b refused", got)
	}
}
