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

// rig is an owner with two peers over a table in memory. Nothing runs by itself.
type rig struct {
	memory  *table.Memory
	manual  *clock.Manual
	owner   *Owner
	peers   map[string]*CopyStore
	targets []string
	cut     int
	alive   bool
	refuse  map[string]bool

	mu   sync.Mutex
	sent int
}

func newRig(t *testing.T, change func(*OwnerConfig)) *rig {
	t.Helper()
	r := &rig{
		memory:  table.NewMemory(),
		manual:  clock.NewManual(1),
		peers:   map[string]*CopyStore{},
		targets: []string{"p1", "p2"},
		alive:   true,
		refuse:  map[string]bool{},
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
		NextPayload: r.cutNext,
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

func (r *rig) cutNext() ([]byte, bool) {
	r.cut++
	return []byte(fmt.Sprintf("batch %03d", r.cut)), true
}

func (r *rig) copy(_ context.Context, peer string, parcel CopyRequest) error {
	if r.refuse[peer] {
		return errors.New("unreachable")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent += len(parcel.Payloads)
	return r.peers[peer].Put(parcel)
}

func (r *rig) rows(t *testing.T) []string {
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

func (r *rig) expectRows(t *testing.T, want ...string) {
	t.Helper()
	if got := r.rows(t); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("rows %v, want %v", got, want)
	}
}

func TestPeersWriteTheBatchesOfADeadOwner(t *testing.T) {
	r, ctx := newRig(t, nil), context.Background()
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
		t.Fatalf("%d bytes of copies left", left)
	}
}

// TestSilentOwnerIsRescued covers an owner whose process was restarted under the
// same name, so that it seems to live.
func TestSilentOwnerIsRescued(t *testing.T) {
	r, ctx := newRig(t, nil), context.Background()
	r.owner.CutAndCopy(ctx)
	r.manual.Advance(clock.Minute - 1)
	r.peers["p1"].SaveOrphans(ctx)
	r.expectRows(t)
	r.manual.Advance(1)
	r.peers["p1"].SaveOrphans(ctx)
	r.expectRows(t, "batch 001")
}

func TestCopiesLostByAPeerAreMadeAgain(t *testing.T) {
	r, ctx := newRig(t, nil), context.Background()
	r.owner.CutAndCopy(ctx)
	r.owner.ForgetPeer("p1")
	r.sent = 0
	r.owner.CutAndCopy(ctx)
	if r.sent != 3 {
		t.Fatalf("%d batches sent, want both to p1 and the new one to p2", r.sent)
	}
}

// TestCopiesOutliveTheirHolders has the owner die and its holders end one after
// another, all while the table is down.
func TestCopiesOutliveTheirHolders(t *testing.T) {
	r, ctx := newRig(t, nil), context.Background()
	for name, peer := range r.peers {
		peer.cfg.Copy = r.copy
		peer.cfg.FallbackPeers = func(string) []string {
			return slices.DeleteFunc([]string{"p1", "p2", "p3"}, func(heir string) bool { return heir == name || r.refuse[heir] })
		}
	}
	r.memory.SetFault(table.Fault{Down: true})
	r.owner.CutAndCopy(ctx)
	r.owner.CutAndCopy(ctx)
	r.alive = false
	r.manual.Advance(10 * clock.Second)
	r.sent = 0
	for range 3 {
		r.peers["p1"].SaveOrphans(ctx)
	}
	if r.sent != 4 || r.peers["p3"].Bytes() != 18 {
		t.Fatalf("%d batches sent, p3 has %d bytes", r.sent, r.peers["p3"].Bytes())
	}
	r.refuse["p1"], r.refuse["p2"] = true, true // both are killed
	r.memory.SetFault(table.Fault{})
	r.manual.Advance(10 * clock.Second)
	r.peers["p3"].SaveOrphans(ctx)
	r.expectRows(t, "batch 001", "batch 002")
}

func TestHandOver(t *testing.T) {
	r, ctx := newRig(t, nil), context.Background()
	r.owner.CutAndCopy(ctx)
	p1 := r.peers["p1"]
	p1.cfg.Copy = r.copy
	p1.cfg.FallbackPeers = func(string) []string { return []string{"p3"} }
	if err := p1.HandOver(ctx); err != nil {
		t.Fatal(err)
	}
	if r.peers["p3"].Bytes() != 9 {
		t.Fatalf("p3 has %d bytes", r.peers["p3"].Bytes())
	}
}

func TestFlushWaitsForCopiesWhileTheTableIsDown(t *testing.T) {
	r := newRig(t, func(cfg *OwnerConfig) { cfg.Clock = clock.System(); cfg.MinCutInterval = 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r.memory.SetFault(table.Fault{Down: true})
	tries := 0
	r.owner.cfg.Copy = func(ctx context.Context, peer string, parcel CopyRequest) error {
		r.mu.Lock()
		tries++
		failing := tries < 6
		r.mu.Unlock()
		if failing {
			return errors.New("unreachable")
		}
		return r.copy(ctx, peer, parcel)
	}
	if err := r.owner.Flush(ctx, 0); !errors.Is(err, table.ErrUnavailable) || ctx.Err() != nil {
		t.Fatalf("%v, %v", err, ctx.Err())
	}
	if r.peers["p1"].Bytes() == 0 || r.peers["p2"].Bytes() == 0 {
		t.Fatal("ended without copies")
	}
}

// TestPausedPeerHoldsUpNobody has one peer not answer while the owner goes on to
// cut and to copy to the other.
func TestPausedPeerHoldsUpNobody(t *testing.T) {
	r, ctx := newRig(t, nil), context.Background()
	paused, resumed := make(chan struct{}), make(chan struct{})
	r.owner.cfg.Copy = func(ctx context.Context, peer string, parcel CopyRequest) error {
		if peer == "p1" {
			close(paused)
			<-resumed
		}
		return r.copy(ctx, peer, parcel)
	}
	var sending sync.WaitGroup
	r.owner.launch(ctx, &sending)
	<-paused
	for r.peers["p2"].Bytes() < 3*9 {
		r.owner.launch(ctx, &sending)
		time.Sleep(time.Millisecond)
	}
	if r.peers["p1"].Bytes() != 0 {
		t.Fatal("the peer was not paused")
	}
	close(resumed)
	sending.Wait()
	if r.peers["p1"].Bytes() != 9 {
		t.Fatalf("p1 has %d bytes", r.peers["p1"].Bytes())
	}
}

func TestOwnerWronglyTakenForDead(t *testing.T) {
	r, ctx := newRig(t, nil), context.Background()
	r.owner.CutAndCopy(ctx)
	r.alive = false
	r.manual.Advance(10 * clock.Second)
	r.peers["p2"].SaveOrphans(ctx)
	r.alive = true
	r.owner.CutAndCopy(ctx)
	if left, err := r.owner.Save(ctx); left != 0 || err != nil {
		t.Fatalf("%d left, %v", left, err)
	}
	r.expectRows(t, "batch 001", "batch 002")
}

func TestSavedBatchesAreForgottenByAllHolders(t *testing.T) {
	r, ctx := newRig(t, nil), context.Background()
	r.owner.CutAndCopy(ctx)
	r.targets = []string{"p2", "p3"} // p1 is no longer wanted but has a copy
	r.owner.CutAndCopy(ctx)
	if r.peers["p3"].Bytes() != 18 || r.peers["p1"].Bytes() != 9 {
		t.Fatalf("copies: p1 %d bytes, p3 %d bytes", r.peers["p1"].Bytes(), r.peers["p3"].Bytes())
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
			t.Errorf("%s keeps %d bytes", name, peer.Bytes())
		}
	}
	if r.peers["p1"].Bytes() != 0 {
		t.Errorf("p1 keeps %d bytes", r.peers["p1"].Bytes())
	}
}

func TestLostAndUnavailableAnswersOfTheTable(t *testing.T) {
	r, ctx := newRig(t, nil), context.Background()
	r.owner.CutAndCopy(ctx)
	r.memory.SetFault(table.Fault{LoseAnswers: true})
	if left, err := r.owner.Save(ctx); left != 0 || err != nil {
		t.Fatalf("lost answer: %d left, %v", left, err)
	}
	r.owner.CutAndCopy(ctx)
	r.memory.SetFault(table.Fault{DropCommits: true})
	if _, err := r.owner.Save(ctx); !errors.Is(err, table.ErrUnknown) {
		t.Fatalf("dropped: %v", err)
	}
	r.memory.SetFault(table.Fault{Down: true})
	if _, err := r.owner.Save(ctx); !errors.Is(err, table.ErrUnavailable) {
		t.Fatalf("down: %v", err)
	}
	r.memory.SetFault(table.Fault{})
	if left, err := r.owner.Save(ctx); left != 0 || err != nil {
		t.Fatalf("back: %d left, %v", left, err)
	}
	r.expectRows(t, "batch 001", "batch 002")
}

// TestLongOutage shows what gives way: copies are refused beyond the peers'
// bound, and beyond the owner's bound nothing is cut any more.
func TestLongOutage(t *testing.T) {
	r, ctx := newRig(t, func(cfg *OwnerConfig) { cfg.MaxBytes = 1500 }), context.Background()
	r.memory.SetFault(table.Fault{Down: true})
	for range 300 {
		r.owner.CutAndCopy(ctx)
	}
	cut := r.cut
	if got := r.owner.Bytes(); got < 1500 || got > 1510 {
		t.Errorf("owner keeps %d bytes", got)
	}
	if got := r.peers["p1"].Bytes(); got > 1000 {
		t.Errorf("peer keeps %d bytes", got)
	}
	if r.sent > 2*(1500/9+10) {
		t.Errorf("%d batches were sent to peers that are full", r.sent)
	}
	r.memory.SetFault(table.Fault{})
	if err := r.owner.Flush(ctx, 0); err != nil {
		t.Fatal(err)
	}
	if rows := r.rows(t); len(rows) != cut {
		t.Fatalf("%d rows of %d batches", len(rows), cut)
	}
}

func TestIntervalFollowsBytesSent(t *testing.T) {
	r := newRig(t, nil)
	if got := r.owner.interval(1); got != 100 {
		t.Errorf("after 1 byte: %v", got)
	}
	if got := r.owner.interval(250); got != 2500 {
		t.Errorf("after 250 bytes at 100 bytes a second: %v", got)
	}
}

// TestNewCopiesOfOldBatchesDelayNoCut has a peer replaced while much is unsaved.
func TestNewCopiesOfOldBatchesDelayNoCut(t *testing.T) {
	r, ctx := newRig(t, nil), context.Background()
	var sending sync.WaitGroup
	for range 50 {
		r.owner.CutAndCopy(ctx)
	}
	r.targets = []string{"p2", "p3"}
	bytes := r.owner.launch(ctx, &sending)
	sending.Wait()
	if r.peers["p3"].Bytes() != 51*9 {
		t.Fatalf("p3 has %d bytes", r.peers["p3"].Bytes())
	}
	if got := r.owner.interval(bytes); got != 180 { // 9 bytes to each of 2 at 100 a second
		t.Errorf("next cut after %v", got)
	}
}

func TestRowKey(t *testing.T) {
	b := Batch{Incarnation: "region/a.1", Sequence: 7}
	incarnation, sequence, err := ParseRowKey(prefix, b.RowKey(prefix))
	if err != nil || incarnation != b.Incarnation || sequence != 7 {
		t.Fatalf("%q, %d, %v", incarnation, sequence, err)
	}
	if _, _, err = ParseRowKey(prefix, "Usage/Window/x/1"); err == nil {
		t.Fatal("want an error")
	}
}
