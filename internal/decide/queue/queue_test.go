package queue

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banyanshift/banyanshift/coord/clock"
)

func item(id, team string, tier int) *Item {
	return &Item{ID: id, Team: team, Class: fmt.Sprint("tier", tier), Tier: tier, Weight: 1, PromptTokens: 100}
}

func TestTiersGoFirst(t *testing.T) {
	q := New(Config{})
	q.Push(0, item("low", "a", 3))
	q.Push(0, item("top", "b", 0))
	q.Push(0, item("mid", "c", 1))
	for _, want := range []string{"top", "mid", "low"} {
		if got := q.Pop(0); got.ID != want {
			t.Fatalf("popped %s, want %s", got.ID, want)
		}
	}
	if q.Pop(0) != nil || q.Len() != 0 {
		t.Fatal("the queue still has items, want none")
	}
}

func TestWeightsDivideService(t *testing.T) {
	q := New(Config{})
	for i := range 400 {
		heavy := item(fmt.Sprint("h", i), "heavy", 1)
		heavy.Weight = 3
		q.Push(0, heavy)
		q.Push(0, item(fmt.Sprint("l", i), "light", 1))
	}
	count := map[string]int{}
	for range 400 {
		got := q.Pop(0)
		count[got.Team]++
		q.ChargeOutput(1, got.Team, 50)
	}
	if count["heavy"] != 300 && count["heavy"] != 299 && count["heavy"] != 301 {
		t.Fatalf("served %v, want 3 to 1", count)
	}
}

func TestTeamBackFromIdleStartsAtSmallestCounter(t *testing.T) {
	q := New(Config{})
	for i := range 100 {
		q.Push(0, item(fmt.Sprint("a", i), "a", 1))
	}
	for range 50 {
		q.ChargeOutput(1, q.Pop(0).Team, 100)
	}
	for i := range 50 {
		q.Push(0, item(fmt.Sprint("b", i), "b", 1))
	}
	count := map[string]int{}
	for range 20 {
		got := q.Pop(0)
		count[got.Team]++
		q.ChargeOutput(1, got.Team, 100)
	}
	if count["a"] < 9 || count["b"] < 9 {
		t.Fatalf("served %v, want at least 9 of 20 for each team", count)
	}
}

func TestTeamKeepsItsCounterWhileIdle(t *testing.T) {
	q := New(Config{})
	for i := range 20 {
		q.Push(0, item(fmt.Sprint("b", i), "b", 1))
	}
	q.Push(0, item("a", "a", 1))
	for q.Pop(0).Team != "a" {
		continue
	}
	q.ChargeOutput(1, "a", 10_000)
	q.Push(0, item("a2", "a", 1))
	for range 10 {
		if got := q.Pop(0); got.Team != "b" {
			t.Fatal("served team a, want b because the charge of a remains while it is idle")
		}
	}
}

func TestGuaranteedShareDelaysHigherTier(t *testing.T) {
	q := New(Config{Share: func(class string) float64 { return map[string]float64{"tier3": 0.1}[class] }})
	q.SetSlots(0, 20)
	for i := range 1000 {
		q.Push(0, item(fmt.Sprint("t", i), "top", 0))
		q.Push(0, item(fmt.Sprint("l", i), "low", 3))
	}
	low := 0
	var running []*Item
	for now := clock.Millis(0); now < 20*clock.Second; now += 50 {
		if len(running) == 20 {
			q.RecordFinish(now, running[0].Class)
			running = running[1:]
		}
		got := q.Pop(now)
		running = append(running, got)
		if got.Tier == 3 {
			low++
		}
	}
	if low < 36 || low > 44 {
		t.Fatalf("the lower class got %d of 400 slots, want 36 to 44", low)
	}
}

func TestFloorShareLetsNoClassStarve(t *testing.T) {
	q := New(Config{})
	q.SetSlots(0, 8)
	q.Push(0, item("low", "low", 4))
	for now := clock.Millis(0); now <= 10*clock.Second; now += 100 {
		q.Push(now, item(fmt.Sprint(now), "top", 0))
		got := q.Pop(now)
		if got.ID == "low" {
			return
		}
		q.RecordFinish(now, got.Class)
	}
	t.Fatal("the item of the lowest class was not popped within 10 s")
}

func TestEvictionCandidateIsOfLowestTierAndLastTeam(t *testing.T) {
	q := New(Config{})
	q.SetSlots(0, 10)
	for i := range 3 {
		q.Push(0, item(fmt.Sprint("a", i), "a", 2))
	}
	for i := range 6 {
		q.Push(0, item(fmt.Sprint("b", i), "b", 2))
	}
	q.Push(0, item("c", "c", 1))
	q.Push(0, item("c2", "c", 1))
	if got := q.EvictionCandidateBelow(0); got.ID != "b5" {
		t.Fatalf("eviction candidate below tier 0 is %s, want b5, the newest of the team that finishes last", got.ID)
	}
	if got := q.EvictionCandidateBelow(2); got != nil {
		t.Fatalf("eviction candidate below tier 2 is %s, want none", got.ID)
	}
}

func TestClassThatMovesToAnotherTier(t *testing.T) {
	q := New(Config{})
	moved := item("1", "a", 3)
	moved.Class = "c"
	q.Push(0, moved)
	q.Pop(0)
	again := item("2", "a", 0)
	again.Class = "c"
	q.Push(1, again)
	if q.Waiting(0) != 1 || q.Waiting(3) != 0 || q.Running("c") != 1 {
		t.Fatalf("%d items wait in the new tier and %d in the old one, %d run; want 1, 0 and 1", q.Waiting(0), q.Waiting(3), q.Running("c"))
	}
}

// step is one random operation.
type step struct {
	Op, Team, Tier, Tokens int
}

func TestRandomOperationsKeepCounts(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(21)
	parameters.MinSuccessfulTests = 100
	properties := gopter.NewProperties(parameters)
	properties.Property("every item is popped once, in tier order except for guarantees", prop.ForAll(
		checkSteps,
		gen.SliceOf(gen.Struct(stepType, map[string]gopter.Gen{
			"Op": gen.IntRange(0, 5), "Team": gen.IntRange(0, 6), "Tier": gen.IntRange(0, 4), "Tokens": gen.IntRange(0, 500),
		})),
	))
	properties.TestingRun(t)
}
