package claim

import (
	"context"
	"sync"

	"github.com/banyanshift/banyanshift/coord/table"
)

// Operation is one row to be written for another process.
type Operation struct {
	Key   string
	Value []byte
	// Conditional operations require that the row has the Version.
	Conditional bool
	Version     uint64
}

// Relay writes the operations of many processes in common transactions, so that
// a large fleet needs few of them. It decides nothing: an answer of a relay that
// is lost is like a lost answer of the table.
type Relay struct {
	batcher *batcher
}

// NewRelay returns a Relay. Only the fields of cfg that concern the table and the
// transactions are used. Run must be running for Submit to progress.
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

// Submit writes operations and returns their outcomes in the same sequence.
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
	*s.outcome = s.relay.batcher.do(ctx, &operation{
		write:       table.Write{Key: s.op.Key, Value: s.op.Value},
		conditional: s.op.Conditional,
		version:     s.op.Version,
	})
}
