package changelog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

func newLog(client table.Client) *Log {
	return New(Config{Table: client, Clock: clock.System(), Prefix: "Config", Objects: newMemoryObjectStore()})
}

func newMemoryObjectStore() ObjectStore {
	var mu sync.Mutex
	objects := make(map[string][]byte)
	return ObjectStore{
		Put: func(_ context.Context, name string, data []byte) error {
			mu.Lock()
			defer mu.Unlock()
			objects[name] = data
			return nil
		},
		Get: func(_ context.Context, name string) ([]byte, error) {
			mu.Lock()
			defer mu.Unlock()
			if data, found := objects[name]; found {
				return data, nil
			}
			return nil, errors.New("no such object")
		},
	}
}

func newProposal(requestID, entity, value string, expected uint64) Proposal {
	return Proposal{
		Actor:     "ada",
		RequestID: requestID,
		Expected:  map[string]uint64{entity: expected},
		Writes:    []Write{{Entity: entity, Value: []byte(value)}},
	}
}

func mustAppend(t *testing.T, l *Log, proposal Proposal) Change {
	t.Helper()
	change, err := l.Append(t.Context(), proposal)
	if err != nil {
		t.Fatal(err)
	}
	return change
}

func TestAppend(t *testing.T) {
	l := newLog(table.NewMemory().Client())
	first := mustAppend(t, l, newProposal("r1", "Team/a", "1", 0))
	second := mustAppend(t, l, newProposal("r2", "Team/a", "2", first.Sequence))
	if second.Sequence != 2 || string(second.Writes[0].Before) != "1" || second.Writes[0].Revision != 2 {
		t.Errorf("got second change %+v, want sequence and revision 2", second)
	}
	again := mustAppend(t, l, newProposal("r1", "Team/a", "1", 0))
	if again.Sequence != 1 {
		t.Errorf("retry of r1 gave change %d, want 1", again.Sequence)
	}
	if _, err := l.Append(t.Context(), newProposal("r1", "Team/a", "other", 2)); !errors.Is(err, ErrRequestIDReused) {
		t.Errorf("request ID with other content: got %v, want ErrRequestIDReused", err)
	}
	var conflict *ConflictError
	if _, err := l.Append(t.Context(), newProposal("r3", "Team/a", "3", 1)); !errors.As(err, &conflict) || conflict.Actual != 2 || !errors.Is(err, ErrConflict) {
		t.Errorf("old revision: got %v, want a ConflictError with revision 2", err)
	}
	if _, err := l.Append(t.Context(), newProposal("r4", "Team/a", "4", 0)); !errors.Is(err, ErrConflict) {
		t.Errorf("creating an existing entity: got %v, want ErrConflict", err)
	}
	forced := mustAppend(t, l, newProposal("r5", "Team/a", "5", AnyRevision))
	if forced.Sequence != 3 {
		t.Errorf("AnyRevision gave change %d, want 3", forced.Sequence)
	}
}

func TestDeletedEntityKeepsGrowingRevisions(t *testing.T) {
	l := newLog(table.NewMemory().Client())
	mustAppend(t, l, newProposal("r1", "Team/a", "1", 0))
	deletion := newProposal("r2", "Team/a", "", 1)
	deletion.Writes[0] = Write{Entity: "Team/a", Deleted: true}
	mustAppend(t, l, deletion)
	created := mustAppend(t, l, newProposal("r3", "Team/a", "3", 0))
	if created.Writes[0].Revision != 3 || created.Writes[0].Before != nil {
		t.Errorf("got write %+v, want revision 3 and no value before", created.Writes[0])
	}
}

func TestInvalidProposals(t *testing.T) {
	l := newLog(table.NewMemory().Client())
	for name, proposal := range map[string]Proposal{
		"no request id": newProposal("", "Team/a", "1", 0),
		"no writes":     {RequestID: "r"},
		"written twice": {RequestID: "r", Writes: []Write{{Entity: "Team/a"}, {Entity: "Team/a"}}},
		"no entity":     {RequestID: "r", Writes: []Write{{}}},
	} {
		if _, err := l.Append(t.Context(), proposal); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: got %v, want ErrInvalid", name, err)
		}
	}
}

// TestLostAnswers checks that Append finds the outcome of a transaction whose
// answer was lost, also when another proposal changed the entity concurrently.
func TestLostAnswers(t *testing.T) {
	tests := []struct {
		name  string
		fault table.Fault
		// concurrent runs after the first commit and before Append reads back.
		concurrent   func(l *Log) error
		want         error
		wantSequence uint64
	}{
		{"took effect", table.Fault{LoseAnswers: true}, nil, nil, 1},
		{"had no effect", table.Fault{DropCommits: true}, nil, nil, 1},
		{"took effect, then overwritten", table.Fault{LoseAnswers: true}, func(l *Log) error {
			_, err := l.Append(context.Background(), newProposal("other", "Team/a", "2", 1))
			return err
		}, nil, 1},
		{"had no effect, then overtaken", table.Fault{DropCommits: true}, func(l *Log) error {
			_, err := l.Append(context.Background(), newProposal("other", "Team/a", "2", 0))
			return err
		}, ErrConflict, 0},
		{"had no effect, head moved", table.Fault{DropCommits: true}, func(l *Log) error {
			_, err := l.Append(context.Background(), newProposal("other", "Team/b", "2", 0))
			return err
		}, nil, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			memory := table.NewMemory()
			client := memory.Client()
			otherLog := newLog(memory.Client())
			commits := 0
			client.Commit = func(ctx context.Context, txn table.Txn) error {
				commits++
				if commits > 1 {
					return memory.Client().Commit(ctx, txn)
				}
				memory.SetFault(test.fault)
				err := memory.Client().Commit(ctx, txn)
				memory.SetFault(table.Fault{})
				if test.concurrent != nil {
					if otherErr := test.concurrent(otherLog); otherErr != nil {
						t.Error(otherErr)
					}
				}
				return err
			}
			change, err := newLog(client).Append(t.Context(), newProposal("r1", "Team/a", "1", 0))
			if !errors.Is(err, test.want) {
				t.Fatalf("got %v, want %v", err, test.want)
			}
			if change.Sequence != test.wantSequence {
				t.Errorf("got change %d, want %d", change.Sequence, test.wantSequence)
			}
		})
	}
}

// TestDelayedCommitIsRecognised checks that Append does not report a conflict
// when its own delayed transaction takes effect while it reads back.
func TestDelayedCommitIsRecognised(t *testing.T) {
	memory := table.NewMemory()
	client := memory.Client()
	var delayed *table.Txn
	client.Commit = func(ctx context.Context, txn table.Txn) error {
		if delayed == nil {
			delayed = &txn
			return table.ErrUnknown
		}
		return memory.Client().Commit(ctx, txn)
	}
	client.Get = func(ctx context.Context, key string) (table.Row, error) {
		if key == "Config/Entity/Team/a" && delayed != nil && len(delayed.Writes) > 0 {
			if err := memory.Client().Commit(ctx, *delayed); err != nil {
				t.Error(err)
			}
			delayed.Writes = nil
		}
		return memory.Client().Get(ctx, key)
	}
	change, err := newLog(client).Append(t.Context(), newProposal("r1", "Team/a", "1", 0))
	if err != nil || change.Sequence != 1 {
		t.Fatalf("got change %d, error %v; want 1, nil", change.Sequence, err)
	}
	if head, _ := newLog(client).Head(t.Context()); head != 1 {
		t.Errorf("got head %d, want 1", head)
	}
}

func TestStoreDown(t *testing.T) {
	memory := table.NewMemory()
	l := newLog(memory.Client())
	memory.SetFault(table.Fault{Down: true})
	if _, err := l.Append(t.Context(), newProposal("r1", "Team/a", "1", 0)); !errors.Is(err, table.ErrUnavailable) || errors.Is(err, table.ErrUnknown) {
		t.Errorf("store down: got %v, want ErrUnavailable", err)
	}
	// The store goes down after a commit whose answer is lost: the outcome is
	// unknown until the same proposal is appended again.
	memory.SetFault(table.Fault{LoseAnswers: true})
	client := memory.Client()
	client.Commit = func(ctx context.Context, txn table.Txn) error {
		err := memory.Client().Commit(ctx, txn)
		memory.SetFault(table.Fault{Down: true})
		return err
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := newLog(client).Append(ctx, newProposal("r1", "Team/a", "1", 0)); !errors.Is(err, table.ErrUnknown) {
		t.Errorf("store down after a lost answer: got %v, want ErrUnknown", err)
	}
	memory.SetFault(table.Fault{})
	if change := mustAppend(t, l, newProposal("r1", "Team/a", "1", 0)); change.Sequence != 1 {
		t.Errorf("retry returned change %d, want 1", change.Sequence)
	}
	if change, found, err := l.FindByRequestID(t.Context(), "r1"); !found || err != nil || change.Sequence != 1 {
		t.Errorf("FindByRequestID: got %v, %v, error %v; want change 1", change, found, err)
	}
}

// TestRacingOperators checks that every accepted proposal is in the log exactly
// once and that the log matches the entity rows when several operators change
// the same entities concurrently and answers are lost.
func TestRacingOperators(t *testing.T) {
	memory := table.NewMemory()
	const operators, rounds = 6, 12
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := make(map[string]uint64)
	for operator := range operators {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(7, uint64(operator)))
			client := memory.Client()
			client.Commit = func(ctx context.Context, txn table.Txn) error {
				fault := random.IntN(3)
				if fault == 0 {
					return table.ErrUnknown
				}
				err := memory.Client().Commit(ctx, txn)
				if err == nil && fault == 1 {
					return table.ErrUnknown
				}
				return err
			}
			l := New(Config{Table: client, Clock: clock.System(), Prefix: "Config", Rand: rand.New(rand.NewPCG(9, uint64(operator)))})
			for round := range rounds {
				id := fmt.Sprintf("r%d-%d", operator, round)
				name := fmt.Sprintf("Team/%d", random.IntN(3))
				proposal := newProposal(id, name, id, AnyRevision)
				if random.IntN(2) == 0 {
					proposal.Expected[name] = uint64(random.IntN(10))
				}
				change, err := l.Append(t.Context(), proposal)
				if err != nil && !errors.Is(err, ErrConflict) {
					t.Error(err)
				}
				mu.Lock()
				if err == nil {
					accepted[id] = change.Sequence
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	l := newLog(memory.Client())
	_, changes, err := l.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(changes) != len(accepted) {
		t.Errorf("got %d changes in the log, want %d accepted ones", len(changes), len(accepted))
	}
	values := make(map[string]string)
	for _, change := range changes {
		if accepted[change.RequestID] != change.Sequence {
			t.Errorf("change %d has request %s, which returned change %d", change.Sequence, change.RequestID, accepted[change.RequestID])
		}
		write := change.Writes[0]
		if string(write.Before) != values[write.Entity] {
			t.Errorf("change %d: got value before %q, want %q", change.Sequence, write.Before, values[write.Entity])
		}
		values[write.Entity] = string(write.Value)
	}
	for name, value := range values {
		row, _ := memory.Client().Get(t.Context(), "Config/Entity/"+name)
		entry, _ := decodeRow[Entry](row)
		if string(entry.Value) != value {
			t.Errorf("%s: got row value %q, want %q as in the log", name, entry.Value, value)
		}
	}
}

func TestSnapshots(t *testing.T) {
	memory := table.NewMemory()
	l := newLog(memory.Client())
	for i := range 7 {
		mustAppend(t, l, newProposal(fmt.Sprintf("r%d", i), "Team/a", "v", AnyRevision))
	}
	save := func(sequence uint64) {
		t.Helper()
		if err := l.SaveSnapshot(t.Context(), Snapshot{Sequence: sequence, Entries: []Entry{{Entity: "Team/a", Revision: sequence}}}); err != nil {
			t.Fatal(err)
		}
	}
	save(5)
	save(3)
	snapshot, tail, err := l.Load(t.Context())
	if err != nil || snapshot.Sequence != 5 || len(tail) != 2 || tail[0].Sequence != 6 {
		t.Fatalf("got snapshot %d and %d changes, error %v; want 5, 2, nil", snapshot.Sequence, len(tail), err)
	}
	l.config.Objects.Get = func(context.Context, string) ([]byte, error) { return []byte("damaged"), nil }
	if _, err := l.LoadSnapshot(t.Context()); !errors.Is(err, ErrSnapshotCorrupted) {
		t.Errorf("corrupted snapshot: got %v, want ErrSnapshotCorrupted", err)
	}
	snapshot, tail, err = l.Load(t.Context())
	if err != nil || snapshot.Sequence != 0 || len(tail) != 7 {
		t.Errorf("corrupted snapshot: got snapshot %d and %d changes, error %v; want 0, 7, nil", snapshot.Sequence, len(tail), err)
	}
}
