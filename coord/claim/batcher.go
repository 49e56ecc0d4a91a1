package claim

import (
	"context"
	"errors"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

// maxSharedConflicts is how many shared transactions of an operation may
// conflict because of other operations before the operation is sent alone.
const maxSharedConflicts = 3

// operation is a queued write of one row.
type operation struct {
	write table.Write
	// conditional operations apply only if the row has the given version.
	conditional bool
	version     uint64
	conflicts   int
	done        chan CommitOutcome
}

func (o *operation) size() int {
	return len(o.write.Key) + len(o.write.Value)
}

// batcher groups operations into transactions. The capacity of slots limits the
// transactions in flight; consecutive ones start at least interval apart.
type batcher struct {
	client   table.Client
	forward  func(ctx context.Context, ops []Operation) (outcomes []CommitOutcome, ok bool)
	clock    clock.Clock
	interval func() clock.Millis
	timeout  clock.Millis
	maxCount int
	maxBytes int
	slots    chan struct{}
	wake     chan struct{}

	mu      sync.Mutex
	queue   []*operation
	stopped bool
	// backoff is added to the interval while the table refuses transactions.
	backoff clock.Millis
}

const (
	// minBackoff and maxBackoff bound the delay added to the interval. It
	// doubles with each refused transaction and halves with any other result.
	minBackoff = 10 * clock.Millisecond
	maxBackoff = 250 * clock.Millisecond
)

func newBatcher(cfg Config) *batcher {
	return &batcher{
		client:   cfg.Table,
		forward:  cfg.Forward,
		clock:    cfg.Clock,
		interval: cfg.CommitInterval,
		timeout:  cfg.CommitTimeout,
		maxCount: cfg.MaxOperations,
		maxBytes: cfg.MaxBytes,
		slots:    make(chan struct{}, cfg.MaxInFlight),
		wake:     make(chan struct{}, 1),
	}
}

// submit queues an operation and waits for its outcome. If ctx ends first, the
// outcome is NotApplied for an operation still queued, otherwise Unanswered.
func (b *batcher) submit(ctx context.Context, op *operation) CommitOutcome {
	op.done = make(chan CommitOutcome, 1)
	if !b.enqueue(op) {
		return NotApplied
	}
	select {
	case outcome := <-op.done:
		return outcome
	case <-ctx.Done():
	}
	if b.removeQueued(op) {
		return NotApplied
	}
	select {
	case outcome := <-op.done:
		return outcome
	default:
		return Unanswered
	}
}

func (b *batcher) enqueue(ops ...*operation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return false
	}
	b.queue = append(b.queue, ops...)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return true
}

func (b *batcher) removeQueued(op *operation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, queued := range b.queue {
		if queued == op {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return true
		}
	}
	return false
}

// nextBatch removes the operations of the next transaction from the queue. No
// two of them write the same row, and an operation that has reached
// maxSharedConflicts gets a transaction to itself.
func (b *batcher) nextBatch() (batch []*operation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rows := make(map[string]bool)
	bytes := 0
	var rest []*operation
	for _, op := range b.queue {
		alone := op.conflicts >= maxSharedConflicts
		full := len(batch) >= b.maxCount || (len(batch) > 0 && (alone || bytes+op.size() > b.maxBytes))
		if full || rows[op.write.Key] {
			rest = append(rest, op)
			continue
		}
		batch = append(batch, op)
		rows[op.write.Key] = true
		bytes += op.size()
		if alone {
			bytes = b.maxBytes
		}
	}
	b.queue = rest
	return batch
}

// loop batches queued operations into transactions until ctx ends.
func (b *batcher) loop(ctx context.Context) {
	defer b.stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		if !b.drain(ctx) {
			return
		}
	}
}

func (b *batcher) drain(ctx context.Context) bool {
	for {
		select {
		case b.slots <- struct{}{}:
		case <-ctx.Done():
			return false
		}
		batch := b.nextBatch()
		if len(batch) == 0 {
			<-b.slots
			return true
		}
		go b.run(batch)
		if err := b.clock.Sleep(ctx, b.interval()+b.currentBackoff()); err != nil {
			return false
		}
	}
}

func (b *batcher) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	for _, op := range b.queue {
		op.done <- NotApplied
	}
	b.queue = nil
}

// run executes one transaction. It uses its own context instead of a caller's,
// since the batch holds operations of many callers.
func (b *batcher) run(batch []*operation) {
	defer func() { <-b.slots }()
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout.Duration())
	defer cancel()
	if b.tryForward(ctx, batch) {
		return
	}
	err := b.client.Commit(ctx, transaction(batch))
	b.adjustBackoff(errors.Is(err, table.ErrUnavailable))
	switch {
	case err == nil:
		complete(batch, Committed)
	case errors.Is(err, table.ErrConflict):
		b.resolveConflict(ctx, batch)
	case errors.Is(err, table.ErrUnavailable):
		complete(batch, NotApplied)
	default:
		complete(batch, Unanswered)
	}
}

// tryForward sends the batch to a relay. It returns false if no relay is in use.
func (b *batcher) tryForward(ctx context.Context, batch []*operation) bool {
	if b.forward == nil {
		return false
	}
	ops := make([]Operation, len(batch))
	for i, op := range batch {
		ops[i] = Operation{Key: op.write.Key, Value: op.write.Value, Conditional: op.conditional, Version: op.version}
	}
	outcomes, ok := b.forward(ctx, ops)
	if !ok {
		return false
	}
	for i, op := range batch {
		outcome := Unanswered
		if i < len(outcomes) {
			outcome = outcomes[i]
		}
		op.done <- outcome
	}
	return true
}

func (b *batcher) currentBackoff() clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.backoff
}

// adjustBackoff raises the backoff after a refused transaction and lowers it
// after any other result.
func (b *batcher) adjustBackoff(refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case refused:
		b.backoff = min(max(2*b.backoff, minBackoff), maxBackoff)
	case b.backoff <= minBackoff:
		b.backoff = 0
	default:
		b.backoff /= 2
	}
}

func transaction(batch []*operation) (txn table.Txn) {
	for _, op := range batch {
		if op.conditional {
			txn.Conditions = append(txn.Conditions, table.Condition{Key: op.write.Key, Version: op.version})
		}
		txn.Writes = append(txn.Writes, op.write)
	}
	return txn
}

func complete(batch []*operation, outcome CommitOutcome) {
	for _, op := range batch {
		op.done <- outcome
	}
}

// resolveConflict reads the rows of a transaction that conflicted. Operations
// whose condition does not hold end as Conflicted; the others are queued again.
func (b *batcher) resolveConflict(ctx context.Context, batch []*operation) {
	if len(batch) == 1 {
		complete(batch, Conflicted)
		return
	}
	conditionsHold := make([]bool, len(batch))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConflictReads)
	for i, op := range batch {
		group.Go(func() error {
			conditionsHold[i] = b.conditionHolds(ctx, op)
			return nil
		})
	}
	_ = group.Wait()
	var requeued []*operation
	for i, op := range batch {
		if !conditionsHold[i] {
			op.done <- Conflicted
			continue
		}
		op.conflicts++
		requeued = append(requeued, op)
	}
	if len(requeued) > 0 && !b.enqueue(requeued...) {
		complete(requeued, NotApplied)
	}
}

// maxConflictReads is the number of rows read concurrently to find the
// operations that made a transaction conflict.
const maxConflictReads = 8

// conditionHolds reports whether the operation's condition holds. It returns
// true if the row cannot be read, which only costs another transaction.
func (b *batcher) conditionHolds(ctx context.Context, op *operation) bool {
	if !op.conditional {
		return true
	}
	row, err := b.client.Get(ctx, op.write.Key)
	return err != nil || row.Version == op.version
}
