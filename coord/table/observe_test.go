package table_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

func TestObserverReceivesEachCallAndItsOutcome(t *testing.T) {
	var outcomes []string
	memory := table.NewMemory()
	client := memory.Client().WithObserver(clock.NewManual(0).Clock(), func(c table.Call) {
		outcomes = append(outcomes, c.Name+" "+c.Outcome())
	})
	ctx := context.Background()
	write := table.Txn{Conditions: []table.Condition{{Key: "a"}}, Writes: []table.Write{{Key: "a", Value: []byte("1")}}}
	for range 2 {
		_ = client.Commit(ctx, write)
	}
	memory.SetFault(table.Fault{LoseAnswers: true})
	_ = client.Commit(ctx, table.Txn{})
	memory.SetFault(table.Fault{Down: true})
	_, _ = client.Get(ctx, "a")
	memory.SetFault(table.Fault{})
	if rows, err := client.Scan(ctx, "a", "", 5); err != nil || len(rows) != 1 {
		t.Errorf("got rows %v, error %v; want one row", rows, err)
	}
	want := []string{"Commit Done", "Commit Conflict", "Commit Unknown", "Get Unavailable", "Scan Done"}
	if !slices.Equal(outcomes, want) {
		t.Errorf("got outcomes %v, want %v", outcomes, want)
	}
}

func TestOutcomeOfErrHistoryGone(t *testing.T) {
	call := table.Call{Name: "Changes", Err: fmt.Errorf("read: %w", table.ErrHistoryGone)}
	if got := call.Outcome(); got != "HistoryGone" {
		t.Errorf("got %s, want HistoryGone", got)
	}
}
