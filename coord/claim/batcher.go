package claim

import (
	"context"
	"errors"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

// maxSharedRounds is how often an operation shares a transaction that failed
// because of another operation before it is sent alone.
const maxSharedRounds = 3

// operation is one row to be written.
type operation struct {
	write table.Write
	// conditional operations require that the row has the version.
	conditional bool
	version     uint64
	rounds      int
	done        chan CommitOutcome
}

func (o *operation) size() int {
	return len(o.write.Key) + len(o.write.Value)
}

// batcher groups operations into transactions. At most parallel transactions
// are under way at a time and they start at least pace apart.
type batcher struct {
	client   table.Client
	forward  func(ctx context.Context, ops []Operation) (outcomes []CommitOutcome, ok bool)
	clock    clock.Clock
	pace     func() clock.Millis
	timeout  clock.Millis
	maxCount int
	maxBytes int
	slots    chan struct{}
	wake     chan struct{}

	mu      sync.Mutex
	queue   []*operation
	stopped bool
	// strain is added to the pace while the table refuses transactions.
	strain clock.Millis
}

const (
	// minStrain and maxStrain bound what is added to the pace after refusals:
	// it doubles with each and halves with each transaction that is taken.
	minStrain = 10 * clock.Millisecond
	maxStrain = 250 * clock.Millisecond
)

func newBatcher(cfg Config) *batcher {
	return &batcher{
		client:   cfg.Table,
		forward:  cfg.Forward,
		clock:    cfg.Clock,
		pace:     cfg.CommitInterval,
		timeout:  cfg.CommitTimeout,
		maxCount: cfg.MaxOperations,
		maxBytes: cfg.MaxBytes,
		slots:    make(chan struct{}, cfg.MaxInFlight),
		wake:     make(chan struct{}, 1),
	}
}

// do queues an operation and waits for its outcome. When ctx ends first, the
// outcome is NotApplied if the operation was still queued, otherwise Unanswered.
func (b *batcher) do(ctx context.Context, op *operation) CommitOutcome {
	op.done = make(chan CommitOutcome, 1)
	if !b.enqueue(op) {
		return NotApplied
	}
	select {
	case outcome := <-op.done:
		return outcome
	case <-ctx.Done():
	}
	if b.withdraw(op) {
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

func (b *batcher) withdraw(op *operation) bool {
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

// take removes the next operations from the queue. No two of them write the
// same row, and an operation that failed too often in company goes alone.
func (b *batcher) take() (batch []*operation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rows := make(map[string]bool)
	bytes := 0
	var rest []*operation
	for _, op := range b.queue {
		alone := op.rounds >= maxSharedRounds
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

// loop forms transactions until ctx ends.
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
		batch := b.take()
		if len(batch) == 0 {
			<-b.slots
			return true
		}
		go b.run(batch)
		if err := b.clock.Sleep(ctx, b.pace()+b.strained()); err != nil {
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

// run executes one transaction. It is not bound to the context of a caller,
// since it carries the operations of many.
func (b *batcher) run(batch []*operation) {
	defer func() { <-b.slots }()
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout.Duration())
	defer cancel()
	if b.forwarded(ctx, batch) {
		return
	}
	err := b.client.Commit(ctx, transaction(batch))
	b.feel(errors.Is(err, table.ErrUnavailable))
	switch {
	case err == nil:
		settle(batch, Committed)
	case errors.Is(err, table.ErrConflict):
		b.separate(ctx, batch)
	case errors.Is(err, table.ErrUnavailable):
		settle(batch, NotApplied)
	default:
		settle(batch, Unanswered)
	}
}

// forwarded hands the batch to a relay, if there is one to be used.
func (b *batcher) forwarded(ctx context.Context, batch []*operation) bool {
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

func (b *batcher) strained() clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.strain
}

// feel adapts the strain to whether a transaction was refused.
func (b *batcher) feel(refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case refused:
		b.strain = min(max(2*b.strain, minStrain), maxStrain)
	case b.strain <= minStrain:
		b.strain = 0
	default:
		b.strain /= 2
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

func settle(batch []*operation, outcome CommitOutcome) {
	for _, op := range batch {
		op.done <- outcome
	}
}

// separate reads the rows of a transaction that conflicted. The operations whose
// condition does not hold are told so, the others are queued again.
func (b *batcher) separate(ctx context.Context, batch []*operation) {
	if len(batch) == 1 {
		settle(batch, Conflicted)
		return
	}
	holds := make([]bool, len(batch))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxSeparateReads)
	for i, op := range batch {
		group.Go(func() error {
			holds[i] = b.holds(ctx, op)
			return nil
		})
	}
	_ = group.Wait()
	var again []*operation
	for i, op := range batch {
		if !holds[i] {
			op.done <- Conflicted
			continue
		}
		op.rounds++
		again = append(again, op)
	}
	if len(again) > 0 && !b.enqueue(again...) {
		settle(again, NotApplied)
	}
}

// maxSeparateReads is how many rows are read at the same time to find the
// operation that made a transaction conflict.
const maxSeparateReads = 8

// holds reports whether the operation's condition holds, and true when that
// cannot be found out, which only costs another round.
func (b *batcher) holds(ctx context.Context, op *operation) bool {
	if !op.conditional {
		return true
	}
	row, err := b.client.Get(ctx, op.write.Key)
	return err != nil || row.Version == op.version
}
