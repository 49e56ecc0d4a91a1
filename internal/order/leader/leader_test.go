package leader

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/lease"
	"github.com/banyanshift/banyanshift/coord/table"
)

// testRunner is a Runner whose lease the test grants and revokes through fence,
// on a manual clock that advances only while a goroutine sleeps.
type testRunner struct {
	*Runner
	manual *clock.Manual
	fence  atomic.Uint64
	terms  atomic.Int64
	active atomic.Int64
	done   chan error
	cancel context.CancelFunc
}

func newTestRunner(t *testing.T, work Work) *testRunner {
	t.Helper()
	r := &testRunner{manual: clock.NewManual(1), done: make(chan error, 1)}
	logger, _ := test.NewNullLogger()
	counted := func(ctx context.Context, term Term) error {
		r.terms.Add(1)
		r.active.Add(1)
		defer r.active.Add(-1)
		return work(ctx, term)
	}
	r.Runner = New(Config{
		Clock: r.manual.Clock(), Logger: logger, Scope: "r", SettleTime: 5 * clock.Second, Work: []Work{counted},
		Lease: func() (uint64, clock.Millis, bool) { f := r.fence.Load(); return f, 0, f != 0 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	t.Cleanup(cancel)
	go func() { r.done <- r.Run(ctx) }()
	return r
}

func untilDone(ctx context.Context, _ Term) error {
	<-ctx.Done()
	return nil
}

// advance moves the clock in steps of pollInterval, each while a goroutine
// sleeps, until the condition is met.
func (r *testRunner) advance(t *testing.T, by clock.Millis, until func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for by > 0 && !until() && time.Now().Before(deadline) {
		if r.manual.Sleepers() == 0 {
			time.Sleep(time.Millisecond)
			continue
		}
		r.manual.Advance(pollInterval)
		by -= pollInterval
		time.Sleep(time.Millisecond)
	}
}

func never() bool { return false }

func TestTermStartsAfterSettleTimeAndEndsWithLease(t *testing.T) {
	r := newTestRunner(t, untilDone)
	r.fence.Store(7)
	r.advance(t, 4*clock.Second, never)
	if _, _, ok := r.Lease(); ok || r.terms.Load() != 0 {
		t.Fatalf("before the settle time: got lease %t and %d terms, want no lease and no term", ok, r.terms.Load())
	}
	r.advance(t, clock.Minute, func() bool { return r.active.Load() == 1 })
	if fence, _, ok := r.Lease(); !ok || fence != 7 {
		t.Fatalf("after the settle time: got fence %d, held %t; want fence 7, held", fence, ok)
	}
	r.fence.Store(0)
	if _, _, ok := r.Lease(); ok {
		t.Fatal("Lease reports ok although the lease is lost")
	}
	r.advance(t, clock.Minute, func() bool { return r.active.Load() == 0 })
	r.fence.Store(9)
	r.advance(t, clock.Minute, func() bool { return r.terms.Load() == 2 })
	if fence, _, ok := r.Lease(); !ok || fence != 9 {
		t.Fatalf("in the next term: got fence %d, held %t; want fence 9, held", fence, ok)
	}
}

func TestShutdownWaitsForWork(t *testing.T) {
	r := newTestRunner(t, untilDone)
	r.fence.Store(1) // the first fence ever, so there is no settle time
	r.advance(t, clock.Minute, func() bool { return r.active.Load() == 1 })
	r.cancel()
	if err := <-r.done; !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	if _, _, ok := r.Lease(); ok || r.active.Load() != 0 {
		t.Fatalf("after shutdown: got lease %t and %d running work, want no lease and none running", ok, r.active.Load())
	}
}

func TestFailedWorkIsRestarted(t *testing.T) {
	var once sync.Once
	r := newTestRunner(t, func(ctx context.Context, term Term) (err error) {
		once.Do(func() { err = errors.New("table down") })
		if err != nil {
			return err
		}
		return untilDone(ctx, term)
	})
	r.fence.Store(1)
	r.advance(t, clock.Minute, func() bool { return r.terms.Load() == 2 })
	if r.terms.Load() != 2 {
		t.Fatalf("work was started %d times, want 2", r.terms.Load())
	}
}

func TestGuard(t *testing.T) {
	memory, ctx := table.NewMemory(), context.Background()
	guard := Guard(memory.Client(), "Lease/r")
	value, _ := msgpack.Marshal(lease.Row{Holder: "x", Fence: 3})
	put := func() error {
		return memory.Client().Commit(ctx, table.Txn{Writes: []table.Write{{Key: "Lease/r", Value: value}}})
	}
	if _, err := guard(ctx, 3); !errors.Is(err, ErrLeaseLost) {
		t.Fatalf("without a row: got %v, want ErrLeaseLost", err)
	}
	_ = put()
	condition, err := guard(ctx, 3)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := guard(ctx, 2); !errors.Is(err, ErrLeaseLost) {
		t.Fatalf("old fence: got %v, want ErrLeaseLost", err)
	}
	_ = put()
	if err := memory.Client().Commit(ctx, table.Txn{Conditions: []table.Condition{condition}}); !errors.Is(err, table.ErrConflict) {
		t.Fatalf("after another write of the row: got %v, want ErrConflict", err)
	}
}

// TestExpiredHolderSealsNothingInARestoredTable guards against a holder that was frozen, whose
// row comes back with a copy although another daemon has held the lease meanwhile.
func TestExpiredHolderSealsNothingInARestoredTable(t *testing.T) {
	r := newTestRunner(t, untilDone)
	client := table.NewMemory().Client()
	value, err := msgpack.Marshal(lease.Row{Holder: "a", Fence: 3})
	if err != nil {
		t.Fatal(err)
	}
	ctx := context.Background()
	if err := client.Commit(ctx, table.Txn{Writes: []table.Write{{Key: "Lease/r", Value: value}}}); err != nil {
		t.Fatal(err)
	}
	guard := r.Guard(client, "Lease/r")
	r.fence.Store(3)
	r.advance(t, 10*clock.Second, func() bool { return r.terms.Load() > 0 })
	if _, err := guard(ctx, 3); err != nil {
		t.Errorf("holder: got error %v, want none", err)
	}
	r.fence.Store(0)
	if _, err := guard(ctx, 3); !errors.Is(err, ErrLeaseLost) {
		t.Errorf("expired holder: got error %v, want ErrLeaseLost", err)
	}
}

// timeBetweenTerms lets a daemon with this ReacquireDelay hold the lease, lose it
// to another holder, and acquire it again. It returns the time between its terms.
func timeBetweenTerms(t *testing.T, reacquireDelay clock.Millis) clock.Millis {
	t.Helper()
	manual := clock.NewManual(1)
	r := &testRunner{manual: manual, done: make(chan error, 1)}
	logger, _ := test.NewNullLogger()
	var started, ended atomic.Int64
	r.Runner = New(Config{
		Clock: manual.Clock(), Logger: logger, Scope: "r", SettleTime: 300, ReacquireDelay: reacquireDelay,
		Lease: func() (uint64, clock.Millis, bool) { f := r.fence.Load(); return f, 0, f != 0 },
		Work: []Work{func(ctx context.Context, _ Term) error {
			r.terms.Add(1)
			started.Store(int64(manual.Now()))
			<-ctx.Done()
			ended.Store(int64(manual.Now()))
			return nil
		}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { r.done <- r.Run(ctx) }()
	r.fence.Store(4)
	r.advance(t, clock.Minute, func() bool { return r.terms.Load() == 1 })
	r.fence.Store(0)
	r.advance(t, clock.Minute, func() bool { return ended.Load() > 0 })
	r.fence.Store(6)
	r.advance(t, clock.Minute, func() bool { return r.terms.Load() == 2 })
	return clock.Millis(started.Load() - ended.Load())
}

// TestDaemonDoesNotActInTurnWithAnother covers a daemon that acquires the lease
// again soon after another daemon held it. It must wait for ReacquireDelay.
func TestDaemonDoesNotActInTurnWithAnother(t *testing.T) {
	if between := timeBetweenTerms(t, 3*clock.Second); between < 3*clock.Second {
		t.Errorf("with a reacquire delay of 3 s: got %v between terms, want at least 3 s", between)
	}
	if between := timeBetweenTerms(t, 0); between > clock.Second {
		t.Errorf("without a reacquire delay: got %v between terms, want at most 1 s", between)
	}
}

// TestRestartedDaemonMayHaveActedBefore covers a daemon that may have held the
// lease just before its process started. ReacquireDelay applies from the start.
func TestRestartedDaemonMayHaveActedBefore(t *testing.T) {
	manual := clock.NewManual(1)
	r := &testRunner{manual: manual, done: make(chan error, 1)}
	logger, _ := test.NewNullLogger()
	r.Runner = New(Config{
		Clock: manual.Clock(), Logger: logger, Scope: "r", SettleTime: 300, ReacquireDelay: 3 * clock.Second,
		Lease: func() (uint64, clock.Millis, bool) { return 9, 0, true },
		Work: []Work{func(ctx context.Context, _ Term) error {
			r.terms.Add(1)
			<-ctx.Done()
			return nil
		}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { r.done <- r.Run(ctx) }()
	r.advance(t, 2*clock.Second, never)
	if r.terms.Load() != 0 {
		t.Error("work started before the reacquire delay had passed since the process start")
	}
	r.advance(t, clock.Minute, func() bool { return r.terms.Load() == 1 })
}
