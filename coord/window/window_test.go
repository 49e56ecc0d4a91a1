package window

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banyanshift/banyanshift/coord/batch"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

const (
	scope    = "region"
	leaseKey = "Lease/region"
)

// network is a table whose answers get lost and whose transactions get lost or
// arrive late, as its mode says.
type network struct {
	memory *table.Memory
	mode   int
	late   []table.Txn
}

const (
	modeFine = iota
	modeLoseAnswer
	modeDrop
	modeLate
	modeDown
	modes
)

func (n *network) client() table.Client {
	client := n.memory.Client()
	commit, get, scan := client.Commit, client.Get, client.Scan
	client.Commit = func(ctx context.Context, txn table.Txn) error {
		switch n.mode {
		case modeLoseAnswer:
			_ = commit(ctx, txn)
			return table.ErrUnknown
		case modeDrop:
			return table.ErrUnknown
		case modeLate:
			n.late = append(n.late, txn)
			return table.ErrUnknown
		case modeDown:
			return table.ErrUnavailable
		}
		return commit(ctx, txn)
	}
	client.Get = func(ctx context.Context, key string) (table.Row, error) {
		if n.mode == modeDown {
			return table.Row{}, table.ErrUnavailable
		}
		return get(ctx, key)
	}
	client.Scan = func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
		if n.mode == modeDown {
			return nil, table.ErrUnavailable
		}
		return scan(ctx, prefix, after, limit)
	}
	return client
}

func (n *network) deliver(i int) {
	_ = n.memory.Client().Commit(context.Background(), n.late[i])
	n.late = append(n.late[:i], n.late[i+1:]...)
}

// holder is one process that seals and reports.
type holder struct {
	*Sealer
	fence uint64
	held  bool
	// beforeSeal runs between reading the batches and the transaction.
	beforeSeal func()
	reports    map[uint64]string
	clashes    *int
	loseReport bool
}

func newHolder(n *network, reports map[uint64]string, clashes *int) *holder {
	h := &holder{reports: reports, clashes: clashes, held: true, fence: 1}
	h.Sealer = New(Config{
		Table: n.client(), Clock: clock.NewManual(5).Clock(), Scope: scope,
		BatchPrefix: "B/", WindowPrefix: "W/", StatePrefix: "S/", ReportedPrefix: "R/",
		Lease:          func() (uint64, clock.Millis, bool) { return h.fence, 0, h.held },
		LeaseCondition: func(ctx context.Context, fence uint64) (table.Condition, error) { return guard(ctx, n, fence) },
		Fold:           h.fold,
		Report:         h.send, Interval: clock.Minute, MaxBatches: 1000, IncarnationRetention: 1000, CallTimeout: clock.Second,
	})
	return h
}

// guard reads the lease's row, whose value is the fence.
func guard(ctx context.Context, n *network, fence uint64) (table.Condition, error) {
	row, err := n.client().Get(ctx, leaseKey)
	if err != nil {
		return table.Condition{}, err
	}
	if len(row.Value) == 8 && binary.BigEndian.Uint64(row.Value) != fence {
		return table.Condition{}, ErrLeaseNotHeld
	}
	return table.Condition{Key: leaseKey, Version: row.Version}, nil
}

func passLease(n *network, fence uint64) {
	_ = n.memory.Client().Commit(context.Background(), table.Txn{
		Writes: []table.Write{{Key: leaseKey, Value: binary.BigEndian.AppendUint64(nil, fence)}},
	})
}

func (h *holder) fold(header Header, payloads [][]byte) ([]byte, error) {
	if h.beforeSeal != nil {
		h.beforeSeal()
	}
	sum := 0
	for _, payload := range payloads {
		sum += len(payload)
	}
	return []byte(fmt.Sprintf("%d %d", header.Fence, sum)), nil
}

func (h *holder) send(_ context.Context, _ uint64, sealed Sealed) error {
	if before, found := h.reports[sealed.Number]; found && before != string(sealed.Value) {
		*h.clashes++
	}
	h.reports[sealed.Number] = string(sealed.Value)
	if h.loseReport {
		return errors.New("answer lost")
	}
	return nil
}

func total(reports map[uint64]string) (sum int) {
	for _, value := range reports {
		var fence, figure int
		_, _ = fmt.Sscanf(value, "%d %d", &fence, &figure)
		sum += figure
	}
	return sum
}

func put(t *testing.T, n *network, incarnation string, sequence uint64, size int) {
	t.Helper()
	b := batch.Batch{Incarnation: scope + "/" + incarnation, Sequence: sequence, Payload: make([]byte, size)}
	if err := batch.Save(context.Background(), n.memory.Client(), "B/", []batch.Batch{b}); err != nil {
		t.Fatal(err)
	}
}

func newPair() (n *network, a, b *holder) {
	n = &network{memory: table.NewMemory()}
	reports, clashes := map[uint64]string{}, 0
	return n, newHolder(n, reports, &clashes), newHolder(n, reports, &clashes)
}

func TestLateAndRepeatedBatches(t *testing.T) {
	n, a, _ := newPair()
	ctx := context.Background()
	put(t, n, "x", 1, 1)
	put(t, n, "x", 3, 4)
	a.CloseAll(ctx)
	put(t, n, "x", 2, 2) // late: goes to the next window
	put(t, n, "x", 3, 4) // again: not counted
	a.CloseAll(ctx)
	put(t, n, "x", 1, 1)
	a.CloseAll(ctx)
	a.ReportAll(ctx)
	if a.reports[1] != "1 5" || a.reports[2] != "1 2" || len(a.reports) != 2 {
		t.Fatalf("reports %v", a.reports)
	}
	if rows, _ := n.memory.Client().Scan(ctx, "B/", "", 10); len(rows) != 0 {
		t.Fatalf("rows left: %v", rows)
	}
}

func TestTwoSealersRace(t *testing.T) {
	n, a, b := newPair()
	ctx := context.Background()
	put(t, n, "x", 1, 1)
	a.beforeSeal = func() {
		a.beforeSeal = nil
		b.CloseAll(ctx)
		put(t, n, "x", 2, 2)
	}
	if _, _, err := a.Close(ctx); !errors.Is(err, ErrConflict) {
		t.Fatalf("want ErrRaced, got %v", err)
	}
	a.CloseAll(ctx)
	a.ReportAll(ctx)
	b.ReportAll(ctx)
	if total(a.reports) != 3 || len(a.reports) != 2 || *a.clashes != 0 {
		t.Fatalf("reports %v, clashes %d", a.reports, *a.clashes)
	}
}

func TestPausedHolderCannotSeal(t *testing.T) {
	n, a, b := newPair()
	ctx := context.Background()
	passLease(n, 1)
	put(t, n, "x", 1, 1)
	a.beforeSeal = func() { passLease(n, 2) } // paused here, the lease passes on
	if _, _, err := a.Close(ctx); !errors.Is(err, ErrConflict) {
		t.Fatalf("want ErrRaced, got %v", err)
	}
	a.beforeSeal = nil
	if _, _, err := a.Close(ctx); !errors.Is(err, ErrLeaseNotHeld) {
		t.Fatalf("want ErrNotHolder, got %v", err)
	}
	b.fence = 2
	b.CloseAll(ctx)
	b.ReportAll(ctx)
	if b.reports[1] != "2 1" {
		t.Fatalf("reports %v", b.reports)
	}
}

func TestLostReportIsSentAgainUnchanged(t *testing.T) {
	n, a, b := newPair()
	ctx := context.Background()
	put(t, n, "x", 1, 1)
	a.CloseAll(ctx)
	a.loseReport = true
	a.ReportAll(ctx)
	put(t, n, "x", 2, 2)
	b.fence = 2
	b.CloseAll(ctx)
	b.ReportAll(ctx)
	if b.reports[1] != "1 1" || b.reports[2] != "2 2" || *b.clashes != 0 {
		t.Fatalf("reports %v, clashes %d", b.reports, *b.clashes)
	}
}

// TestEveryBatchIsBilledOnce lets owners, peers and two sealers work in random
// order over a table that loses answers and transactions, with owners that die.
func TestEveryBatchIsBilledOnce(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("every copied batch is reported once and no window changes", prop.ForAll(
		func(seed uint64) bool { return newWorld(seed).run() }, gen.UInt64()))
	properties.TestingRun(t)
}

type world struct {
	rng     *rand.Rand
	net     *network
	manual  *clock.Manual
	holders []*holder
	owners  []*batch.Owner
	alive   map[string]bool
	copies  *batch.CopyStore
	made    int
}

func newWorld(seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 2)), manual: clock.NewManual(1), alive: map[string]bool{}}
	var a, b *holder
	w.net, a, b = newPair()
	w.holders = []*holder{a, b}
	w.copies = batch.NewCopyStore(batch.CopyStoreConfig{
		Table: w.net.client(), Clock: w.manual.Clock(), Prefix: "B/",
		Alive:       func(incarnation string) bool { return w.alive[incarnation] && w.rng.IntN(10) > 0 },
		GracePeriod: 2, SilenceTimeout: 20, MaxBytes: 1 << 20, MaxBatchesPerSave: 5, CallTimeout: clock.Second,
	})
	for i := range 3 {
		w.addOwner(fmt.Sprintf("%s/%d", scope, i))
	}
	return w
}

func (w *world) addOwner(incarnation string) {
	w.alive[incarnation] = true
	w.owners = append(w.owners, batch.NewOwner(batch.OwnerConfig{
		Table: w.net.client(), Clock: w.manual.Clock(), Prefix: "B/", Incarnation: incarnation,
		NextPayload: func() ([]byte, bool) { w.made++; return []byte{0}, true },
		Peers:       func() []string { return []string{"peer"} },
		Copy:        func(_ context.Context, _ string, parcel batch.CopyRequest) error { return w.copies.Put(parcel) },
		PeerLost:    func(string) bool { return false },
		// The loops do not run; the intervals are not used.
		MaxBatchesPerSave: 5, MaxBytes: 1 << 20, CallTimeout: clock.Second, CopyTimeout: clock.Second,
	}))
}

func (w *world) run() bool {
	ctx := context.Background()
	for range 150 {
		w.net.mode = modeFine
		if w.rng.IntN(2) == 0 {
			w.net.mode = w.rng.IntN(modes)
		}
		w.step(ctx)
	}
	w.net.mode = modeFine
	for len(w.net.late) > 0 {
		w.net.deliver(0)
	}
	clear(w.alive)
	w.manual.Advance(10)
	w.copies.SaveOrphans(ctx)
	for _, h := range w.holders {
		h.loseReport = false
		h.CloseAll(ctx)
		h.ReportAll(ctx)
	}
	return total(w.holders[0].reports) == w.made && *w.holders[0].clashes == 0
}

func (w *world) step(ctx context.Context) {
	i := w.rng.IntN(len(w.owners))
	h := w.holders[w.rng.IntN(len(w.holders))]
	switch w.rng.IntN(8) {
	case 0, 1:
		if w.alive[fmt.Sprintf("%s/%d", scope, i)] {
			w.owners[i].CutAndCopy(ctx)
		}
	case 2:
		if w.alive[fmt.Sprintf("%s/%d", scope, i)] {
			_, _ = w.owners[i].Save(ctx)
		}
	case 3:
		if w.rng.IntN(10) == 0 {
			w.alive[fmt.Sprintf("%s/%d", scope, i)] = false
		}
	case 4:
		w.manual.Advance(1)
		w.copies.SaveOrphans(ctx)
	case 5:
		h.CloseAll(ctx)
	case 6:
		h.loseReport = w.rng.IntN(3) == 0
		h.ReportAll(ctx)
	case 7:
		if len(w.net.late) > 0 {
			w.net.deliver(w.rng.IntN(len(w.net.late)))
		}
	}
}
