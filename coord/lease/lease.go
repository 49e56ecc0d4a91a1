// Package lease elects one process of several to be in charge of something,
// through a row of the transactional table.
//
// The row holds the holder, a fence and a beat. The holder renews it; a
// candidate takes it over, with the next fence, after it saw the row unchanged
// for the whole TTL. No two clocks are compared: the candidate measures the
// TTL on its own clock from when it first saw the row, and the holder counts
// its validity from before it sent the renewal, less a margin for clocks of
// different rates. The clock must count the time that a machine is suspended.
// A write whose answer is lost is read back, and counts from when it was sent.
//
// At any instant at most one process holds a valid lease, however processes
// are paused and messages delayed, as long as the clocks' rates differ by less
// than the margin (one twentieth of the TTL). A process that was paused may
// find out late that its lease lapsed: check Valid right before each act, or
// better, act through a connection of package guard.
//
// # Usage
//
//	l := lease.New(lease.Config{Table: client, Clock: clk, Key: "Lease/sask-central",
//		Holder: "vm-1/5f21", TTL: 9 * clock.Second, Rand: rng})
//	go l.Run(ctx) // releases the lease when ctx ends
//
//	if fence, until, ok := l.Valid(); ok { ... act before until, stamped with fence ... }
//	<-l.Changed() // taken or lost
package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

// Config holds what a Lease depends on.
type Config struct {
	Table table.Client
	Clock clock.Clock
	// Key is the key of the lease's row.
	Key string
	// Holder names this run of this process. A process that starts again
	// must use another name.
	Holder string
	// TTL is how long the row must stand unchanged before it is taken over.
	TTL clock.Millis
	// Rand spreads the reads of candidates.
	Rand *rand.Rand
	// Candidate reports whether this process should compete. While it does
	// not, it neither reads nor takes the row, but keeps a lease that it
	// holds. nil means always.
	Candidate func() bool
}

// Lease competes for one lease. It is safe for concurrent use.
type Lease struct {
	config Config

	mu      sync.Mutex
	machine *Machine
	holding bool
	changed chan struct{}
	wake    chan struct{}
}

// New returns a Lease that does not compete before Run.
func New(config Config) *Lease {
	if config.Candidate == nil {
		config.Candidate = func() bool { return true }
	}
	return &Lease{
		config:  config,
		machine: NewMachine(config.Holder, config.TTL, config.Rand),
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
	}
}

// Valid reports whether this process holds the lease now, with its fence and
// the instant of the clock until which it does.
func (l *Lease) Valid() (fence uint64, until clock.Millis, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Valid(l.config.Clock.Now())
}

// LastSeen returns the row as this process saw it last.
func (l *Lease) LastSeen() Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.LastSeen()
}

// Changed returns a channel that is closed when the lease is next taken or
// lost by this process, as far as Run has noticed. A lease also ends by
// itself: only Valid tells.
func (l *Lease) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// RequestRead makes a candidate read the row now, for instance because it heard that
// the holder has released it.
func (l *Lease) RequestRead() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run competes until ctx ends and then releases the lease. The release is
// given a third of the TTL.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.step(ctx)
	}
	l.release(context.WithoutCancel(ctx))
	return ctx.Err()
}

func (l *Lease) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, (l.config.TTL / renewalsPerTTL).Duration())
	defer cancel()
	l.mu.Lock()
	l.machine.Resign()
	l.mu.Unlock()
	l.notice()
	for ctx.Err() == nil {
		l.mu.Lock()
		released := l.machine.Released()
		l.mu.Unlock()
		if released {
			return
		}
		l.step(ctx)
	}
}

// step does the machine's next action.
func (l *Lease) step(ctx context.Context) {
	l.mu.Lock()
	now := l.config.Clock.Now()
	action := l.machine.Next(now)
	_, _, holds := l.machine.Valid(now)
	l.mu.Unlock()
	defer l.notice()
	if !holds && !l.config.Candidate() && !l.resigned() {
		l.sleep(ctx, l.config.TTL/renewalsPerTTL)
		return
	}
	switch action.Kind {
	case Wait:
		l.sleep(ctx, action.Until-now)
	case Read:
		l.read(ctx)
	case Write:
		l.write(ctx, action)
	}
}

func (l *Lease) resigned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.resigned
}

func (l *Lease) sleep(ctx context.Context, d clock.Millis) {
	sleeping, cancel := context.WithCancel(ctx)
	w := &waker{wake: l.wake, cancel: cancel, done: make(chan struct{})}
	go w.run(sleeping)
	_ = l.config.Clock.Sleep(sleeping, d)
	cancel()
	<-w.done
	if w.woken {
		l.mu.Lock()
		l.machine.RequestRead()
		l.mu.Unlock()
	}
}

// waker ends a sleep early.
type waker struct {
	wake   <-chan struct{}
	cancel context.CancelFunc
	done   chan struct{}
	woken  bool
}

func (w *waker) run(ctx context.Context) {
	defer close(w.done)
	select {
	case <-w.wake:
		w.woken = true
		w.cancel()
	case <-ctx.Done():
	}
}

func (l *Lease) read(ctx context.Context) {
	ctx, cancel := l.callContext(ctx)
	defer cancel()
	row, value, err := read(ctx, l.config.Table, l.config.Key)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Clock.Now()
	if err != nil {
		l.machine.OnReadFailed(now)
		return
	}
	l.machine.OnRead(now, value, row.Version)
}

func (l *Lease) write(ctx context.Context, action Action) {
	ctx, cancel := l.callContext(ctx)
	defer cancel()
	result := l.commit(ctx, action)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.OnWrite(l.config.Clock.Now(), action.Row, result)
}

func (l *Lease) commit(ctx context.Context, action Action) Result {
	value, err := msgpack.Marshal(action.Row)
	if err != nil {
		return NotWritten
	}
	err = l.config.Table.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: l.config.Key, Version: action.Version}},
		Writes:     []table.Write{{Key: l.config.Key, Value: value}},
	})
	switch {
	case err == nil:
		return Written
	case errors.Is(err, table.ErrConflict):
		return Conflicted
	case errors.Is(err, table.ErrUnavailable):
		return NotWritten
	}
	return Unknown
}

// callContext bounds a call of the table, so that a hanging one leaves time to
// try again before the lease lapses.
func (l *Lease) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, (l.config.TTL / renewalsPerTTL).Duration())
}

// notice closes the channel of Changed when the lease was taken or lost.
func (l *Lease) notice() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _, holding := l.machine.Valid(l.config.Clock.Now())
	if holding == l.holding {
		return
	}
	l.holding = holding
	close(l.changed)
	l.changed = make(chan struct{})
}
