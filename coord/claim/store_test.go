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
		t.Fatalf("first claim: got %v, %v, want Won", won.Outcome, err)
	}
	got, err := second.Claim(ctx, "team", "key/1", digest)
	if err != nil || got.Outcome != Existing || got.Record.State != Claimed || got.Record.Owner != "a" {
		t.Fatalf("second claim while the work runs: got %+v, %v, want a claim of owner a", got, err)
	}
	first.Finish(won.Claim, []byte("answer"))
	if err := first.Flush(ctx); err != nil {
		t.Fatal(err)
	}
	got, err = second.Claim(ctx, "team", "key/1", digest)
	if err != nil || got.Record.State != Completed || string(got.Record.Answer) != "answer" {
		t.Fatalf("second claim after Finish: got %+v, %v, want the answer", got, err)
	}
	var reused *ReusedError
	if _, err = second.Claim(ctx, "team", "key/1", [32]byte{2}); !errors.As(err, &reused) {
		t.Fatalf("claim with another body: got %v, want a *ReusedError", err)
	}
	if got, err = second.Claim(ctx, "other", "key/1", digest); err != nil || got.Outcome != Won {
		t.Fatalf("claim of another team: got %v, %v, want Won", got.Outcome, err)
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
		t.Fatalf("got %+v, %v, want Completed with a dropped answer", got, err)
	}
}

func TestLostAnswerIsReadBack(t *testing.T) {
	memory := table.NewMemory()
	store := newStore(t, memory.Client(), "a", nil)
	ctx := within(t, 20*time.Second)
	memory.SetFault(table.Fault{LoseAnswers: true})
	won, err := store.Claim(ctx, "team", "key", digest)
	if err != nil || won.Outcome != Won {
		t.Fatalf("got %v, %v, want Won", won.Outcome, err)
	}
}

func TestUnansweredClaimIsRefusedAndReleasedLater(t *testing.T) {
	memory := table.NewMemory()
	client := memory.Client()
	var readsFail atomic.Bool
	readsFail.Store(true)
	get := client.Get
	client.Get = func(ctx context.Context, key string) (table.Row, error) {
		if readsFail.Load() && key != "ClaimEpoch" {
			return table.Row{}, table.ErrUnavailable
		}
		return get(ctx, key)
	}
	memory.SetFault(table.Fault{LoseAnswers: true})
	store := newStore(t, client, "a", nil)
	_, err := store.Claim(within(t, 100*time.Millisecond), "team", "key", digest)
	if !errors.Is(err, ErrUnavailable) {
		t.Fatalf("got %v, want ErrUnavailable", err)
	}
	if record, _ := newStore(t, memory.Client(), "c", nil).Lookup(within(t, time.Second), "team", "key"); record.State != Claimed {
		t.Fatalf("the injected fault had no effect: got %+v, want a claimed row", record)
	}
	memory.SetFault(table.Fault{})
	readsFail.Store(false)
	ctx := within(t, 20*time.Second)
	if err := store.Flush(ctx); err != nil {
		t.Fatal(err)
	}
	got, err := newStore(t, memory.Client(), "b", nil).Claim(ctx, "team", "key", digest)
	if err != nil || got.Outcome != Won {
		t.Fatalf("claim after the release: got %+v, %v, want Won", got, err)
	}
}

func TestOutageRefusesClaimsAndDelaysFinalWrites(t *testing.T) {
	memory := table.NewMemory()
	store := newStore(t, memory.Client(), "a", func(cfg *Config) { cfg.MaxPendingBytes = 3 })
	ctx := within(t, 20*time.Second)
	one, _ := store.Claim(ctx, "team", "one", digest)
	two, _ := store.Claim(ctx, "team", "two", digest)
	memory.SetFault(table.Fault{Down: true})
	if _, err := store.Claim(within(t, 30*time.Millisecond), "team", "three", digest); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("got %v, want ErrUnavailable", err)
	}
	store.Finish(one.Claim, []byte("abc"))
	store.Finish(two.Claim, []byte("beyond the bound"))
	if got, err := store.Claim(ctx, "team", "one", digest); err != nil || string(got.Record.Answer) != "abc" {
		t.Fatalf("claim in the same process during the outage: got %+v, %v, want answer abc", got, err)
	}
	memory.SetFault(table.Fault{})
	if err := store.Flush(ctx); err != nil {
		t.Fatal(err)
	}
	if record, _ := store.Lookup(ctx, "team", "two"); record.State != Completed || !record.AnswerDropped {
		t.Fatalf("record of two: got %+v, want Completed with a dropped answer", record)
	}
}

// TestRacingStoresRunOnce guards against running a key twice when several stores
// claim it concurrently while the table's answers are lost.
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
	const keys, stores = 60, 4
	var runs [keys]atomic.Int64
	var wg sync.WaitGroup
	for r := range stores {
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
	t.Logf("%d claims and final records in %d transactions", keys*(stores+1), commits)
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
		t.Fatalf("100 claims took %d transactions, want at most 20", commits)
	}
}

// TestRelayCarriesManyStores guards against running a key twice when stores that
// share a relay claim it concurrently and answers of the relay are lost.
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
			return nil, calls.Load() > 10 // ok is false up to call 10: the operations are written again, directly
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

func TestCommitIntervalFollowsFleetAndRefusals(t *testing.T) {
	pace := FleetCommitInterval(func() int { return 370 }, 200)
	if got := pace(); got != 1850 {
		t.Errorf("commit interval of 370 processes at 200 a second: got %v, want 1850", got)
	}
	b := &batcher{}
	for range 20 {
		b.adjustBackoff(true)
	}
	if got := b.currentBackoff(); got != maxBackoff {
		t.Errorf("backoff after refused transactions: got %v, want maxBackoff", got)
	}
	for range 20 {
		b.adjustBackoff(false)
	}
	if got := b.currentBackoff(); got != 0 {
		t.Errorf("backoff after accepted transactions: got %v, want 0", got)
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
		if advanced, err := cleaner.AdvanceEpoch(ctx); advanced || err != nil {
			t.Fatalf("AdvanceEpoch before EpochLength passed: got %t, %v, want false", advanced, err)
		}
		manual.Advance(clock.Hour)
		if advanced, err := cleaner.AdvanceEpoch(ctx); !advanced || err != nil {
			t.Fatalf("AdvanceEpoch after EpochLength: got %t, %v, want true", advanced, err)
		}
	}
	recent := newStore(t, memory.Client(), "b", nil)
	if _, err := recent.Claim(ctx, "team", "recent", digest); err != nil {
		t.Fatal(err)
	}
	if deleted, err := cleaner.Sweep(ctx); deleted != 1 || err != nil {
		t.Fatalf("Sweep: got %d, %v, want 1 deleted", deleted, err)
	}
	if record, _ := recent.Lookup(ctx, "team", "recent"); record.State != Claimed {
		t.Fatalf("recent claim: got record %+v, want state Claimed", record)
	}
}
