package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

func newStore(t *testing.T, client table.Client, owner string, change func(*Config)) *Store {
	t.Helper()
	cfg := Config{
		Table: client, Clock: clock.System(), Prefix: "Claim/", EpochKey: "ClaimEpoch",
		Owner: owner, Incarnation: owner + ".1", RetryDelay: 1, CommitTimeout: clock.Second,
	}
	if change != nil {
		change(&cfg)
	}
	store := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go store.Run(ctx)
	return store
}

func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

var digest = [32]byte{1}

func TestSecondClaimSeesTheAnswer(t *testing.T) {
	memory := table.NewMemory()
	first, second := newStore(t, memory.Client(), "a", nil), newStore(t, memory.Client(), "b", nil)
	ctx := within(t, 20*time.Second)
	won, err := first.Claim(ctx, "team", "key/1", digest)
	if err != nil || won.Outcome != Won {
		t.Fatalf("first: %v, %v", won.Outcome, err)
	}
	got, err := second.Claim(ctx, "team", "key/1", digest)
	if err != nil || got.Outcome != Existing || got.Record.State != Claimed || got.Record.Owner != "a" {
		t.Fatalf("while running: %+v, %v", got, err)
	}
	first.Finish(won.Claim, []byte("answer"))
	if err := first.Flush(ctx); err != nil {
		t.Fatal(err)
	}
	got, err = second.Claim(ctx, "team", "key/1", digest)
	if err != nil || got.Record.State != Completed || string(got.Record.Answer) != "answer" {
		t.Fatalf("after the end: %+v, %v", got, err)
	}
	var reused *ReusedError
	if _, err = second.Claim(ctx, "team", "key/1", [32]byte{2}); !errors.As(err, &reused) {
		t.Fatalf("other body: %v", err)
	}
	if got, err = second.Claim(ctx, "other", "key/1", digest); err != nil || got.Outcome != Won {
		t.Fatalf("other team: %v, %v", got.Outcome, err)
	}
}

func TestLargeAnswerIsDroppedButRemembered(t *testing.T) {
	store := newStore(t, table.NewMemory().Client(), "a", func(cfg *Config) { cfg.MaxAnswerBytes = 4 })
	ctx := within(t, 20*time.Second)
	won, _ := store.Claim(ctx, "team", "key", digest)
	store.Finish(won.Claim, []byte("too long"))
	_ = store.Flush(ctx)
	got, err := store.Claim(ctx, "team", "key", digest)
	if err != nil || got.Record.State != Completed || !got.Record.AnswerDropped || got.Record.Answer != nil {
		t.Fatalf("%+v, %v", got, err)
	}
}

func TestLostAnswerIsReadBack(t *testing.T) {
	memory := table.NewMemory()
	store := newStore(t, memory.Client(), "a", nil)
	ctx := within(t, 20*time.Second)
	memory.SetFault(table.Fault{LoseAnswers: true})
	won, err := store.Claim(ctx, "team", "key", digest)
	if err != nil || won.Outcome != Won {
		t.Fatalf("%v, %v", won.Outcome, err)
	}
}

func TestUnansweredClaimIsRefusedAndReleasedLater(t *testing.T) {
	memory := table.NewMemory()
	client := memory.Client()
	var blind atomic.Bool
	blind.Store(true)
	get := client.Get
	client.Get = func(ctx context.Context, key string) (table.Row, error) {
		if blind.Load() && key != "ClaimEpoch" {
			return table.Row{}, table.ErrUnavailable
		}
		return get(ctx, key)
	}
	memory.SetFault(table.Fault{LoseAnswers: true})
	store := newStore(t, client, "a", nil)
	_, err := store.Claim(within(t, 100*time.Millisecond), "team", "key", digest)
	if !errors.Is(err, ErrUnavailable) {
		t.Fatalf("want ErrUnavailable, got %v", err)
	}
	if record, _ := newStore(t, memory.Client(), "c", nil).Lookup(within(t, time.Second), "team", "key"); record.State != Claimed {
		t.Fatalf("the fault was not brought about: %+v", record)
	}
	memory.SetFault(table.Fault{})
	blind.Store(false)
	ctx := within(t, 20*time.Second)
	if err := store.Flush(ctx); err != nil {
		t.Fatal(err)
	}
	got, err := newStore(t, memory.Client(), "b", nil).Claim(ctx, "team", "key", digest)
	if err != nil || got.Outcome != Won {
		t.Fatalf("after the release: %+v, %v", got, err)
	}
}

func TestOutageRefusesAndEndingsWait(t *testing.T) {
	memory := table.NewMemory()
	store := newStore(t, memory.Client(), "a", func(cfg *Config) { cfg.MaxPendingBytes = 3 })
	ctx := within(t, 20*time.Second)
	one, _ := store.Claim(ctx, "team", "one", digest)
	two, _ := store.Claim(ctx, "team", "two", digest)
	memory.SetFault(table.Fault{Down: true})
	if _, err := store.Claim(within(t, 30*time.Millisecond), "team", "three", digest); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("want ErrUnavailable, got %v", err)
	}
	store.Finish(one.Claim, []byte("abc"))
	store.Finish(two.Claim, []byte("beyond the bound"))
	if got, err := store.Claim(ctx, "team", "one", digest); err != nil || string(got.Record.Answer) != "abc" {
		t.Fatalf("the daemon itself knows the answer: %+v, %v", got, err)
	}
	memory.SetFault(table.Fault{})
	if err := store.Flush(ctx); err != nil {
		t.Fatal(err)
	}
	if record, _ := store.Lookup(ctx, "team", "two"); record.State != Completed || !record.AnswerDropped {
		t.Fatalf("two: %+v", record)
	}
}

// TestRacingStoresRunOnce lets requests of the same keys race through several
// stores while answers are lost, and counts the runs.
func TestRacingStoresRunOnce(t *testing.T) {
	memory := table.NewMemory()
	client := memory.Client()
	commit := client.Commit
	var calls atomic.Uint64
	client.Commit = func(ctx context.Context, txn table.Txn) error {
		err := commit(ctx, txn)
		if err == nil && calls.Add(1)%3 == 0 {
			return table.ErrUnknown
		}
		return err
	}
	const keys, rivals = 60, 4
	var runs [keys]atomic.Int64
	var wg sync.WaitGroup
	for r := range rivals {
		store := newStore(t, client, fmt.Sprint(r), func(cfg *Config) { cfg.CommitInterval = func() clock.Millis { return 2 } })
		for k := range keys {
			wg.Add(1)
			go func() {
				defer wg.Done()
				result, err := store.Claim(within(t, 20*time.Second), "team", fmt.Sprint(k), digest)
				if err == nil && result.Outcome == Won {
					runs[k].Add(1)
					store.Finish(result.Claim, []byte("x"))
				}
			}()
		}
	}
	wg.Wait()
	for k := range runs {
		if runs[k].Load() != 1 {
			t.Errorf("key %d ran %d times", k, runs[k].Load())
		}
	}
	commits, _ := memory.Counts()
	t.Logf("%d claims and endings in %d transactions", keys*(rivals+1), commits)
}

func TestClaimsShareTransactions(t *testing.T) {
	memory := table.NewMemory()
	store := newStore(t, memory.Client(), "a", func(cfg *Config) { cfg.CommitInterval = func() clock.Millis { return 50 } })
	var wg sync.WaitGroup
	for k := range 100 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if _, err := store.Claim(within(t, 20*time.Second), "team", fmt.Sprint(k), digest); err != nil {
				t.Error(err)
			}
		}()
	}
	wg.Wait()
	if commits, _ := memory.Counts(); commits > 20 {
		t.Fatalf("100 claims took %d transactions", commits)
	}
}

// TestRelayCarriesManyStores lets requests of the same keys race through stores
// that share a relay, whose answers are lost now and then.
func TestRelayCarriesManyStores(t *testing.T) {
	memory := table.NewMemory()
	relay := NewRelay(Config{Table: memory.Client(), Clock: clock.System(), CommitInterval: func() clock.Millis { return 20 }})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go relay.Run(ctx)
	var calls atomic.Uint64
	forward := func(ctx context.Context, ops []Operation) ([]CommitOutcome, bool) {
		outcomes := relay.Submit(ctx, ops)
		switch calls.Add(1) % 5 {
		case 0:
			return nil, true // the answer is lost
		case 1:
			return nil, calls.Load() > 10 // no relay: written directly a second time
		}
		return outcomes, true
	}
	const keys, stores = 20, 10
	var runs [keys]atomic.Int64
	var wg sync.WaitGroup
	for s := range stores {
		store := newStore(t, memory.Client(), fmt.Sprint(s), func(cfg *Config) { cfg.Forward = forward })
		for k := range keys {
			wg.Add(1)
			go func() {
				defer wg.Done()
				result, err := store.Claim(within(t, 20*time.Second), "team", fmt.Sprint(k), digest)
				if err == nil && result.Outcome == Won {
					runs[k].Add(1)
					store.Finish(result.Claim, nil)
				}
			}()
		}
	}
	wg.Wait()
	for k := range runs {
		if runs[k].Load() != 1 {
			t.Errorf("key %d ran %d times", k, runs[k].Load())
		}
	}
}

func TestPaceFollowsFleetAndRefusals(t *testing.T) {
	pace := FleetCommitInterval(func() int { return 370 }, 200)
	if got := pace(); got != 1850 {
		t.Errorf("pace of 370 processes at 200 a second: %v", got)
	}
	b := &batcher{}
	for range 20 {
		b.feel(true)
	}
	if got := b.strained(); got != maxStrain {
		t.Errorf("strain after refusals: %v", got)
	}
	for range 20 {
		b.feel(false)
	}
	if got := b.strained(); got != 0 {
		t.Errorf("strain after transactions that were taken: %v", got)
	}
}

func TestCleanerDeletesOldClaimsOnly(t *testing.T) {
	memory := table.NewMemory()
	manual := clock.NewManual(0)
	ctx := within(t, 20*time.Second)
	cleaner := NewCleaner(CleanerConfig{
		Table: memory.Client(), Clock: manual.Clock(), Prefix: "Claim/", EpochKey: "ClaimEpoch",
		EpochLength: clock.Hour, KeepEpochs: 2, Active: func() bool { return true }, PageSize: 10,
	})
	old := newStore(t, memory.Client(), "a", nil)
	won, _ := old.Claim(ctx, "team", "old", digest)
	old.Finish(won.Claim, nil)
	_ = old.Flush(ctx)
	for range 3 {
		if moved, err := cleaner.AdvanceEpoch(ctx); moved || err != nil {
			t.Fatalf("moved without watching for an epoch: %t, %v", moved, err)
		}
		manual.Advance(clock.Hour)
		if moved, err := cleaner.AdvanceEpoch(ctx); !moved || err != nil {
			t.Fatalf("did not move: %t, %v", moved, err)
		}
	}
	recent := newStore(t, memory.Client(), "b", nil)
	if _, err := recent.Claim(ctx, "team", "recent", digest); err != nil {
		t.Fatal(err)
	}
	if deleted, err := cleaner.Sweep(ctx); deleted != 1 || err != nil {
		t.Fatalf("deleted %d, %v", deleted, err)
	}
	if record, _ := recent.Lookup(ctx, "team", "recent"); record.State != Claimed {
		t.Fatalf("recent claim: %+v", record)
	}
}
