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
	defaultMaxOperations = 128
	defaultMaxBytes      = 256 << 10
	defaultMaxAnswer     = 64 << 10
	defaultMaxPending    = 16 << 20
	defaultMaxReleases   = 16384
	defaultParallel      = 4
	defaultTimeout       = 2 * clock.Second
	defaultEpochLength   = clock.Hour
	defaultPause         = 50 * clock.Millisecond
)

// maxBackgroundPause is the longest time between two attempts to write the end
// of a claim.
const maxBackgroundPause = 5 * clock.Second

// maxReleasesAtOnce is how many releases are under way at the same time; each
// reads its row.
const maxReleasesAtOnce = 8

// Config configures a Store. Table, Clock, Prefix, EpochKey, Owner and
// Incarnation must be set; zero values of the others stand for the defaults.
type Config struct {
	Table table.Client
	Clock clock.Clock
	// Prefix starts the key of every claim's row.
	Prefix string
	// EpochKey is the row that holds the epoch, which a Cleaner moves on.
	EpochKey string
	// EpochLength is the length that the Cleaner is configured with.
	EpochLength clock.Millis
	// Owner and Incarnation name this process in its claims. The incarnation
	// is new at each start.
	Owner       string
	Incarnation string
	// NewNonce returns a new unique text.
	NewNonce func() string
	// CommitInterval returns the least time between the starts of two transactions, see
	// FleetCommitInterval. While the table refuses transactions the time is longer.
	CommitInterval func() clock.Millis
	// Forward hands operations to a Relay in another process and returns their
	// outcomes in the same sequence. ok is false when no relay is to be used
	// now; the operations are then written directly. It may be nil.
	Forward func(ctx context.Context, ops []Operation) (outcomes []CommitOutcome, ok bool)
	// MaxOperations and MaxBytes bound one transaction.
	MaxOperations int
	MaxBytes      int
	// MaxAnswerBytes is the greatest size of an answer that is kept.
	MaxAnswerBytes int
	// MaxPendingBytes bounds the bytes of answers that wait to be written. Answers
	// beyond it are recorded as dropped.
	MaxPendingBytes int
	// MaxPendingReleases bounds the releases that wait for the table. While they are
	// that many no claim is attempted.
	MaxPendingReleases int
	// MaxInFlight is how many transactions may be under way at the same time.
	MaxInFlight int
	// CommitTimeout bounds one transaction.
	CommitTimeout clock.Millis
	// RetryDelay is the time between two attempts while the table fails.
	RetryDelay clock.Millis
}

// Store makes and ends the claims of one process.
type Store struct {
	cfg     Config
	batcher *batcher
	epochs  *epochs
	// background ends with Run and bounds the writes that no caller waits for.
	background context.Context
	cancel     context.CancelFunc
	endings    sync.WaitGroup
	// releaseSlots bounds the releases that are under way.
	releaseSlots chan struct{}

	mu       sync.Mutex
	local    map[string]*localClaim
	pending  int
	releases int
}

// localClaim is a claim of this process that is being made, used or ended.
type localClaim struct {
	record    Record
	releasing bool
}

// New returns a Store. Run must be running for its other methods to progress.
func New(cfg Config) *Store {
	setDefaults(&cfg)
	background, cancel := context.WithCancel(context.Background())
	return &Store{
		cfg:     cfg,
		batcher: newBatcher(cfg),
		epochs: &epochs{
			client: cfg.Table,
			clock:  cfg.Clock,
			key:    cfg.EpochKey,
			maxAge: cfg.EpochLength / 4,
			gate:   make(chan struct{}, 1),
		},
		background:   background,
		cancel:       cancel,
		releaseSlots: make(chan struct{}, maxReleasesAtOnce),
		local:        make(map[string]*localClaim),
	}
}

func setDefaults(cfg *Config) {
	setDefault(&cfg.MaxOperations, defaultMaxOperations)
	setDefault(&cfg.MaxBytes, defaultMaxBytes)
	setDefault(&cfg.MaxAnswerBytes, defaultMaxAnswer)
	setDefault(&cfg.MaxPendingBytes, defaultMaxPending)
	setDefault(&cfg.MaxPendingReleases, defaultMaxReleases)
	setDefault(&cfg.MaxInFlight, defaultParallel)
	setDefault(&cfg.CommitTimeout, defaultTimeout)
	setDefault(&cfg.EpochLength, defaultEpochLength)
	setDefault(&cfg.RetryDelay, defaultPause)
	if cfg.NewNonce == nil {
		cfg.NewNonce = rand.Text
	}
	if cfg.CommitInterval == nil {
		cfg.CommitInterval = func() clock.Millis { return 0 }
	}
}

// FleetCommitInterval returns a CommitInterval by which the processes of a fleet together write
// perSecond transactions a second at most.
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

// Run writes the transactions until ctx ends. Claims that were not ended by then
// stay in the table as Claimed; call Flush before.
func (s *Store) Run(ctx context.Context) error {
	defer s.cancel()
	s.batcher.loop(ctx)
	return ctx.Err()
}

// Flush waits until every Finish, MarkLost and Release so far has been written.
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
	w.store.endings.Wait()
	close(w.done)
}

// Claim tries to claim a key until ctx ends. It returns ErrUnavailable when the
// table did not answer by then, and a *ReusedError when the key was claimed for
// a body of another digest.
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
	if other, err := s.enter(claim); err != nil || other.State != "" {
		return existing(claim, other, err)
	}
	attempt := NewAttempt(claim.Record)
	s.drive(ctx, claim.row, attempt, s.cfg.RetryDelay)
	switch {
	case attempt.Verdict == Written:
		return Result{Outcome: Won, Claim: claim}, nil
	case attempt.OutcomeUnknown:
		s.Release(claim)
		return Result{}, ErrUnavailable
	}
	s.leave(claim)
	if attempt.Verdict == Undecided {
		return Result{}, ErrUnavailable
	}
	return existing(claim, attempt.ExistingRecord, nil)
}

// epoch returns the table's epoch, trying again until ctx ends.
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

func existing(claim Claim, other Record, err error) (Result, error) {
	if err != nil {
		return Result{}, err
	}
	if other.Digest != claim.Record.Digest {
		return Result{}, &ReusedError{Scope: claim.Scope, Key: claim.Key}
	}
	return Result{Outcome: Existing, Record: other}, nil
}

// enter notes the claim in the process. It returns the record of a claim of the
// same key that the process holds already.
func (s *Store) enter(claim Claim) (other Record, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held, found := s.local[claim.row]; found {
		if held.releasing {
			return Record{}, ErrReleasing
		}
		return held.record, nil
	}
	if s.releases >= s.cfg.MaxPendingReleases {
		return Record{}, ErrUnavailable
	}
	s.local[claim.row] = &localClaim{record: claim.Record}
	return Record{}, nil
}

func (s *Store) leave(claim Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.local, claim.row)
}

// drive carries out the actions of an attempt until it is done or ctx ends. The
// pause between failures doubles up to maxPause.
func (s *Store) drive(ctx context.Context, row string, attempt *Attempt, maxPause clock.Millis) {
	pause := s.cfg.RetryDelay
	action := attempt.Start()
	for action != ActionDone {
		switch action {
		case ActionWrite:
			action = attempt.OnCommit(s.batcher.do(ctx, &operation{
				write:       table.Write{Key: row, Value: encode(attempt.Record)},
				conditional: true,
				version:     attempt.Version,
			}))
		case ActionRead:
			action = s.read(ctx, row, attempt)
		default:
			if s.cfg.Clock.Sleep(ctx, pause) != nil {
				return
			}
			pause = min(2*pause, maxPause)
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

// LocalRecord returns the record of a claim that this process has won or is ending. It
// tells a process that met the claim in the table what has become of it.
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

// Incarnation returns the name of this start of the process.
func (s *Store) Incarnation() string {
	return s.cfg.Incarnation
}

// Lookup reads what is recorded about a key. A key that was never claimed has
// an empty State.
func (s *Store) Lookup(ctx context.Context, scope, key string) (record Record, err error) {
	defer func() { err = oops.Wrapf(err, "look up claim") }()
	row, err := s.cfg.Table.Get(ctx, RowKey(s.cfg.Prefix, scope, key))
	if err != nil {
		return Record{}, err
	}
	return decode(row)
}
