// Package follow replicates the configuration log to the configuration state
// of this daemon and writes the changes of operators to the log.
//
// One or two daemons of each failure domain, the relays, read the log from the
// store. The relays push new changes to the other daemons. In addition, each
// daemon checks with a relay once a second, which delivers changes whose push
// was lost. A daemon whose state may be stale reads the store itself, at random
// times.
//
// The freshness time of a daemon is the time before which every accepted change
// is known to be applied. Daemons exchange it as an age in their replies. The
// receiver subtracts this age from the time at which it sent its request, so
// that a delay can only make the state look older.
//
// The withdrawal of a key is sent to every live daemon before the store has
// answered, and each daemon denies the key at once. The key stays denied while
// the outcome is unknown or the store is down. Any daemon that has the pending
// withdrawal writes it to the log once it reaches the store.
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
//	case errors.Is(err, follow.ErrConflict): // someone else changed the entity
//	case errors.Is(err, follow.ErrUnavailable): // nothing was written
//	case errors.Is(err, follow.ErrUnknown): // propose it again with the same request ID
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

// Errors returned by Ready.
var (
	// ErrStarting is returned until a head of the log is known.
	ErrStarting = errors.New("follow: configuration is not loaded")
	// ErrIsolated is returned if neither the store nor any other daemon
	// answers.
	ErrIsolated = errors.New("follow: cut off from the store and from all daemons")
	// ErrMinority is returned if the store does not answer and at least half
	// of the daemons are unreachable.
	ErrMinority = errors.New("follow: cut off from the store and from half of the daemons")
	// ErrBehind is returned if this daemon has acknowledged a change but not
	// applied it yet.
	ErrBehind = errors.New("follow: an acknowledged change is not applied yet")
)

// Timing holds the intervals and timeouts of a Follower.
type Timing struct {
	// PollInterval is the interval at which relays read the store.
	PollInterval clock.Millis
	// CheckInterval is the interval at which a daemon checks with a relay.
	CheckInterval clock.Millis
	// PeerCallTimeout limits one call to a peer.
	PeerCallTimeout clock.Millis
	// StoreCallTimeout limits one read of the store, and one write of a
	// pending withdrawal.
	StoreCallTimeout clock.Millis
	// StaleAge is the age of the freshness time above which a daemon that is
	// not a relay reads the store itself.
	StaleAge clock.Millis
	// IsolationAge is the age of the freshness time above which the store
	// counts as unreachable, and the age of the last contact above which a
	// daemon counts as isolated.
	IsolationAge clock.Millis
	// ConfirmTimeout limits the wait for confirmations of a change.
	ConfirmTimeout clock.Millis
	// WithdrawalTimeout limits the wait for the store before a withdrawal is
	// reported as pending.
	WithdrawalTimeout clock.Millis
	// AdoptDelay is the time after which a relay writes a pending withdrawal
	// that another daemon accepted.
	AdoptDelay clock.Millis
}

// DefaultTiming returns the intervals and timeouts for production.
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

// Config holds the settings and dependencies of a Follower. All fields must be
// set.
type Config struct {
	// ID and FailureDomain identify this daemon.
	ID            string
	FailureDomain string
	State         *state.State
	Log           *changelog.Log
	Clock         clock.Clock
	Logger        logrus.FieldLogger
	// Rand adds jitter to the intervals and selects peers.
	Rand *rand.Rand
	// View returns the known members, including this daemon.
	View func() []member.Member
	// MemberCounts returns the numbers of live and of expected daemons,
	// including this one.
	MemberCounts func() (live, known int)
	// SnapshotEvery is the number of changes after which a new snapshot is
	// saved.
	SnapshotEvery uint64
	Timing        Timing
}

// Follower applies the changes of the log to one State.
type Follower struct {
	config Config
	state  *state.State
	clock  clock.Clock
	peers  PeerClient
	recent *recentLog

	// applyMu serializes the application of changes.
	applyMu sync.Mutex

	mu        sync.Mutex
	freshness freshness
	// acknowledged is the highest sequence of a change that this daemon made
	// for an operator or wrote for a pending withdrawal.
	acknowledged uint64
	// peerSequences holds the highest sequence known to be applied by each
	// peer.
	peerSequences map[string]uint64
	denials       denials
	checkNow      chan struct{}
	pushNow       chan struct{}
}

// New returns a Follower that applies config.Log to config.State.
func New(config Config) *Follower {
	return &Follower{
		config:        config,
		state:         config.State,
		clock:         config.Clock,
		recent:        newRecentLog(),
		peerSequences: make(map[string]uint64),
		denials:       newDenials(),
		checkNow:      make(chan struct{}, 1),
		pushNow:       make(chan struct{}, 1),
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

// Ready returns nil if requests may be served with the current state, or the
// reason why they must be rejected.
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
	case fresh.hasFreshAsOf && now-fresh.freshAsOf <= f.config.Timing.IsolationAge:
		return nil
	}
	live, known := f.config.MemberCounts()
	switch {
	case known <= 1:
		return nil
	case !fresh.hasContact || now-fresh.lastContact > f.config.Timing.IsolationAge:
		return ErrIsolated
	case 2*live <= known:
		return ErrMinority
	}
	return nil
}

// Age returns the age of the freshness time: every change accepted longer ago
// is applied. The second result is false until the freshness time is known.
func (f *Follower) Age() (clock.Millis, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freshness.age(f.clock.Now())
}

// StoreReachable reports whether the age of the freshness time is at most
// Timing.IsolationAge: the store has recently answered this daemon or another
// one whose age reached it through checks.
func (f *Follower) StoreReachable() bool {
	age, known := f.Age()
	return known && age <= f.config.Timing.IsolationAge
}

// PendingWithdrawals returns the number of withdrawals that are in force but
// not known to be in the log.
func (f *Follower) PendingWithdrawals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.denials.pending)
}

// DaemonSequences returns the highest sequence that each daemon, including this
// one, is known to have applied.
func (f *Follower) DaemonSequences() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := make(map[string]uint64, len(f.peerSequences)+1)
	for id, sequence := range f.peerSequences {
		known[id] = sequence
	}
	known[f.config.ID] = f.state.Sequence()
	return known
}

// NotifySequence reports that some daemon has applied the sequence. If this
// daemon has not, it checks with a peer at once.
func (f *Follower) NotifySequence(sequence uint64) {
	if sequence > f.state.Sequence() {
		signal(f.checkNow)
	}
}

// jitter returns a random duration between 3/4 and 5/4 of d.
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

// wait returns after d, when wake is signaled or when ctx ends.
func (f *Follower) wait(ctx context.Context, d clock.Millis, wake <-chan struct{}) error {
	sleepCtx, cancel := context.WithCancel(ctx)
	w := &waker{wake: wake, cancel: cancel, done: make(chan struct{})}
	go w.run(sleepCtx)
	_ = f.clock.Sleep(sleepCtx, d)
	cancel()
	<-w.done
	return ctx.Err()
}

// waker cancels a sleep when a channel is signaled.
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
