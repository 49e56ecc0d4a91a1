// Package hold runs the work that only the holder of a region's lease may do:
// endpoint orders and usage reports.
//
// A term begins when the lease is taken under a new fence and the settle time has
// passed, in which messages that the predecessor had sent just before its lease
// ended have arrived or expired. The work of a term is cancelled as soon as the
// lease is lost. At shutdown the work is ended first and the lease released
// after it, so that the successor begins within its settle time.
//
// Losing the lease is noticed by polling and therefore late when the process was
// paused. What must never come from two processes is guarded where it is written:
// by conditions on the fence in the table and by guarded connections.
//
// # Usage
//
//	h := hold.New(hold.Config{Clock: clk, Logger: logger, Scope: "sask-central", Lease: l.Valid,
//		SettleTime: 5 * clock.Second, Work: []hold.Work{dispatcher.Run, planner.Run}})
//	go h.Run(ctx) // returns when the work has ended; release the lease after it
//
//	reporter := report.New(report.Config{Lease: h.Lease, Guard: hold.Guard(client, "Lease/sask-central"), ...})
package hold

import (
	"context"
	"errors"
	"sync"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/lease"
	"github.com/banyanshift/banyanshift/coord/table"
)

// ErrLeaseLost says that the lease's row has another fencing number.
var ErrLeaseLost = errors.New("hold: lease has passed on")

const (
	// pollInterval is the time between two looks at the lease.
	pollInterval = 250 * clock.Millisecond
	// restartInterval is the time before work that has failed begins again.
	restartInterval = clock.Second
)

// Term is a time during which this daemon holds the lease under one fence.
type Term struct {
	Fence uint64
}

// Work does its work during one term and returns when ctx ends. Work that
// returns earlier is started again while the term lasts.
type Work func(ctx context.Context, term Term) error

// Config configures a Hold. All fields must be set.
type Config struct {
	Clock  clock.Clock
	Logger logrus.FieldLogger
	Scope  string
	// Lease returns the fencing number of the lease, and until when it is
	// held; ok is false when it is not held.
	Lease func() (fence uint64, until clock.Millis, ok bool)
	// SettleTime is the longest time that a message may be under way. The lease
	// itself has been waited out before it was taken.
	SettleTime clock.Millis
	// ReacquireDelay is how long this daemon waits, after it may have acted under
	// an earlier fence, before it acts again: so much time lies between two
	// acts of one daemon with another's between them. It may have acted just
	// before its process started. 0 where the platform does not mind.
	ReacquireDelay clock.Millis
	Work           []Work
}

// Runner runs work while the lease is held.
type Runner struct {
	cfg Config

	mu sync.Mutex
	// settled is the fence under which work is allowed; 0 when it is not.
	settled uint64
	// ending is set at shutdown.
	ending bool
	// acted is when this daemon may have acted last.
	acted clock.Millis
}

// New returns a Hold.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg}
}

// Lease is like the configured Lease, but ok is only true once the settle time
// has passed, and not during shutdown.
func (h *Runner) Lease() (fence uint64, until clock.Millis, ok bool) {
	fence, until, ok = h.cfg.Lease()
	h.mu.Lock()
	defer h.mu.Unlock()
	return fence, until, ok && fence == h.settled && !h.ending
}

// Run runs the work of each term until ctx ends and the work has ended.
func (h *Runner) Run(ctx context.Context) error {
	defer h.setEnding()
	h.acted = h.cfg.Clock.Now()
	for {
		if fence, _, held := h.cfg.Lease(); held {
			h.term(ctx, Term{Fence: fence})
		}
		if err := h.cfg.Clock.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

func (h *Runner) setEnding() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ending = true
}

func (h *Runner) settledFence() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.settled
}

func (h *Runner) setSettled(fence uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settled = fence
}

// holds reports whether the lease is held under the term's fence.
func (h *Runner) holds(term Term) bool {
	fence, _, held := h.cfg.Lease()
	return held && fence == term.Fence
}

// term waits for the settle time and runs the work until the term or ctx ends.
func (h *Runner) term(ctx context.Context, term Term) {
	if !h.settle(ctx, term) {
		return
	}
	eventBegun.Log(h.cfg.Logger, logrus.Fields{"Scope": h.cfg.Scope, "Fence": term.Fence})
	working, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		defer cancel()
		h.watch(working, term)
		return nil
	})
	for _, work := range h.cfg.Work {
		group.Go(func() error {
			h.workLoop(working, work, term)
			return nil
		})
	}
	_ = group.Wait()
	h.acted = h.cfg.Clock.Now()
	eventEnded.Log(h.cfg.Logger, logrus.Fields{"Scope": h.cfg.Scope, "Fence": term.Fence})
}

// settle waits for the settle time. A fence that this daemon had before needs
// none, since nobody else has held the lease in between; neither does the very
// first.
func (h *Runner) settle(ctx context.Context, term Term) bool {
	if h.settledFence() == term.Fence {
		return true
	}
	due := max(h.cfg.Clock.Now()+h.cfg.SettleTime, h.acted+h.cfg.ReacquireDelay)
	for term.Fence > 1 && h.cfg.Clock.Now() < due {
		if h.cfg.Clock.Sleep(ctx, pollInterval) != nil || !h.holds(term) {
			return false
		}
	}
	h.setSettled(term.Fence)
	return true
}

func (h *Runner) watch(ctx context.Context, term Term) {
	for h.holds(term) {
		if h.cfg.Clock.Sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

func (h *Runner) workLoop(ctx context.Context, work Work, term Term) {
	for {
		err := work(ctx, term)
		if ctx.Err() != nil {
			return
		}
		eventFailed.Log(h.cfg.Logger, logrus.Fields{"Scope": h.cfg.Scope, "Fence": term.Fence, "Error": err})
		if h.cfg.Clock.Sleep(ctx, restartInterval) != nil {
			return
		}
	}
}

// Guard returns a function that reads the row of a lease and returns the
// condition that it has not changed since. The condition also fails when the
// holder renews its lease at the same time; the transaction is then repeated.
func Guard(client table.Client, key string) func(ctx context.Context, fence uint64) (table.Condition, error) {
	return func(ctx context.Context, fence uint64) (condition table.Condition, err error) {
		defer func() { err = oops.Wrapf(err, "check lease %s", key) }()
		row, err := client.Get(ctx, key)
		if err != nil {
			return table.Condition{}, err
		}
		var held lease.Row
		if row.Version != 0 {
			if err := msgpack.Unmarshal(row.Value, &held); err != nil {
				return table.Condition{}, err
			}
		}
		if held.Fence != fence {
			return table.Condition{}, ErrLeaseLost
		}
		return table.Condition{Key: key, Version: row.Version}, nil
	}
}
