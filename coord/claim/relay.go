package claim

import (
	"context"
	"sync"

	"github.com/banyanshift/banyanshift/coord/table"
)

// Operation is a write of one row on behalf of another process.
type Operation struct {
	Key   string
	Value []byte
	// Conditional operations apply only if the row has the given Version.
	Conditional bool
	Version     uint64
}

// Relay batches the operations of many processes into shared transactions, so
// that a large fleet needs few of them. It makes no decisions: a lost answer of
// a relay is handled like a lost answer of the table.
type Relay struct {
	batcher *batcher
}

// NewRelay returns a Relay. It uses only the fields of cfg that concern the table
// and its transactions. Submit makes progress only while Run is running.
func NewRelay(cfg Config) *Relay {
	setDefaults(&cfg)
	cfg.Forward = nil
	return &Relay{batcher: newBatcher(cfg)}
}

// Run writes transactions until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	r.batcher.loop(ctx)
	return ctx.Err()
}

// Submit writes operations and returns their outcomes in the same order.
func (r *Relay) Submit(ctx context.Context, ops []Operation) []CommitOutcome {
	outcomes := make([]CommitOutcome, len(ops))
	var waiting sync.WaitGroup
	for i, op := range ops {
		waiting.Add(1)
		go submission{relay: r, op: op, outcome: &outcomes[i], done: &waiting}.run(ctx)
	}
	waiting.Wait()
	return outcomes
}

// submission waits for the outcome of one operation.
type submission struct {
	relay   *Relay
	op      Operation
	outcome *CommitOutcome
	done    *sync.WaitGroup
}

func (s submission) run(ctx context.Context) {
	defer s.done.Done()
	*s.outcome = s.relay.batcher.submit(ctx, &operation{
		write:       table.Write{Key: s.op.Key, Value: s.op.Value},
		conditional: s.op.Conditional,
		version:     s.op.Version,
	})
}
