package follow

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/config/state"
)

// BenchmarkFleet runs 370 followers in 14 failure domains with production
// timing. It reports the traffic and store reads without changes, and the time
// until a change and a withdrawal are in force on all daemons. Run it once,
// with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for b.Loop() {
		measureFleet(b)
	}
}

func measureFleet(b *testing.B) {
	fl := newFleet(b, 14, 27)
	fl.view = fl.view[:370]
	fl.timing = DefaultTiming()
	fl.nodes = nil
	for _, m := range fl.view {
		fl.nodes = append(fl.nodes, fl.newNode(m))
	}
	fl.start(fl.nodes...)
	fl.waitReady()
	revision := fl.mustPropose(fl.nodes[0], "team", 0, team(1)).Sequence
	fl.mustPropose(fl.nodes[0], "key", 0, key(false))
	fl.eventuallyOnAll("key admitted", (*node).admits)

	const quiet = 8 * time.Second
	_, readsBefore := fl.store.Counts()
	fl.mu.Lock()
	fl.bytes, fl.calls = 0, 0
	fl.mu.Unlock()
	time.Sleep(quiet)
	_, readsAfter := fl.store.Counts()
	fl.mu.Lock()
	bytes := fl.bytes
	fl.mu.Unlock()
	b.ReportMetric(float64(bytes)/quiet.Seconds()/370, "quiet-B/s")
	b.ReportMetric(float64(readsAfter-readsBefore)/quiet.Seconds(), "fleet-reads/s")

	spread := func(name string, count int) {
		slowest, total := time.Duration(0), time.Duration(0)
		fl.mu.Lock()
		fl.bytes = 0
		fl.mu.Unlock()
		for i := range count {
			startedAt := time.Now()
			revision = fl.mustPropose(fl.nodes[(i*37)%370], fmt.Sprint(name, i), revision, team(i+2)).Sequence
			fl.eventuallyOnAll("applied", func(n *node) bool { return n.state.Sequence() >= revision })
			took := time.Since(startedAt)
			slowest, total = max(slowest, took), total+took
		}
		fl.mu.Lock()
		b.ReportMetric(float64(fl.bytes)/float64(count)/370, name+"-B/daemon")
		fl.mu.Unlock()
		b.ReportMetric(float64(slowest.Milliseconds()), name+"-max-ms")
	}
	spread("push", 20)
	fl.mu.Lock()
	fl.dropPushes = true
	fl.mu.Unlock()
	spread("no-push", 5)
	fl.mu.Lock()
	fl.dropPushes = false
	fl.mu.Unlock()

	startedAt := time.Now()
	fl.storeDown(true, fl.nodes...)
	go fl.mustPropose(fl.nodes[100], "w", fl.nodes[100].state.Revision(entity.KindKey, "k1"), key(true))
	fl.eventuallyOnAll("refused", (*node).refuses)
	b.ReportMetric(float64(time.Since(startedAt).Milliseconds()), "deny-ms")
}

// BenchmarkSnapshot measures encoding and loading a snapshot of 40,000 teams
// with two keys each, and reports its encoded size.
func BenchmarkSnapshot(b *testing.B) {
	s := state.New()
	for i := range 40000 {
		change := changelog.Change{Sequence: uint64(i + 1)}
		name := fmt.Sprintf("team-%05d", i)
		entities := []any{entity.Team{Name: name, Weight: 1}}
		for j := range 2 {
			k := key(false)
			k.ID, k.Team = fmt.Sprintf("k%06d%02d", i, j), name
			k.Hash = sha256.Sum256([]byte(k.ID))
			entities = append(entities, k)
		}
		for _, e := range entities {
			write, err := state.PutWrite(e)
			if err != nil {
				b.Fatal(err)
			}
			change.Writes = append(change.Writes, changelog.EntityWrite{Entity: write.Entity, Revision: change.Sequence, Value: write.Value})
		}
		if err := s.Apply(change); err != nil {
			b.Fatal(err)
		}
	}
	var encoded []byte
	b.Run("Encode", func(b *testing.B) {
		for b.Loop() {
			snapshot, err := s.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			encoded, err = changelog.EncodeSnapshot(snapshot)
			if err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(encoded))/(1<<20), "MiB")
	})
	b.Run("Load", func(b *testing.B) {
		for b.Loop() {
			snapshot, err := changelog.DecodeSnapshot(encoded)
			if err != nil {
				b.Fatal(err)
			}
			if err := state.New().LoadSnapshot(snapshot); err != nil {
				b.Fatal(err)
			}
		}
	})
}
