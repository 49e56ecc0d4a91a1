package hold

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

// rig is a Hold over a lease that the test gives and takes, on a manual clock
// that moves only while somebody sleeps.
type rig struct {
	*Runner
	manual *clock.Manual
	fence  atomic.Uint64
	terms  atomic.Int64
	active atomic.Int64
	done   chan error
	cancel context.CancelFunc
}

func newRig(t *testing.T, work Work) *rig {
	t.Helper()
	r := &rig{manual: clock.NewManual(1), done: make(chan error, 1)}
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

// advance moves the clock by steps that wake every sleeper in turn.
func (r *rig) advance(t *testing.T, by clock.Millis, until func() bool) {
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

func TestTermBeginsAfterTheSettleTimeAndEndsWithTheLease(t *testing.T) {
	r := newRig(t, untilDone)
	r.fence.Store(7)
	r.advance(t, 4*clock.Second, never)
	if _, _, ok := r.Lease(); ok || r.terms.Load() != 0 {
		t.Fatalf("allowed before the settle time: lease %t, terms %d", ok, r.terms.Load())
	}
	r.advance(t, clock.Minute, func() bool { return r.active.Load() == 1 })
	if fence, _, ok := r.Lease(); !ok || fence != 7 {
		t.Fatalf("lease %d, %t", fence, ok)
	}
	r.fence.Store(0)
	if _, _, ok := r.Lease(); ok {
		t.Fatal("allowed without the lease")
	}
	r.advance(t, clock.Minute, func() bool { return r.active.Load() == 0 })
	r.fence.Store(9)
	r.advance(t, clock.Minute, func() bool { return r.terms.Load() == 2 })
	if fence, _, ok := r.Lease(); !ok || fence != 9 {
		t.Fatalf("after the next term: lease %d, %t", fence, ok)
	}
}

func TestShutdownEndsTheWorkFirst(t *testing.T) {
	r := newRig(t, untilDone)
	r.fence.Store(1) // nobody has held it before: no settle time
	r.advance(t, clock.Minute, func() bool { return r.active.Load() == 1 })
	r.cancel()
	if err := <-r.done; !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	if _, _, ok := r.Lease(); ok || r.active.Load() != 0 {
		t.Fatalf("after shutdown: lease %t, active %d", ok, r.active.Load())
	}
}

func TestFailedWorkBeginsAgain(t *testing.T) {
	var once sync.Once
	r := newRig(t, func(ctx context.Context, term Term) (err error) {
		once.Do(func() { err = errors.New("table down") })
		if err != nil {
			return err
		}
		return untilDone(ctx, term)
	})
	r.fence.Store(1)
	r.advance(t, clock.Minute, func() bool { return r.terms.Load() == 2 })
	if r.terms.Load() != 2 {
		t.Fatalf("%d terms", r.terms.Load())
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
		t.Fatalf("without a row: %v", err)
	}
	_ = put()
	condition, err := guard(ctx, 3)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := guard(ctx, 2); !errors.Is(err, ErrLeaseLost) {
		t.Fatalf("old fence: %v", err)
	}
	_ = put()
	if err := memory.Client().Commit(ctx, table.Txn{Conditions: []table.Condition{condition}}); !errors.Is(err, table.ErrConflict) {
		t.Fatalf("after another write of the row: %v", err)
	}
}

// actsAgain lets a daemon whose Hold waits for alternate hold the lease, lose
// it to another, and get it back. It returns the time between its acts.
func actsAgain(t *testing.T, alternate clock.Millis) clock.Millis {
	t.Helper()
	manual := clock.NewManual(1)
	r := &rig{manual: manual, done: make(chan error, 1)}
	logger, _ := test.NewNullLogger()
	var begun, ended atomic.Int64
	r.Runner = New(Config{
		Clock: manual.Clock(), Logger: logger, Scope: "r", SettleTime: 300, ReacquireDelay: alternate,
		Lease: func() (uint64, clock.Millis, bool) { f := r.fence.Load(); return f, 0, f != 0 },
		Work: []Work{func(ctx context.Context, _ Term) error {
			r.terms.Add(1)
			begun.Store(int64(manual.Now()))
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
	return clock.Millis(begun.Load() - ended.Load())
}

func TestDaemonDoesNotActInTurnWithAnother(t *testing.T) {
	if between := actsAgain(t, 3*clock.Second); between < 3*clock.Second {
		t.Errorf("acts again after %v with another's acts between", between)
	}
	if between := actsAgain(t, 0); between > clock.Second {
		t.Errorf("acts again after %v though it need not wait", between)
	}
}

func TestRestartedDaemonMayHaveActedBefore(t *testing.T) {
	manual := clock.NewManual(1)
	r := &rig{manual: manual, done: make(chan error, 1)}
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
		t.Error("acted within the time in which it may have acted before its start")
	}
	r.advance(t, clock.Minute, func() bool { return r.terms.Load() == 1 })
}
