package lease

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

func start(t *testing.T, client table.Client, name string, ttl clock.Millis) (l *Lease, stop func()) {
	t.Helper()
	l = New(Config{
		Table: client, Clock: clock.System(), Key: "Lease/x", Holder: name, TTL: ttl,
		Rand: rand.New(rand.NewPCG(1, uint64(len(name)))),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := l.Run(ctx); !errors.Is(err, context.Canceled) {
			t.Errorf("Run: %v", err)
		}
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return l, stop
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func holds(l *Lease) func() bool {
	return func() bool {
		_, _, ok := l.Valid()
		return ok
	}
}

func TestGracefulHandOver(t *testing.T) {
	memory := table.NewMemory()
	const ttl = 30 * clock.Second
	first, stop := start(t, memory.Client(), "a", ttl)
	eventually(t, "first holds", holds(first))
	fence, _, _ := first.Valid()
	second, _ := start(t, memory.Client(), "bb", ttl)
	eventually(t, "second has read the row", func() bool { return second.LastSeen().Holder == "a" })
	lost := first.Changed()
	stop()
	<-lost
	if holds(first)() {
		t.Error("first is valid after its release")
	}
	// The TTL is far longer than this test, so only the release allows a
	// takeover.
	eventually(t, "second holds", func() bool {
		second.RequestRead()
		return holds(second)()
	})
	if next, _, _ := second.Valid(); next != fence+1 {
		t.Errorf("got fence %d after fence %d, want the next fence", next, fence)
	}
}

func TestTakeoverWithLostAnswers(t *testing.T) {
	memory := table.NewMemory()
	client := memory.Client()
	count := 0
	client.Commit = func(ctx context.Context, txn table.Txn) error {
		count++
		err := memory.Client().Commit(ctx, txn)
		if err == nil && count%2 == 1 {
			return table.ErrUnknown
		}
		return err
	}
	l, _ := start(t, client, "a", 600*clock.Millisecond)
	eventually(t, "lease held despite the lost answer", holds(l))
	memory.SetFault(table.Fault{Down: true})
	eventually(t, "lease expired while the table is down", func() bool { return !holds(l)() })
	memory.SetFault(table.Fault{})
	eventually(t, "lease held again", holds(l))
	if fence, _, _ := l.Valid(); fence != 1 {
		t.Errorf("got fence %d, want 1, since no other process took the lease", fence)
	}
}

func TestNoCandidateDoesNotCompete(t *testing.T) {
	memory := table.NewMemory()
	idle := New(Config{
		Table: memory.Client(), Clock: clock.System(), Key: "Lease/x", Holder: "idle", TTL: 30 * clock.Millisecond,
		Rand: rand.New(rand.NewPCG(1, 1)), Candidate: func() bool { return false },
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_ = idle.Run(ctx)
	if commits, reads := memory.Counts(); commits+reads != 0 {
		t.Errorf("got %d commits and %d reads by a process that is not a candidate, want none", commits, reads)
	}
}

func Example() {
	l := New(Config{
		Table:  table.NewMemory().Client(),
		Clock:  clock.System(),
		Key:    "Lease/sask-central",
		Holder: "vm-1/5f21",
		TTL:    9 * clock.Second,
		Rand:   rand.New(rand.NewPCG(1, 1)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	taken := l.Changed()
	go func() { _ = l.Run(ctx) }()

	<-taken
	fence, _, ok := l.Valid()
	fmt.Println("holds:", ok, "fence:", fence)

	released := l.Changed()
	cancel()
	<-released
	_, _, ok = l.Valid()
	fmt.Println("holds:", ok)
	// Output:
	// holds: true fence: 1
	// holds: false
}
