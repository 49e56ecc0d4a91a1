package claim

import (
	"context"
	"crypto/rand"
	"sync"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

// Defaults of Config.
const (
	defaultMaxOperations      = 128
	defaultMaxBytes           = 256 << 10
	defaultMaxAnswerBytes     = 64 << 10
	defaultMaxPendingBytes    = 16 << 20
	defaultMaxPendingReleases = 16384
	defaultMaxInFlight        = 4
	defaultCommitTimeout      = 2 * clock.Second
	defaultEpochLength        = clock.Hour
	defaultRetryDelay         = 50 * clock.Millisecond
)

// maxBackgroundDelay is the longest delay between two attempts to write the
// final record or the tombstone of a claim.
const maxBackgroundDelay = 5 * clock.Second

// maxConcurrentReleases limits the releases in flight, since each reads its row.
const maxConcurrentReleases = 8

// Config configures a Store. Table, Clock, Prefix, EpochKey, Owner and
// Incarnation are required; zero values of the others select the defaults.
type Config struct {
	Table table.Client
	Clock clock.Clock
	// Prefix is the key prefix of all claim rows.
	Prefix string
	// EpochKey is the key of the row that holds the epoch, which a Cleaner
	// advances.
	EpochKey string
	// EpochLength must equal the Cleaner's EpochLength.
	EpochLength clock.Millis
	// Owner and Incarnation identify this process in its claims. The
	// incarnation changes with each start.
	Owner       string
	Incarnation string
	// NewNonce returns a new unique string.
	NewNonce func() string
	// CommitInterval returns the minimum time between the starts of two
	// transactions, see FleetCommitInterval. A backoff is added to it while
	// the table refuses transactions.
	CommitInterval func() clock.Millis
	// Forward sends operations to a Relay in another process and returns their
	// outcomes in the same order. If ok is false, no relay was used and the
	// operations are written directly. It may be nil.
	Forward func(ctx context.Context, ops []Operation) (outcomes []CommitOutcome, ok bool)
	// MaxOperations and MaxBytes bound one transaction.
	MaxOperations int
	MaxBytes      int
	// MaxAnswerBytes is the maximum size of an answer that is kept.
	MaxAnswerBytes int
	// MaxPendingBytes limits the total size of the answers waiting to be
	// written. Answers beyond it are recorded as dropped.
	MaxPendingBytes int
	// MaxPendingReleases limits the releases waiting for the table. At the
	// limit, Claim returns ErrUnavailable.
	MaxPendingReleases int
	// MaxInFlight limits the concurrent transactions.
	MaxInFlight int
	// CommitTimeout bounds one transaction.
	CommitTimeout clock.Millis
	// RetryDelay is the first delay before a failed call is retried. It
	// doubles for background writes.
	RetryDelay clock.Millis
}

// Store creates and ends the claims of one process.
type Store struct {
	cfg     Config
	batcher *batcher
	epochs  *epochCache
	// background is canceled when Run returns, which stops the writes that no
	// caller waits for.
	background       context.Context
	cancel           context.CancelFunc
	backgroundWrites sync.WaitGroup
	// releaseSlots limits the releases in flight.
	releaseSlots chan struct{}

	mu              sync.Mutex
	local           map[string]*localClaim
	pendingBytes    int
	pendingReleases int
}

// localClaim is a claim that this process is creating, holding or ending.
type localClaim struct {
	record    Record
	releasing bool
}

// New returns a Store. Its methods make progress only while Run is running.
func New(cfg Config) *Store {
	setDefaults(&cfg)
	background, cancel := context.WithCancel(context.Background())
	return &Store{
		cfg:     cfg,
		batcher: newBatcher(cfg),
		epochs: &epochCache{
			client: cfg.Table,
			clock:  cfg.Clock,
			key:    cfg.EpochKey,
			maxAge: cfg.EpochLength / 4,
			lock:   make(chan struct{}, 1),
		},
		background:   background,
		cancel:       cancel,
		releaseSlots: make(chan struct{}, maxConcurrentReleases),
		local:        make(map[string]*localClaim),
	}
}

func setDefaults(cfg *Config) {
	setDefault(&cfg.MaxOperations, defaultMaxOperations)
	setDefault(&cfg.MaxBytes, defaultMaxBytes)
	setDefault(&cfg.MaxAnswerBytes, defaultMaxAnswerBytes)
	setDefault(&cfg.MaxPendingBytes, defaultMaxPendingBytes)
	setDefault(&cfg.MaxPendingReleases, defaultMaxPendingReleases)
	setDefault(&cfg.MaxInFlight, defaultMaxInFlight)
	setDefault(&cfg.CommitTimeout, defaultCommitTimeout)
	setDefault(&cfg.EpochLength, defaultEpochLength)
	setDefault(&cfg.RetryDelay, defaultRetryDelay)
	if cfg.NewNonce == nil {
		cfg.NewNonce = rand.Text
	}
	if cfg.CommitInterval == nil {
		cfg.CommitInterval = func() clock.Millis { return 0 }
	}
}

// FleetCommitInterval returns a CommitInterval that limits all processes of a
// fleet together to perSecond transactions a second.
func FleetCommitInterval(processes func() int, perSecond int) func() clock.Millis {
	return func() clock.Millis {
		return clock.Millis(max(1, processes())) * clock.Second / clock.Millis(perSecond)
	}
}

func setDefault[T int | clock.Millis](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Run writes transactions until ctx ends. Claims whose end is not written by
// then stay Claimed in the table; call Flush first to avoid that.
func (s *Store) Run(ctx context.Context) error {
	defer s.cancel()
	s.batcher.loop(ctx)
	return ctx.Err()
}

// Flush waits until all earlier calls of Finish, MarkLost and Release have been
// written.
func (s *Store) Flush(ctx context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "flush claims") }()
	waiter := flushWaiter{store: s, done: make(chan struct{})}
	go waiter.run()
	select {
	case <-waiter.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type flushWaiter struct {
	store *Store
	done  chan struct{}
}

func (w flushWaiter) run() {
	w.store.backgroundWrites.Wait()
	close(w.done)
}

// Claim tries to claim a key until ctx ends. It returns ErrUnavailable if the
// table did not answer by then or too many releases are pending, ErrReleasing
// while this process releases the key, and a *ReusedError if the key was claimed
// for a body with another digest.
func (s *Store) Claim(ctx context.Context, scope, key string, digest [32]byte) (result Result, err error) {
	defer func() { err = oops.Wrapf(err, "claim") }()
	claim := Claim{Scope: scope, Key: key, row: RowKey(s.cfg.Prefix, scope, key)}
	epoch, err := s.epoch(ctx)
	if err != nil {
		return Result{}, ErrUnavailable
	}
	claim.Record = Record{
		State:       Claimed,
		Nonce:       s.cfg.NewNonce(),
		Owner:       s.cfg.Owner,
		Incarnation: s.cfg.Incarnation,
		Digest:      digest,
		Epoch:       epoch,
	}
	if other, err := s.register(claim); err != nil || other.State != "" {
		return existingResult(claim, other, err)
	}
	attempt := NewAttempt(claim.Record)
	s.runAttempt(ctx, claim.row, attempt, s.cfg.RetryDelay)
	switch {
	case attempt.Verdict == Written:
		return Result{Outcome: Won, Claim: claim}, nil
	case attempt.OutcomeUnknown:
		s.Release(claim)
		return Result{}, ErrUnavailable
	}
	s.unregister(claim)
	if attempt.Verdict == Undecided {
		return Result{}, ErrUnavailable
	}
	return existingResult(claim, attempt.ExistingRecord, nil)
}

// epoch returns the table's epoch, retrying until ctx ends.
func (s *Store) epoch(ctx context.Context) (epoch uint64, err error) {
	for {
		epoch, err = s.epochs.get(ctx)
		if err == nil {
			return epoch, nil
		}
		if s.cfg.Clock.Sleep(ctx, s.cfg.RetryDelay) != nil {
			return 0, err
		}
	}
}

func existingResult(claim Claim, other Record, err error) (Result, error) {
	if err != nil {
		return Result{}, err
	}
	if other.Digest != claim.Record.Digest {
		return Result{}, &ReusedError{Scope: claim.Scope, Key: claim.Key}
	}
	return Result{Outcome: Existing, Record: other}, nil
}

// register adds the claim to the local claims. If this process already has a
// claim of the same key, register returns its record instead.
func (s *Store) register(claim Claim) (other Record, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held, found := s.local[claim.row]; found {
		if held.releasing {
			return Record{}, ErrReleasing
		}
		return held.record, nil
	}
	if s.pendingReleases >= s.cfg.MaxPendingReleases {
		return Record{}, ErrUnavailable
	}
	s.local[claim.row] = &localClaim{record: claim.Record}
	return Record{}, nil
}

func (s *Store) unregister(claim Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.local, claim.row)
}

// runAttempt performs the actions of an attempt until it is done or ctx ends. The
// delay after failures doubles up to maxDelay.
func (s *Store) runAttempt(ctx context.Context, row string, attempt *Attempt, maxDelay clock.Millis) {
	delay := s.cfg.RetryDelay
	action := attempt.Start()
	for action != ActionDone {
		switch action {
		case ActionWrite:
			action = attempt.OnCommit(s.batcher.submit(ctx, &operation{
				write:       table.Write{Key: row, Value: encode(attempt.Record)},
				conditional: true,
				version:     attempt.Version,
			}))
		case ActionRead:
			action = s.read(ctx, row, attempt)
		default:
			if s.cfg.Clock.Sleep(ctx, delay) != nil {
				return
			}
			delay = min(2*delay, maxDelay)
			action = attempt.Resume()
		}
		if ctx.Err() != nil && action != ActionDone {
			return
		}
	}
}

func (s *Store) read(ctx context.Context, key string, attempt *Attempt) Action {
	row, err := s.cfg.Table.Get(ctx, key)
	if err != nil {
		return attempt.OnReadFailed()
	}
	record, err := decode(row)
	if err != nil {
		return attempt.OnReadFailed()
	}
	return attempt.OnRow(row.Version, record)
}

// LocalRecord returns this process's record of a claim that it is creating,
// holding or ending. It serves other processes that read the claim in the table
// and ask its owner for the current state.
func (s *Store) LocalRecord(scope, key, nonce string) (record Record, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	local := s.local[RowKey(s.cfg.Prefix, scope, key)]
	if local == nil || local.record.Nonce != nonce {
		return Record{}, false
	}
	record = local.record
	if local.releasing {
		record.State = Released
	}
	return record, true
}

// Incarnation returns the identifier of this run of the process.
func (s *Store) Incarnation() string {
	return s.cfg.Incarnation
}

// Lookup reads the record of a key from the table. The State of a key that was
// never claimed is empty.
func (s *Store) Lookup(ctx context.Context, scope, key string) (record Record, err error) {
	defer func() { err = oops.Wrapf(err, "look up claim") }()
	row, err := s.cfg.Table.Get(ctx, RowKey(s.cfg.Prefix, scope, key))
	if err != nil {
		return Record{}, err
	}
	return decode(row)
}
