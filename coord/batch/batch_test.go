package batch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

const prefix = "Usage/Batch/"

// fixture is an owner with two peers and an in-memory table. It runs no
// goroutines: tests call each step.
type fixture struct {
	memory      *table.Memory
	manual      *clock.Manual
	owner       *Owner
	peers       map[string]*CopyStore
	targets     []string
	cutCount    int
	alive       bool
	unreachable map[string]bool

	mu          sync.Mutex
	sentBatches int
}

func newFixture(t *testing.T, change func(*OwnerConfig)) *fixture {
	t.Helper()
	r := &fixture{
		memory:      table.NewMemory(),
		manual:      clock.NewManual(1),
		peers:       map[string]*CopyStore{},
		targets:     []string{"p1", "p2"},
		alive:       true,
		unreachable: map[string]bool{},
	}
	for _, name := range []string{"p1", "p2", "p3"} {
		r.peers[name] = NewCopyStore(CopyStoreConfig{
			Table: r.memory.Client(), Clock: r.manual.Clock(), Prefix: prefix,
			Alive:       func(string) bool { return r.alive },
			GracePeriod: 10 * clock.Second, SilenceTimeout: clock.Minute, MaxBytes: 1000, MaxBatchesPerSave: 100, CallTimeout: clock.Second,
		})
	}
	cfg := OwnerConfig{
		Table: r.memory.Client(), Clock: r.manual.Clock(), Prefix: prefix, Incarnation: "region/a.1",
		NextPayload: r.nextPayload,
		Peers:       func() []string { return r.targets },
		Copy:        r.copy, PeerLost: func(string) bool { return false },
		MinCutInterval: 100, BytesPerSecond: 100, SaveInterval: clock.Second, MaxBatchesPerSave: 100, MaxBytes: 1000, CallTimeout: clock.Second, CopyTimeout: clock.Second,
	}
	if change != nil {
		change(&cfg)
	}
	r.owner = NewOwner(cfg)
	return r
}

func (r *fixture) nextPayload() ([]byte, bool) {
	r.cutCount++
	return []byte(fmt.Sprintf("batch %03d", r.cutCount)), true
}

func (r *fixture) copy(_ context.Context, peer string, request CopyRequest) error {
	if r.unreachable[peer] {
		return errors.New("unreachable")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentBatches += len(request.Payloads)
	return r.peers[peer].Put(request)
}

func (r *fixture) rows(t *testing.T) []string {
	t.Helper()
	rows, err := r.memory.Client().Scan(context.Background(), prefix, "", 1000)
	if err != nil {
		t.Fatal(err)
	}
	var values []string
	for _, row := range rows {
		values = append(values, string(row.Value))
	}
	return values
}

func (r *fixture) expectRows(t *testing.T, want ...string) {
	t.Helper()
	if got := r.rows(t); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("got rows %v, want %v", got, want)
	}
}

func TestPeersWriteTheBatchesOfADeadOwner(t *testing.T) {
	r, ctx := newFixture(t, nil), context.Background()
	r.owner.CutAndCopy(ctx)
	if _, err := r.owner.Save(ctx); err != nil {
		t.Fatal(err)
	}
	r.owner.CutAndCopy(ctx)
	r.owner.CutAndCopy(ctx)
	r.alive = false
	r.peers["p1"].SaveOrphans(ctx)
	r.expectRows(t, "batch 001")
	r.manual.Advance(10 * clock.Second)
	r.peers["p1"].SaveOrphans(ctx)
	r.peers["p2"].SaveOrphans(ctx)
	r.expectRows(t, "batch 001", "batch 002", "batch 003")
	if left := r.peers["p1"].Bytes() + r.peers["p2"].Bytes(); left != 0 {
		t.Fatalf("copies after the save: got %d bytes, want 0", left)
	}
}

// TestSilentOwnerBatchesAreSaved covers an owner that seems alive because its
// process was restarted under the same name.
func TestSilentOwnerBatchesAreSaved(t *testing.T) {
	r, ctx := newFixture(t, nil), context.Background()
	r.owner.CutAndCopy(ctx)
	r.manual.Advance(clock.Minute - 1)
	r.peers["p1"].SaveOrphans(ctx)
	r.expectRows(t)
	r.manual.Advance(1)
	r.peers["p1"].SaveOrphans(ctx)
	r.expectRows(t, "batch 001")
}

func TestLostCopiesAreSentAgain(t *testing.T) {
	r, ctx := newFixture(t, nil), context.Background()
	r.owner.CutAndCopy(ctx)
	r.owner.ForgetPeer("p1")
	r.sentBatches = 0
	r.owner.CutAndCopy(ctx)
	if r.sentBatches != 3 {
		t.Fatalf("got %d batches sent, want 3: both to p1 and the new one to p2", r.sentBatches)
	}
}

// TestCopiesOutliveTheirHolders checks that no batch is lost when the owner and
// then both holders of its copies die while the table is down.
func TestCopiesOutliveTheirHolders(t *testing.T) {
	r, ctx := newFixture(t, nil), context.Background()
	for name, peer := range r.peers {
		peer.cfg.Copy = r.copy
		peer.cfg.FallbackPeers = func(string) []string {
			return slices.DeleteFunc([]string{"p1", "p2", "p3"}, func(candidate string) bool { return candidate == name || r.unreachable[candidate] })
		}
	}
	r.memory.SetFault(table.Fault{Down: true})
	r.owner.CutAndCopy(ctx)
	r.owner.CutAndCopy(ctx)
	r.alive = false
	r.manual.Advance(10 * clock.Second)
	r.sentBatches = 0
	for range 3 {
		r.peers["p1"].SaveOrphans(ctx)
	}
	if r.sentBatches != 4 || r.peers["p3"].Bytes() != 18 {
		t.Fatalf("got %d batches sent and %d bytes at p3, want 4 and 18", r.sentBatches, r.peers["p3"].Bytes())
	}
	r.unreachable["p1"], r.unreachable["p2"] = true, true // both are killed
	r.memory.SetFault(table.Fault{})
	r.manual.Advance(10 * clock.Second)
	r.peers["p3"].SaveOrphans(ctx)
	r.expectRows(t, "batch 001", "batch 002")
}

func TestHandOver(t *testing.T) {
	r, ctx := newFixture(t, nil), context.Background()
	r.owner.CutAndCopy(ctx)
	p1 := r.peers["p1"]
	p1.cfg.Copy = r.copy
	p1.cfg.FallbackPeers = func(string) []string { return []string{"p3"} }
	if err := p1.HandOver(ctx); err != nil {
		t.Fatal(err)
	}
	if r.peers["p3"].Bytes() != 9 {
		t.Fatalf("got %d bytes of copies at p3", r.peers["p3"].Bytes())
	}
}

func TestFlushWaitsForCopiesWhileTheTableIsDown(t *testing.T) {
	r := newFixture(t, func(cfg *OwnerConfig) { cfg.Clock = clock.System(); cfg.MinCutInterval = 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r.memory.SetFault(table.Fault{Down: true})
	tries := 0
	r.owner.cfg.Copy = func(ctx context.Context, peer string, request CopyRequest) error {
		r.mu.Lock()
		tries++
		failing := tries < 6
		r.mu.Unlock()
		if failing {
			return errors.New("unreachable")
		}
		return r.copy(ctx, peer, request)
	}
	if err := r.owner.Flush(ctx, 0); !errors.Is(err, table.ErrUnavailable) || ctx.Err() != nil {
		t.Fatalf("got %v with context error %v, want ErrUnavailable and none", err, ctx.Err())
	}
	if r.peers["p1"].Bytes() == 0 || r.peers["p2"].Bytes() == 0 {
		t.Fatal("Flush returned before both peers had copies")
	}
}

// TestPausedPeerDoesNotDelayOthers checks that the owner keeps creating batches
// and copying them to one peer while the other does not respond.
func TestPausedPeerDoesNotDelayOthers(t *testing.T) {
	r, ctx := newFixture(t, nil), context.Background()
	paused, resumed := make(chan struct{}), make(chan struct{})
	r.owner.cfg.Copy = func(ctx context.Context, peer string, request CopyRequest) error {
		if peer == "p1" {
			close(paused)
			<-resumed
		}
		return r.copy(ctx, peer, request)
	}
	var deliveries sync.WaitGroup
	r.owner.cutAndStartCopying(ctx, &deliveries)
	<-paused
	for r.peers["p2"].Bytes() < 3*9 {
		r.owner.cutAndStartCopying(ctx, &deliveries)
		time.Sleep(time.Millisecond)
	}
	if r.peers["p1"].Bytes() != 0 {
		t.Fatal("p1 received a copy while it was paused")
	}
	close(resumed)
	deliveries.Wait()
	if r.peers["p1"].Bytes() != 9 {
		t.Fatalf("p1 holds %d bytes, want 9", r.peers["p1"].Bytes())
	}
}

func TestOwnerWronglyAssumedDead(t *testing.T) {
	r, ctx := newFixture(t, nil), context.Background()
	r.owner.CutAndCopy(ctx)
	r.alive = false
	r.manual.Advance(10 * clock.Second)
	r.peers["p2"].SaveOrphans(ctx)
	r.alive = true
	r.owner.CutAndCopy(ctx)
	if left, err := r.owner.Save(ctx); left != 0 || err != nil {
		t.Fatalf("got %d batches left, error %v; want 0, nil", left, err)
	}
	r.expectRows(t, "batch 001", "batch 002")
}

func TestAllHoldersDropSavedBatches(t *testing.T) {
	r, ctx := newFixture(t, nil), context.Background()
	r.owner.CutAndCopy(ctx)
	r.targets = []string{"p2", "p3"} // p1 is no longer a target but holds a copy
	r.owner.CutAndCopy(ctx)
	if r.peers["p3"].Bytes() != 18 || r.peers["p1"].Bytes() != 9 {
		t.Fatalf("got copies of %d bytes at p1 and %d at p3, want 9 and 18", r.peers["p1"].Bytes(), r.peers["p3"].Bytes())
	}
	if err := r.owner.Flush(ctx, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := r.owner.Save(ctx); err != nil {
		t.Fatal(err)
	}
	r.owner.CutAndCopy(ctx)
	for name, peer := range r.peers {
		if name != "p1" && peer.Bytes() > 9 {
			t.Errorf("%s holds %d bytes, want at most 9", name, peer.Bytes())
		}
	}
	if r.peers["p1"].Bytes() != 0 {
		t.Errorf("p1 holds %d bytes, want 0", r.peers["p1"].Bytes())
	}
}

func TestSaveWithLostAnswersAndUnavailableTable(t *testing.T) {
	r, ctx := newFixture(t, nil), context.Background()
	r.owner.CutAndCopy(ctx)
	r.memory.SetFault(table.Fault{LoseAnswers: true})
	if left, err := r.owner.Save(ctx); left != 0 || err != nil {
		t.Fatalf("lost answer: got %d batches left, error %v; want 0, nil", left, err)
	}
	r.owner.CutAndCopy(ctx)
	r.memory.SetFault(table.Fault{DropCommits: true})
	if _, err := r.owner.Save(ctx); !errors.Is(err, table.ErrUnknown) {
		t.Fatalf("dropped commit: got %v, want ErrUnknown", err)
	}
	r.memory.SetFault(table.Fault{Down: true})
	if _, err := r.owner.Save(ctx); !errors.Is(err, table.ErrUnavailable) {
		t.Fatalf("table down: got %v, want ErrUnavailable", err)
	}
	r.memory.SetFault(table.Fault{})
	if left, err := r.owner.Save(ctx); left != 0 || err != nil {
		t.Fatalf("table back: got %d batches left, error %v; want 0, nil", left, err)
	}
	r.expectRows(t, "batch 001", "batch 002")
}

// TestLongOutage checks the memory limits during an outage of the table: peers
// refuse copies beyond their MaxBytes, and the owner creates no batches beyond
// its own.
func TestLongOutage(t *testing.T) {
	r, ctx := newFixture(t, func(cfg *OwnerConfig) { cfg.MaxBytes = 1500 }), context.Background()
	r.memory.SetFault(table.Fault{Down: true})
	for range 300 {
		r.owner.CutAndCopy(ctx)
	}
	cut := r.cutCount
	if got := r.owner.Bytes(); got < 1500 || got > 1510 {
		t.Errorf("owner holds %d bytes, want 1500 to 1510", got)
	}
	if got := r.peers["p1"].Bytes(); got > 1000 {
		t.Errorf("peer holds %d bytes, want at most 1000", got)
	}
	if r.sentBatches > 2*(1500/9+10) {
		t.Errorf("got %d batches sent, more than the peers have memory for", r.sentBatches)
	}
	r.memory.SetFault(table.Fault{})
	if err := r.owner.Flush(ctx, 0); err != nil {
		t.Fatal(err)
	}
	if rows := r.rows(t); len(rows) != cut {
		t.Fatalf("got %d rows, want %d", len(rows), cut)
	}
}

func TestIntervalFollowsBytesSent(t *testing.T) {
	r := newFixture(t, nil)
	if got := r.owner.nextCutDelay(1); got != 100 {
		t.Errorf("delay after 1 byte: got %v, want 100", got)
	}
	if got := r.owner.nextCutDelay(250); got != 2500 {
		t.Errorf("delay after 250 bytes at 100 bytes per second: got %v, want 2500", got)
	}
}

// TestCopyingOldBatchesDoesNotDelayNextBatch covers the replacement of a peer
// while many batches are unsaved.
func TestCopyingOldBatchesDoesNotDelayNextBatch(t *testing.T) {
	r, ctx := newFixture(t, nil), context.Background()
	var deliveries sync.WaitGroup
	for range 50 {
		r.owner.CutAndCopy(ctx)
	}
	r.targets = []string{"p2", "p3"}
	bytes := r.owner.cutAndStartCopying(ctx, &deliveries)
	deliveries.Wait()
	if r.peers["p3"].Bytes() != 51*9 {
		t.Fatalf("got %d bytes of copies at p3", r.peers["p3"].Bytes())
	}
	if got := r.owner.nextCutDelay(bytes); got != 180 { // 9 bytes to each of 2 peers at 100 bytes per second
		t.Errorf("delay before the next batch: got %v, want 180", got)
	}
}

func TestRowKey(t *testing.T) {
	b := Batch{Incarnation: "region/a.1", Sequence: 7}
	incarnation, sequence, err := ParseRowKey(prefix, b.RowKey(prefix))
	if err != nil || incarnation != b.Incarnation || sequence != 7 {
		t.Fatalf("got %q, %d, error %v; want region/a.1, 7, nil", incarnation, sequence, err)
	}
	if _, _, err = ParseRowKey(prefix, "Usage/Window/x/1"); err == nil {
		t.Fatal("got no error for the key of a window")
	}
}
