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

// faultyTable is a table that loses answers and loses or delays transactions,
// depending on its mode.
type faultyTable struct {
	memory  *table.Memory
	mode    int
	delayed []table.Txn
}

const (
	modeNormal = iota
	modeLoseAnswer
	modeDrop
	modeDelay
	modeDown
	modeCount
)

func (ft *faultyTable) client() table.Client {
	client := ft.memory.Client()
	commit, get, scan := client.Commit, client.Get, client.Scan
	client.Commit = func(ctx context.Context, txn table.Txn) error {
		switch ft.mode {
		case modeLoseAnswer:
			_ = commit(ctx, txn)
			return table.ErrUnknown
		case modeDrop:
			return table.ErrUnknown
		case modeDelay:
			ft.delayed = append(ft.delayed, txn)
			return table.ErrUnknown
		case modeDown:
			return table.ErrUnavailable
		}
		return commit(ctx, txn)
	}
	client.Get = func(ctx context.Context, key string) (table.Row, error) {
		if ft.mode == modeDown {
			return table.Row{}, table.ErrUnavailable
		}
		return get(ctx, key)
	}
	client.Scan = func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
		if ft.mode == modeDown {
			return nil, table.ErrUnavailable
		}
		return scan(ctx, prefix, after, limit)
	}
	return client
}

func (ft *faultyTable) deliver(i int) {
	_ = ft.memory.Client().Commit(context.Background(), ft.delayed[i])
	ft.delayed = append(ft.delayed[:i], ft.delayed[i+1:]...)
}

// holder is one process that seals and reports.
type holder struct {
	*Sealer
	fence uint64
	held  bool
	// beforeSeal runs after the batches are read and before the transaction.
	beforeSeal func()
	reports    map[uint64]string
	mismatches *int
	loseReport bool
}

func newHolder(ft *faultyTable, reports map[uint64]string, mismatches *int) *holder {
	h := &holder{reports: reports, mismatches: mismatches, held: true, fence: 1}
	h.Sealer = New(Config{
		Table: ft.client(), Clock: clock.NewManual(5).Clock(), Scope: scope,
		BatchPrefix: "B/", WindowPrefix: "W/", StatePrefix: "S/", ReportedPrefix: "R/",
		Lease: func() (uint64, clock.Millis, bool) { return h.fence, 0, h.held },
		LeaseCondition: func(ctx context.Context, fence uint64) (table.Condition, error) {
			return leaseCondition(ctx, ft, fence)
		},
		Fold:   h.fold,
		Report: h.recordReport, Interval: clock.Minute, MaxBatches: 1000, IncarnationRetention: 1000, CallTimeout: clock.Second,
	})
	return h
}

// leaseCondition returns a condition on the lease's row, whose value is the fence.
func leaseCondition(ctx context.Context, ft *faultyTable, fence uint64) (table.Condition, error) {
	row, err := ft.client().Get(ctx, leaseKey)
	if err != nil {
		return table.Condition{}, err
	}
	if len(row.Value) == 8 && binary.BigEndian.Uint64(row.Value) != fence {
		return table.Condition{}, ErrLeaseNotHeld
	}
	return table.Condition{Key: leaseKey, Version: row.Version}, nil
}

func moveLease(ft *faultyTable, fence uint64) {
	_ = ft.memory.Client().Commit(context.Background(), table.Txn{
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

func (h *holder) recordReport(_ context.Context, _ uint64, sealed Sealed) error {
	if before, found := h.reports[sealed.Number]; found && before != string(sealed.Value) {
		*h.mismatches++
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

func saveBatch(t *testing.T, ft *faultyTable, incarnation string, sequence uint64, size int) {
	t.Helper()
	b := batch.Batch{Incarnation: scope + "/" + incarnation, Sequence: sequence, Payload: make([]byte, size)}
	if err := batch.Save(context.Background(), ft.memory.Client(), "B/", []batch.Batch{b}); err != nil {
		t.Fatal(err)
	}
}

func newPair() (ft *faultyTable, a, b *holder) {
	ft = &faultyTable{memory: table.NewMemory()}
	reports, mismatches := map[uint64]string{}, 0
	return ft, newHolder(ft, reports, &mismatches), newHolder(ft, reports, &mismatches)
}

func TestLateAndRepeatedBatches(t *testing.T) {
	ft, a, _ := newPair()
	ctx := context.Background()
	saveBatch(t, ft, "x", 1, 1)
	saveBatch(t, ft, "x", 3, 4)
	a.CloseAll(ctx)
	saveBatch(t, ft, "x", 2, 2) // late: counted in the next window
	saveBatch(t, ft, "x", 3, 4) // repeated: not counted
	a.CloseAll(ctx)
	saveBatch(t, ft, "x", 1, 1)
	a.CloseAll(ctx)
	a.ReportAll(ctx)
	if a.reports[1] != "1 5" || a.reports[2] != "1 2" || len(a.reports) != 2 {
		t.Fatalf("got reports %v", a.reports)
	}
	if rows, _ := ft.memory.Client().Scan(ctx, "B/", "", 10); len(rows) != 0 {
		t.Fatalf("got rows %v, want none", rows)
	}
}

func TestTwoSealersRace(t *testing.T) {
	ft, a, b := newPair()
	ctx := context.Background()
	saveBatch(t, ft, "x", 1, 1)
	a.beforeSeal = func() {
		a.beforeSeal = nil
		b.CloseAll(ctx)
		saveBatch(t, ft, "x", 2, 2)
	}
	if _, _, err := a.Close(ctx); !errors.Is(err, ErrConflict) {
		t.Fatalf("got %v, want ErrConflict", err)
	}
	a.CloseAll(ctx)
	a.ReportAll(ctx)
	b.ReportAll(ctx)
	if total(a.reports) != 3 || len(a.reports) != 2 || *a.mismatches != 0 {
		t.Fatalf("got reports %v with %d mismatches", a.reports, *a.mismatches)
	}
}

func TestPausedHolderCannotSeal(t *testing.T) {
	ft, a, b := newPair()
	ctx := context.Background()
	moveLease(ft, 1)
	saveBatch(t, ft, "x", 1, 1)
	a.beforeSeal = func() { moveLease(ft, 2) } // the process pauses here and another acquires the lease
	if _, _, err := a.Close(ctx); !errors.Is(err, ErrConflict) {
		t.Fatalf("got %v, want ErrConflict", err)
	}
	a.beforeSeal = nil
	if _, _, err := a.Close(ctx); !errors.Is(err, ErrLeaseNotHeld) {
		t.Fatalf("got %v, want ErrLeaseNotHeld", err)
	}
	b.fence = 2
	b.CloseAll(ctx)
	b.ReportAll(ctx)
	if b.reports[1] != "2 1" {
		t.Fatalf("got reports %v", b.reports)
	}
}

func TestLostReportIsRetriedUnchanged(t *testing.T) {
	ft, a, b := newPair()
	ctx := context.Background()
	saveBatch(t, ft, "x", 1, 1)
	a.CloseAll(ctx)
	a.loseReport = true
	a.ReportAll(ctx)
	saveBatch(t, ft, "x", 2, 2)
	b.fence = 2
	b.CloseAll(ctx)
	b.ReportAll(ctx)
	if b.reports[1] != "1 1" || b.reports[2] != "2 2" || *b.mismatches != 0 {
		t.Fatalf("got reports %v with %d mismatches", b.reports, *b.mismatches)
	}
}

// TestEveryBatchIsBilledOnce runs owners, a peer and two sealers in random order
// over a table that loses answers and loses or delays transactions, while owners
// die.
func TestEveryBatchIsBilledOnce(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("every copied batch is reported once and no window changes", prop.ForAll(
		func(seed uint64) bool { return newSimulation(seed).run() }, gen.UInt64()))
	properties.TestingRun(t)
}

type simulation struct {
	rng     *rand.Rand
	table   *faultyTable
	manual  *clock.Manual
	holders []*holder
	owners  []*batch.Owner
	alive   map[string]bool
	copies  *batch.CopyStore
	made    int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 2)), manual: clock.NewManual(1), alive: map[string]bool{}}
	var a, b *holder
	s.table, a, b = newPair()
	s.holders = []*holder{a, b}
	s.copies = batch.NewCopyStore(batch.CopyStoreConfig{
		Table: s.table.client(), Clock: s.manual.Clock(), Prefix: "B/",
		Alive:       func(incarnation string) bool { return s.alive[incarnation] && s.rng.IntN(10) > 0 },
		GracePeriod: 2, SilenceTimeout: 20, MaxBytes: 1 << 20, MaxBatchesPerSave: 5, CallTimeout: clock.Second,
	})
	for i := range 3 {
		s.addOwner(fmt.Sprintf("%s/%d", scope, i))
	}
	return s
}

func (s *simulation) addOwner(incarnation string) {
	s.alive[incarnation] = true
	s.owners = append(s.owners, batch.NewOwner(batch.OwnerConfig{
		Table: s.table.client(), Clock: s.manual.Clock(), Prefix: "B/", Incarnation: incarnation,
		NextPayload: func() ([]byte, bool) { s.made++; return []byte{0}, true },
		Peers:       func() []string { return []string{"peer"} },
		Copy:        func(_ context.Context, _ string, request batch.CopyRequest) error { return s.copies.Put(request) },
		PeerLost:    func(string) bool { return false },
		// The test calls each step, so the intervals are not used.
		MaxBatchesPerSave: 5, MaxBytes: 1 << 20, CallTimeout: clock.Second, CopyTimeout: clock.Second,
	}))
}

func (s *simulation) run() bool {
	ctx := context.Background()
	for range 150 {
		s.table.mode = modeNormal
		if s.rng.IntN(2) == 0 {
			s.table.mode = s.rng.IntN(modeCount)
		}
		s.step(ctx)
	}
	s.table.mode = modeNormal
	for len(s.table.delayed) > 0 {
		s.table.deliver(0)
	}
	clear(s.alive)
	s.manual.Advance(10)
	s.copies.SaveOrphans(ctx)
	for _, h := range s.holders {
		h.loseReport = false
		h.CloseAll(ctx)
		h.ReportAll(ctx)
	}
	return total(s.holders[0].reports) == s.made && *s.holders[0].mismatches == 0
}

func (s *simulation) step(ctx context.Context) {
	i := s.rng.IntN(len(s.owners))
	h := s.holders[s.rng.IntN(len(s.holders))]
	switch s.rng.IntN(8) {
	case 0, 1:
		if s.alive[fmt.Sprintf("%s/%d", scope, i)] {
			s.owners[i].CutAndCopy(ctx)
		}
	case 2:
		if s.alive[fmt.Sprintf("%s/%d", scope, i)] {
			_, _ = s.owners[i].Save(ctx)
		}
	case 3:
		if s.rng.IntN(10) == 0 {
			s.alive[fmt.Sprintf("%s/%d", scope, i)] = false
		}
	case 4:
		s.manual.Advance(1)
		s.copies.SaveOrphans(ctx)
	case 5:
		h.CloseAll(ctx)
	case 6:
		h.loseReport = s.rng.IntN(3) == 0
		h.ReportAll(ctx)
	case 7:
		if len(s.table.delayed) > 0 {
			s.table.deliver(s.rng.IntN(len(s.table.delayed)))
		}
	}
}
