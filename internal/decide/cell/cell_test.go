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

func newRequest(id, team string, tier int) RunRequest {
	return RunRequest{
		ID: id, Entry: "d1", Team: team, Class: fmt.Sprintf("tier%d", tier), Tier: tier, Weight: 1,
		PromptTokens: 100, Target: 800, MaxWait: 30 * clock.Second, Repeatable: true,
	}
}

func idsOf(actions []Action, kind ActionKind) []string {
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
	if got := idsOf(c.Submit(0, newRequest("a", "t1", 2)), Grant); len(got) != 1 {
		t.Fatalf("first request: granted %v, want one grant", got)
	}
	if got := c.Submit(1, newRequest("b", "t1", 2)); len(got) != 0 {
		t.Fatalf("second request: actions %v, want none while the slot is taken", got)
	}
	c.Submit(2, newRequest("c", "t2", 0))
	if got := idsOf(c.Release(3, "a", Outcome{OutputTokens: 5}), Grant); len(got) != 1 || got[0] != "c" {
		t.Fatalf("after the release: granted %v, want c of the top tier", got)
	}
}

func TestCancelFreesSlot(t *testing.T) {
	c := newCell(t, Config{}, 1, 1)
	c.Submit(0, newRequest("a", "t1", 0))
	c.Submit(0, newRequest("b", "t1", 0))
	c.Submit(0, newRequest("c", "t1", 0))
	c.Cancel(1, "b")
	if got := idsOf(c.Cancel(2, "a"), Grant); len(got) != 1 || got[0] != "c" {
		t.Fatalf("granted %v, want c immediately", got)
	}
}

func TestPreemptsLowerTierOnly(t *testing.T) {
	c := newCell(t, Config{}, 2, 2)
	for i := range 4 {
		c.Submit(0, newRequest(fmt.Sprintf("low%d", i), "t1", 3))
	}
	c.Submit(0, newRequest("top", "t2", 0))
	preempted := idsOf(c.Tick(600), Preempt)
	if len(preempted) != 1 {
		t.Fatalf("preempted %v, want one request", preempted)
	}
	if got := idsOf(c.Release(610, preempted[0], Outcome{Preempted: true}), Grant); len(got) != 1 || got[0] != "top" {
		t.Fatalf("granted %v, want top", got)
	}
	same := newCell(t, Config{}, 1, 1)
	same.Submit(0, newRequest("x", "t1", 1))
	same.Submit(0, newRequest("y", "t2", 1))
	if got := idsOf(same.Tick(5000), Preempt); len(got) != 0 {
		t.Fatalf("preempted %v for a request of the same tier, want none", got)
	}
}

func TestNeverPreemptsRequestsThatAreNotRepeatable(t *testing.T) {
	c := newCell(t, Config{}, 1, 2)
	for i := range 2 {
		once := newRequest(fmt.Sprintf("once%d", i), "t1", 4)
		once.Repeatable = false
		c.Submit(0, once)
	}
	c.Submit(0, newRequest("top", "t2", 0))
	if got := idsOf(c.Tick(2000), Preempt); len(got) != 0 {
		t.Fatalf("preempted %v, want none", got)
	}
}

func TestLowerWaitingWorkIsWithdrawnBeforeHigherIsRefused(t *testing.T) {
	c := newCell(t, Config{NoPreemption: true}, 1, 1)
	c.Submit(0, newRequest("run", "t1", 0))
	for i := range 5 {
		c.Submit(0, newRequest(fmt.Sprintf("low%d", i), "t1", 3))
	}
	refused := 0
	for i := range 20 {
		top := newRequest(fmt.Sprintf("top%d", i), "t2", 0)
		top.RefuseEarly = true
		top.Target = 500
		for _, a := range c.Submit(1, top) {
			if a.Kind != Refuse {
				continue
			}
			if a.ID[:3] == "top" && c.Queue().Waiting(3) > 1 {
				t.Fatalf("%s refused while %d requests of a lower tier wait, want at most 1", a.ID, c.Queue().Waiting(3))
			}
			if a.ID[:3] == "top" {
				refused++
			}
			if a.RetryAfter <= 0 {
				t.Fatalf("refusal of %s has no RetryAfter, want more than 0", a.ID)
			}
		}
	}
	if refused == 0 {
		t.Fatal("no request of the overloaded top tier was refused")
	}
	if got := idsOf(c.Submit(2, newRequest("low9", "t3", 3)), Refuse); len(got) != 1 {
		t.Fatalf("refused %v, want low9 refused while the top tier is refused", got)
	}
}

func TestAnnounceRebuildsState(t *testing.T) {
	c := newCell(t, Config{}, 1, 2)
	c.HoldGrants(300, []string{"d1", "d2"})
	first := c.Announce(1, "d1", []RunRequest{newRequest("w1", "t1", 1)}, []Running{{RunRequest: newRequest("r1", "t1", 1), Endpoint: "e00", Tokens: 9}})
	if len(first) != 0 {
		t.Fatalf("actions %v before d2 has announced its requests, want none", first)
	}
	other := newRequest("r2", "t2", 1)
	got := c.Announce(2, "d2", nil, []Running{{RunRequest: other, Endpoint: "e00"}})
	if len(got) != 0 || c.Running() != 2 {
		t.Fatalf("actions %v, running %d; want none while both slots are taken", got, c.Running())
	}
	if got := idsOf(c.Release(3, "r2", Outcome{}), Grant); len(got) != 1 || got[0] != "w1" {
		t.Fatalf("granted %v, want w1", got)
	}
	if got := c.Announce(4, "d1", nil, nil); len(got) != 0 || c.Running() != 0 {
		t.Fatalf("after empty lists of d1: actions %v, running %d, want none", got, c.Running())
	}
}

func TestHoldEndsAtItsTimeLimit(t *testing.T) {
	c := newCell(t, Config{}, 1, 1)
	c.HoldGrants(300, []string{"d1", "gone"})
	c.Announce(1, "d1", []RunRequest{newRequest("a", "t1", 0)}, nil)
	if got := idsOf(c.Tick(301), Grant); len(got) != 1 {
		t.Fatalf("granted %v after the hold, want a", got)
	}
}

func TestLeavingEndpointGetsNothingAndIsSticky(t *testing.T) {
	c := newCell(t, Config{}, 2, 1)
	c.MarkLeaving(0, "e00", "1")
	c.SetEndpoints(1, endpoints(2), slots(1)) // an outdated list, in which e00 isn't leaving
	for i := range 3 {
		for _, a := range c.Submit(2, newRequest(fmt.Sprint(i), "t", 0)) {
			if a.Endpoint == "e00" {
				t.Fatal("request granted on the leaving endpoint e00")
			}
		}
	}
	list := endpoints(2)
	list[0].Incarnation = "2"
	got := c.SetEndpoints(3, list, slots(1))
	if len(got) != 1 || got[0].Endpoint != "e00" {
		t.Fatalf("actions %v, want one on e00 after its new incarnation started", got)
	}
}

func TestReclaimNoticeMovesRepeatableWork(t *testing.T) {
	c := newCell(t, Config{}, 1, 2)
	c.Submit(0, newRequest("a", "t", 0))
	once := newRequest("b", "t", 0)
	once.Repeatable = false
	c.Submit(0, once)
	list := endpoints(1)
	list[0].Leaving, list[0].ReclaimIn = true, 5*clock.Second
	got := c.SetEndpoints(1, list, slots(2))
	if len(got) != 1 || got[0].Kind != Preempt || got[0].ID != "a" || got[0].Reason != Leaving {
		t.Fatalf("actions %v, want a preempted because e00 is leaving", got)
	}
}

func TestSilentEntryIsDropped(t *testing.T) {
	c := newCell(t, Config{}, 1, 1)
	c.Submit(0, newRequest("a", "t", 0))
	other := newRequest("b", "t", 0)
	other.Entry = "d2"
	c.Submit(1*clock.Second, other)
	if got := idsOf(c.Tick(2*clock.Second+1), Grant); len(got) != 1 || got[0] != "b" {
		t.Fatalf("granted %v, want b after the timeout of d1", got)
	}
}

func TestWaitsNoLongerThanMaxWait(t *testing.T) {
	c := newCell(t, Config{EntryTimeout: -1}, 1, 1)
	c.Submit(0, newRequest("a", "t", 0))
	c.Submit(0, newRequest("b", "t", 0))
	got := c.Tick(30*clock.Second + 1)
	if len(got) != 1 || got[0].Kind != Refuse || got[0].Code != request.CodeWaitedTooLong {
		t.Fatalf("actions %v, want b refused", got)
	}
}
