// Package leader runs the work that only the holder of a region's lease may do:
// endpoint orders and usage reports.
//
// A term starts when the lease has been acquired under a new fence and the settle
// time has passed. During the settle time, messages that the previous holder sent
// just before its lease ended arrive or expire. The work of a term is cancelled
// as soon as the lease is lost. At shutdown the work is stopped before the lease
// is released, so that the next holder starts after no more than its settle time.
//
// A Runner polls the lease, so a process that was paused notices the loss late.
// Writes that must never come from two processes are therefore checked where they
// are made: by conditions on the fence in the table and by guarded connections.
//
// # Usage
//
//	r := leader.New(leader.Config{Clock: clk, Logger: logger, Scope: "sask-central", Lease: l.Valid,
//		SettleTime: 5 * clock.Second, Work: []leader.Work{dispatcher.Run, planner.Run}})
//	go r.Run(ctx) // returns when the work has ended; release the lease after that
//
//	reporter := report.New(report.Config{Lease: r.Lease, Guard: leader.Guard(client, "Lease/sask-central"), ...})
package leader

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/lease"
	"github.com/banyanshift/banyanshift/coord/packed"
	"github.com/banyanshift/banyanshift/coord/table"
)

// ErrLeaseLost means that the lease's row has another fencing number.
var ErrLeaseLost = errors.New("leader: lease was lost to another holder")

const (
	// pollInterval is the time between two checks of the lease.
	pollInterval = 250 * clock.Millisecond
	// restartDelay is the time before failed work is restarted.
	restartDelay = clock.Second
)

// Term is a period during which this daemon holds the lease under one fence.
type Term struct {
	Fence uint64
}

// Work runs during one term and returns when ctx is done. If it returns earlier,
// it is restarted while the term lasts.
type Work func(ctx context.Context, term Term) error

// Config configures a Runner. All fields must be set.
type Config struct {
	Clock  clock.Clock
	Logger logrus.FieldLogger
	Scope  string
	// Lease returns the fencing number of the lease and the time at which it
	// expires; ok is false when this daemon does not hold it.
	Lease func() (fence uint64, expiry clock.Millis, ok bool)
	// SettleTime is the longest time that a message may be in transit. The
	// previous lease has already expired when the lease is acquired.
	SettleTime clock.Millis
	// ReacquireDelay is the least time between work under one fence and work
	// under a later fence at the same daemon, with another holder in between.
	// It also applies from the start of the process, since the previous
	// process may have worked until then. 0 if the platform accepts holders
	// that alternate quickly.
	ReacquireDelay clock.Millis
	Work           []Work
}

// Runner runs work while the lease is held.
type Runner struct {
	cfg Config

	mu sync.Mutex
	// settledFence is the fence under which work is allowed; 0 for none.
	settledFence uint64
	shuttingDown bool
	// lastWorked is the latest time at which this daemon may have worked.
	lastWorked clock.Millis
}

// New returns a Runner.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg}
}

// Lease is like Config.Lease, but ok is only true once the settle time has
// passed, and false during shutdown.
func (r *Runner) Lease() (fence uint64, expiry clock.Millis, ok bool) {
	fence, expiry, ok = r.cfg.Lease()
	r.mu.Lock()
	defer r.mu.Unlock()
	return fence, expiry, ok && fence == r.settledFence && !r.shuttingDown
}

// Run runs the work of each term until ctx is done and the work has returned.
func (r *Runner) Run(ctx context.Context) error {
	defer r.setShuttingDown()
	r.lastWorked = r.cfg.Clock.Now()
	for {
		if fence, _, held := r.cfg.Lease(); held {
			r.runTerm(ctx, Term{Fence: fence})
		}
		if err := r.cfg.Clock.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

func (r *Runner) setShuttingDown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shuttingDown = true
}

func (r *Runner) getSettledFence() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settledFence
}

func (r *Runner) setSettledFence(fence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settledFence = fence
}

// holds reports whether the lease is held under the term's fence.
func (r *Runner) holds(term Term) bool {
	fence, _, held := r.cfg.Lease()
	return held && fence == term.Fence
}

// runTerm waits for the settle time and runs the work until the term ends or ctx
// is done.
func (r *Runner) runTerm(ctx context.Context, term Term) {
	if !r.waitSettled(ctx, term) {
		return
	}
	eventTermStarted.Log(r.cfg.Logger, logrus.Fields{"Scope": r.cfg.Scope, "Fence": term.Fence})
	working, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		defer cancel()
		r.pollLease(working, term)
		return nil
	})
	for _, work := range r.cfg.Work {
		group.Go(func() error {
			r.workLoop(working, work, term)
			return nil
		})
	}
	_ = group.Wait()
	r.lastWorked = r.cfg.Clock.Now()
	eventTermEnded.Log(r.cfg.Logger, logrus.Fields{"Scope": r.cfg.Scope, "Fence": term.Fence})
}

// waitSettled waits for the settle time and reports whether the lease is still
// held after it. It does not wait for the fence of the last term, since no other
// daemon held the lease in between, nor for the first fence ever.
func (r *Runner) waitSettled(ctx context.Context, term Term) bool {
	if r.getSettledFence() == term.Fence {
		return true
	}
	due := max(r.cfg.Clock.Now()+r.cfg.SettleTime, r.lastWorked+r.cfg.ReacquireDelay)
	for term.Fence > 1 && r.cfg.Clock.Now() < due {
		if r.cfg.Clock.Sleep(ctx, pollInterval) != nil || !r.holds(term) {
			return false
		}
	}
	r.setSettledFence(term.Fence)
	return true
}

// pollLease returns when the lease is lost or ctx is done.
func (r *Runner) pollLease(ctx context.Context, term Term) {
	for r.holds(term) {
		if r.cfg.Clock.Sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

func (r *Runner) workLoop(ctx context.Context, work Work, term Term) {
	for {
		err := work(ctx, term)
		if ctx.Err() != nil {
			return
		}
		eventWorkFailed.Log(r.cfg.Logger, logrus.Fields{"Scope": r.cfg.Scope, "Fence": term.Fence, "Error": err})
		if r.cfg.Clock.Sleep(ctx, restartDelay) != nil {
			return
		}
	}
}

// Guard is like the function Guard, but the returned function also fails with ErrLeaseLost
// unless work is allowed under the fence now. A table that came back from a copy may have
// lost the takeover by another daemon, so its row alone proves nothing.
func (r *Runner) Guard(client table.Client, key string) func(ctx context.Context, fence uint64) (table.Condition, error) {
	guard := Guard(client, key)
	return func(ctx context.Context, fence uint64) (condition table.Condition, err error) {
		condition, err = guard(ctx, fence)
		if held, _, ok := r.Lease(); err == nil && (!ok || held != fence) {
			return table.Condition{}, fmt.Errorf("%w, or it has expired", ErrLeaseLost)
		}
		return condition, err
	}
}

// Guard returns a function that reads the row of a lease and returns the
// condition that the row has not changed since, or ErrLeaseLost if the row has
// another fence. The condition also fails when the holder renews its lease at the
// same time; the caller then repeats the transaction.
func Guard(client table.Client, key string) func(ctx context.Context, fence uint64) (table.Condition, error) {
	return func(ctx context.Context, fence uint64) (condition table.Condition, err error) {
		defer func() { err = oops.Wrapf(err, "check lease %s", key) }()
		row, err := client.Get(ctx, key)
		if err != nil {
			return table.Condition{}, err
		}
		var held lease.Row
		if row.Version != 0 {
			if err := packed.Unmarshal(row.Value, &held); err != nil {
				return table.Condition{}, err
			}
		}
		if held.Fence != fence {
			return table.Condition{}, ErrLeaseLost
		}
		return table.Condition{Key: key, Version: row.Version}, nil
	}
}
