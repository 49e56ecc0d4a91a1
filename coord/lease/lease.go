// Package lease elects one of several processes as the holder of a lease, which
// is stored in a row of the transactional table.
//
// The row contains the holder, a fence and a beat. The holder renews the row. A
// candidate takes it over, with the next fence, after it saw the row unchanged
// for the whole TTL. Clocks of different processes are never compared: the
// candidate measures the TTL on its own clock from when it first saw the row,
// and the holder measures its validity from before it sent the renewal, minus a
// margin for clocks that run at different rates. The clock must count the time
// that a machine is suspended. If the answer to a write is lost, the row is read
// back; the validity then starts when the write was sent.
//
// A table that comes back from a copy may lose a takeover and forget its fence. Each era of
// the table therefore has fences of its own, above those of earlier ones. Processes also
// tell each other the highest fence that they have seen: a row with a lower one is taken
// over only after the whole TTL.
//
// At any instant at most one process holds a valid lease, regardless of paused
// processes and delayed messages, as long as the rates of the clocks differ by
// less than the margin (one twentieth of the TTL). A paused process may notice
// late that its lease expired. Check Valid immediately before each action, or
// better, send through a connection of package guard.
//
// # Usage
//
//	l := lease.New(lease.Config{Table: client, Clock: clk, Key: "Lease/sask-central",
//		Holder: "vm-1/5f21", TTL: 9 * clock.Second, Rand: rng})
//	go l.Run(ctx) // releases the lease when ctx ends
//
//	if fence, until, ok := l.Valid(); ok { ... act before until, sending fence along ... }
//	<-l.Changed() // acquired or lost
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

// Config configures a Lease.
type Config struct {
	Table table.Client
	Clock clock.Clock
	// Key is the key of the lease's row.
	Key string
	// Holder identifies this run of the process. It must change with each
	// start.
	Holder string
	// TTL is how long the row must stay unchanged before a candidate takes it
	// over.
	TTL clock.Millis
	// Rand adds jitter to the reads of candidates and to retries.
	Rand *rand.Rand
	// Candidate reports whether this process competes for the lease. While it
	// returns false, the process neither reads nor takes over the row, but
	// keeps a lease that it holds. nil means always.
	Candidate func() bool
	// KnownFence returns the highest fence that other processes have seen. Without
	// it, a table that comes back from a copy may let two processes hold the lease.
	// nil means that no other process tells.
	KnownFence func() uint64
}

// Lease competes for one lease. Its methods are safe for concurrent use.
type Lease struct {
	config Config

	mu         sync.Mutex
	machine    *Machine
	wasHolding bool
	changed    chan struct{}
	wake       chan struct{}
}

// New returns a Lease that competes while Run is running.
func New(config Config) *Lease {
	if config.Candidate == nil {
		config.Candidate = func() bool { return true }
	}
	if config.KnownFence == nil {
		config.KnownFence = func() uint64 { return 0 }
	}
	return &Lease{
		config:  config,
		machine: NewMachine(config.Holder, config.TTL, config.Rand),
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
	}
}

// Valid reports whether this process holds the lease now. If so, it returns the
// fence and the instant of the clock until which the lease is valid.
func (l *Lease) Valid() (fence uint64, until clock.Millis, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Valid(l.config.Clock.Now())
}

// LastSeen returns the row as this process last read or wrote it.
func (l *Lease) LastSeen() Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.LastSeen()
}

// HighestFence returns the highest fence that this process has seen, which it should
// tell the others.
func (l *Lease) HighestFence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.HighestFence()
}

// Changed returns a channel that is closed when Run next notices that this
// process acquired or lost the lease. Run may notice an expired lease late; only
// Valid is exact.
func (l *Lease) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// RequestRead makes a candidate read the row now, for instance after a message
// that the holder released it.
func (l *Lease) RequestRead() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run competes until ctx ends and then releases the lease. The release times out
// after a third of the TTL.
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
	l.notifyChange()
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

// step performs the machine's next action.
func (l *Lease) step(ctx context.Context) {
	known := l.config.KnownFence()
	l.mu.Lock()
	now := l.config.Clock.Now()
	l.machine.ObserveFence(known)
	action := l.machine.Next(now)
	_, _, holds := l.machine.Valid(now)
	l.mu.Unlock()
	defer l.notifyChange()
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
	sleepCtx, cancel := context.WithCancel(ctx)
	w := &waker{wake: l.wake, cancel: cancel, done: make(chan struct{})}
	go w.run(sleepCtx)
	_ = l.config.Clock.Sleep(sleepCtx, d)
	cancel()
	<-w.done
	if w.woken {
		l.mu.Lock()
		l.machine.RequestRead()
		l.mu.Unlock()
	}
}

// waker interrupts a sleep when RequestRead is called.
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
	l.machine.OnRead(now, value, Stored{Version: row.Version, Era: row.Era})
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
		Era:        action.Era,
	})
	switch {
	case err == nil:
		return Written
	case errors.Is(err, table.ErrEraChanged):
		return EraChanged
	case errors.Is(err, table.ErrConflict):
		return Conflicted
	case errors.Is(err, table.ErrUnavailable):
		return NotWritten
	}
	return Unknown
}

// callContext limits a table call to a third of the TTL, so that a call that
// hangs leaves time for a retry before the lease expires.
func (l *Lease) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, (l.config.TTL / renewalsPerTTL).Duration())
}

// notifyChange closes the channel of Changed if the lease was acquired or lost.
func (l *Lease) notifyChange() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _, holding := l.machine.Valid(l.config.Clock.Now())
	if holding == l.wasHolding {
		return
	}
	l.wasHolding = holding
	close(l.changed)
	l.changed = make(chan struct{})
}
