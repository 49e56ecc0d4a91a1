// Package follow keeps the configuration state of this daemon in step with the
// configuration log, and makes changes for operators.
//
// One or two daemons of each failure domain, the relays, read the log from the
// store. All others learn of changes from their relays: new changes are pushed
// to them, and once a second each daemon checks with a relay, which repairs
// what a lost push left out. A daemon whose evidence is too old reads the
// store itself, at random times.
//
// Evidence of freshness is the instant before which every accepted change is
// known to be applied. Between daemons it travels as an age within an answer,
// and the receiver counts it from before it asked, so that delays only make it
// older.
//
// A key's withdrawal is pushed to every live daemon before the store has
// answered, and denied there at once. While the outcome is unknown or the
// store is down it stays denied, and whichever holder reaches the store first
// writes it.
//
// # Usage
//
//	f := follow.New(follow.Config{ID: "vm-1", FailureDomain: "sask-central-a", State: s, Log: log,
//		Clock: clk, Logger: logger, Rand: rng, View: members.View, MemberCounts: members.MemberCounts})
//	f.Register(l) // before l.Start
//	go f.Run(ctx)
//
//	if err := f.Ready(); err != nil { ... refuse new requests, they have not run ... }
//
//	outcome, err := f.Propose(ctx, follow.Proposal{...})
//	switch {
//	case errors.Is(err, follow.ErrConflict): // somebody else changed the entity
//	case errors.Is(err, follow.ErrUnavailable): // nothing was written
//	case errors.Is(err, follow.ErrUnknown): // propose it again with the same request id
//	case outcome.Pending: // a withdrawal that is in force but not in the store yet
//	}
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/config/state"
)

// Errors of Ready.
var (
	// ErrStarting says that no head of the log is known yet.
	ErrStarting = errors.New("follow: configuration is not loaded")
	// ErrIsolated says that neither the store nor any other daemon answers.
	ErrIsolated = errors.New("follow: cut off from the store and from all daemons")
	// ErrMinority says that the store does not answer and that half of the
	// daemons or more are out of reach.
	ErrMinority = errors.New("follow: cut off from the store and from half of the daemons")
	// ErrBehind says that a change that this daemon acknowledged is not
	// applied yet.
	ErrBehind = errors.New("follow: an acknowledged change is not applied yet")
)

// Timing holds the intervals and bounds of a Follower.
type Timing struct {
	// PollInterval is the interval at which relays read the store.
	PollInterval clock.Millis
	// CheckInterval is the interval at which a daemon checks with a relay.
	CheckInterval clock.Millis
	// PeerCallTimeout bounds one call of a peer.
	PeerCallTimeout clock.Millis
	// StoreCallTimeout bounds one read of the store.
	StoreCallTimeout clock.Millis
	// StaleAge is the age of evidence from which a daemon reads the store
	// itself.
	StaleAge clock.Millis
	// IsolationAge is the age of the last contact from which a daemon that
	// reaches nobody is not ready.
	IsolationAge clock.Millis
	// ConfirmTimeout bounds the wait for confirmations of a change.
	ConfirmTimeout clock.Millis
	// WithdrawalTimeout bounds the wait for the store before a withdrawal is
	// reported as pending.
	WithdrawalTimeout clock.Millis
	// AdoptDelay is how long a relay leaves a pending withdrawal to the daemon
	// that accepted it.
	AdoptDelay clock.Millis
}

// DefaultTiming returns the intervals and bounds for production.
func DefaultTiming() Timing {
	return Timing{
		PollInterval:      clock.Second,
		CheckInterval:     clock.Second,
		PeerCallTimeout:   700 * clock.Millisecond,
		StoreCallTimeout:  2 * clock.Second,
		StaleAge:          2500 * clock.Millisecond,
		IsolationAge:      3 * clock.Second,
		ConfirmTimeout:    2 * clock.Second,
		WithdrawalTimeout: 2 * clock.Second,
		AdoptDelay:        3 * clock.Second,
	}
}

// Config holds what a Follower depends on. All fields must be set.
type Config struct {
	// ID and FailureDomain are this daemon's own.
	ID            string
	FailureDomain string
	State         *state.State
	Log           *changelog.Log
	Clock         clock.Clock
	Logger        logrus.FieldLogger
	// Rand spreads the intervals.
	Rand *rand.Rand
	// View returns the members that this daemon knows, itself included.
	View func() []member.Member
	// MemberCounts returns how many daemons are alive and how many there should be,
	// this one included.
	MemberCounts func() (live, known int)
	// SnapshotEvery is how many changes follow a snapshot before the next.
	SnapshotEvery uint64
	Timing        Timing
}

// Follower keeps one State in step with the log.
type Follower struct {
	config Config
	state  *state.State
	clock  clock.Clock
	peers  PeerClient
	recent *recent

	// applyMu serializes the application of changes.
	applyMu sync.Mutex

	mu        sync.Mutex
	freshness freshness
	// acknowledged is the greatest sequence that this daemon confirmed.
	acknowledged uint64
	// sequences holds what the peers confirmed last.
	sequences map[string]uint64
	denials   denials
	checkNow  chan struct{}
	pushNow   chan struct{}
}

// New returns a Follower of config.Log that applies to config.State.
func New(config Config) *Follower {
	return &Follower{
		config:    config,
		state:     config.State,
		clock:     config.Clock,
		recent:    newRecent(),
		sequences: make(map[string]uint64),
		denials:   newDenials(),
		checkNow:  make(chan struct{}, 1),
		pushNow:   make(chan struct{}, 1),
	}
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	if err := f.start(ctx); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context) error{
		f.loopPoll, f.loopCheck, f.loopPush, f.loopSettle, f.loopSnapshot,
	} {
		group.Go(func() error { return loop(ctx) })
	}
	return group.Wait()
}

// Ready returns nil when requests may be served under the state, and the
// reason when they must be refused.
func (f *Follower) Ready() error {
	now := f.clock.Now()
	f.mu.Lock()
	fresh := f.freshness
	behind := f.state.Sequence() < f.acknowledged
	f.mu.Unlock()
	switch {
	case !fresh.started:
		return ErrStarting
	case behind:
		return ErrBehind
	case fresh.hasEvidence && now-fresh.evidence <= f.config.Timing.IsolationAge:
		return nil
	}
	live, known := f.config.MemberCounts()
	switch {
	case known <= 1:
		return nil
	case !fresh.hasContact || now-fresh.contact > f.config.Timing.IsolationAge:
		return ErrIsolated
	case 2*live <= known:
		return ErrMinority
	}
	return nil
}

// Age returns the age of the evidence of freshness: every change accepted
// longer ago is applied. It is false before the first evidence.
func (f *Follower) Age() (clock.Millis, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freshness.age(f.clock.Now())
}

// StoreReachable reports whether the store answered, this daemon or one that
// it hears from, within the bound of staleness.
func (f *Follower) StoreReachable() bool {
	age, known := f.Age()
	return known && age <= f.config.Timing.IsolationAge
}

// PendingWithdrawals returns how many withdrawals are in force and not in the store.
func (f *Follower) PendingWithdrawals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.denials.pending)
}

// DaemonSequences returns the last sequence that each peer is known to have applied.
func (f *Follower) DaemonSequences() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := make(map[string]uint64, len(f.sequences)+1)
	for id, sequence := range f.sequences {
		known[id] = sequence
	}
	known[f.config.ID] = f.state.Sequence()
	return known
}

// NotifySequence notes that some daemon has applied the sequence. When it is news, the
// next check is made at once.
func (f *Follower) NotifySequence(sequence uint64) {
	if sequence > f.state.Sequence() {
		signal(f.checkNow)
	}
}

// jitter returns a duration between three quarters and five quarters of d.
func (f *Follower) jitter(d clock.Millis) clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return d*3/4 + clock.Millis(f.config.Rand.Int64N(int64(d/2)+1))
}

func (f *Follower) chance(oneIn int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config.Rand.IntN(oneIn) == 0
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// wait returns after d or when the channel is signalled.
func (f *Follower) wait(ctx context.Context, d clock.Millis, wake <-chan struct{}) error {
	sleeping, cancel := context.WithCancel(ctx)
	w := &waker{wake: wake, cancel: cancel, done: make(chan struct{})}
	go w.run(sleeping)
	_ = f.clock.Sleep(sleeping, d)
	cancel()
	<-w.done
	return ctx.Err()
}

// waker cancels a sleep when a channel is signalled.
type waker struct {
	wake   <-chan struct{}
	cancel context.CancelFunc
	done   chan struct{}
}

func (w *waker) run(ctx context.Context) {
	defer close(w.done)
	select {
	case <-w.wake:
		w.cancel()
	case <-ctx.Done():
	}
}
