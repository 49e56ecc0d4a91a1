package report

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/batch"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/coord/window"
	"github.com/banyanshift/banyanshift/internal/platform/usage"
	"github.com/banyanshift/banyanshift/internal/usage/meter"
	"github.com/banyanshift/banyanshift/internal/usage/replicate"
)

// fakeBilling is the platform's billing service. It records the body of each
// reported window.
type fakeBilling struct {
	bodies        map[uint64]string
	loseResponses bool
}

func (b *fakeBilling) report(_ context.Context, window usage.Window) error {
	body, err := json.Marshal(window)
	if err != nil {
		return err
	}
	if known, found := b.bodies[window.Number]; found && known != string(body) {
		return usage.ErrConflict
	}
	b.bodies[window.Number] = string(body)
	if b.loseResponses {
		return usage.ErrUnknown
	}
	return nil
}

func newReporter(memory *table.Memory, b *fakeBilling, daemon string, fence uint64, held *bool) *Reporter {
	logger, _ := test.NewNullLogger()
	return New(Config{
		Table: memory.Client(), Clock: clock.NewManual(1000).Clock(), Logger: logger, Region: "r", Daemon: daemon,
		Lease:     func() (uint64, clock.Millis, bool) { return fence, 0, *held },
		Guard:     func(context.Context, uint64) (table.Condition, error) { return table.Condition{Key: "Lease/r"}, nil },
		NewClient: func(uint64) usage.Client { return usage.Client{Report: b.report} }, WindowLength: clock.Minute,
	})
}

func save(t *testing.T, memory *table.Memory, sequence uint64, payload []byte) {
	t.Helper()
	saved := batch.Batch{Incarnation: "r/vm-1.1", Sequence: sequence, Payload: payload}
	if err := batch.Save(context.Background(), memory.Client(), replicate.BatchPrefix, []batch.Batch{saved}); err != nil {
		t.Fatal(err)
	}
}

func line(team string, tokens int64) usage.Line {
	return usage.Line{Team: team, Class: "c", Backend: "b", Requests: 1, PromptTokens: 2 * tokens, OutputTokens: tokens}
}

func TestSuccessorReportsTheSameBytes(t *testing.T) {
	memory, ctx, held := table.NewMemory(), context.Background(), true
	b := &fakeBilling{bodies: map[uint64]string{}, loseResponses: true}
	first, second := newReporter(memory, b, "vm-1", 1, &held), newReporter(memory, b, "vm-2", 2, &held)
	save(t, memory, 1, meter.Encode([]usage.Line{line("x", 1), line("y", 5)}))
	save(t, memory, 2, meter.Encode([]usage.Line{line("x", 3)}))
	save(t, memory, 3, []byte("not readable"))
	first.Flush(ctx)
	b.loseResponses = false
	second.Flush(ctx)
	windows, reported, err := ReadWindows(ctx, memory.Client(), "r", 0, 10)
	if err != nil || len(windows) != 1 || reported != 1 {
		t.Fatalf("got %d windows, last reported %d, error %v; want 1 window, reported", len(windows), reported, err)
	}
	got := windows[0]
	if got.Reporter != "vm-1" || got.Fence != 1 || len(got.Lines) != 2 || got.Lines[0].OutputTokens != 4 || got.Lines[0].Requests != 2 {
		t.Fatalf("%+v", got)
	}
	if later, _, err := ReadWindows(ctx, memory.Client(), "r", 1, 10); len(later) != 0 || err != nil {
		t.Fatalf("got windows %v, error %v after the last window, want none", later, err)
	}
}

func TestConflictHoldsUpLaterWindows(t *testing.T) {
	memory, ctx, held := table.NewMemory(), context.Background(), true
	b := &fakeBilling{bodies: map[uint64]string{1: "somebody else's"}}
	r := newReporter(memory, b, "vm-1", 1, &held)
	save(t, memory, 1, meter.Encode([]usage.Line{line("x", 1)}))
	r.Flush(ctx)
	save(t, memory, 2, meter.Encode([]usage.Line{line("x", 1)}))
	r.Flush(ctx)
	if len(b.bodies) != 1 || conflictCount.Value() < 2 {
		t.Fatalf("got bodies %v and %d conflicts, want 1 body and at least 2 conflicts", b.bodies, conflictCount.Value())
	}
}

func TestNothingWithoutTheLease(t *testing.T) {
	memory, held := table.NewMemory(), false
	b := &fakeBilling{bodies: map[uint64]string{}}
	r := newReporter(memory, b, "vm-1", 1, &held)
	save(t, memory, 1, meter.Encode([]usage.Line{line("x", 1)}))
	r.Flush(context.Background())
	if commits, _ := memory.Counts(); commits != 1 || len(b.bodies) != 0 {
		t.Fatalf("got %d commits and bodies %v, want 1 commit and no bodies", commits, b.bodies)
	}
	if _, _, err := r.sealer.Close(context.Background()); !errors.Is(err, window.ErrLeaseNotHeld) {
		t.Fatalf("got %v, want ErrLeaseNotHeld", err)
	}
}
