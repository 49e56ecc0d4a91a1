package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// BenchmarkDecision measures the calls for one request in steady state (Submit,
// RecordTokens and Release) while every team has a request waiting.
func BenchmarkDecision(b *testing.B) {
	for _, teams := range []int{10, 100, 1000, 10_000} {
		for _, replicas := range []int{10, 30, 100, 300} {
			b.Run(fmt.Sprintf("teams=%d/replicas=%d", teams, replicas), func(b *testing.B) {
				benchmarkDecision(b, teams, replicas)
			})
		}
	}
}

func benchmarkDecision(b *testing.B, teams, replicas int) {
	const perReplica = 8
	c := New(Config{EntryTimeout: -1}, rand.New(rand.NewPCG(1, 2)))
	c.config.Limits.WaitingPerSlot = 10_000
	c.SetEndpoints(0, endpoints(replicas), slots(perReplica))
	names := make([]string, teams)
	for i := range names {
		names[i] = fmt.Sprint("team", i)
	}
	total := replicas*perReplica + teams
	ids := make([]string, 2*total)
	for i := range ids {
		ids[i] = fmt.Sprint("r", i)
	}
	digests := make([]uint64, 8)
	for i := range digests {
		digests[i] = uint64(i + 1)
	}
	var running []string
	next := 0
	now := clock.Millis(0)
	submit := func() {
		req := RunRequest{
			ID: ids[next%len(ids)], Entry: "d1", Team: names[next%teams], Class: "c", Tier: 1, Weight: 1,
			PromptTokens: 600, Digests: digests, Target: clock.Hour, MaxWait: clock.Hour, Repeatable: true,
		}
		next++
		for _, action := range c.Submit(now, req) {
			if action.Kind == Grant {
				running = append(running, action.ID)
			}
		}
	}
	for range total {
		submit()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now++
		id := running[0]
		running = running[1:]
		c.RecordTokens(now, id, 20)
		for _, action := range c.Release(now, id, Outcome{OutputTokens: 20, TimeToFirstToken: 50}) {
			if action.Kind == Grant {
				running = append(running, action.ID)
			}
		}
		submit()
	}
}
