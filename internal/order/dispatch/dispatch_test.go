package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/lease"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/order/journal"
	"github.com/banyanshift/banyanshift/internal/order/leader"
	"github.com/banyanshift/banyanshift/internal/platform/order"
)

// fakePlatform carries out each order once.
type fakePlatform struct {
	checksFence bool

	mu       sync.Mutex
	maxFence uint64
	// effects maps the IDs of the orders that were carried out to endpoints.
	effects map[string]string
	// overlaps counts new orders that arrived under an old fence.
	overlaps int
	// unresponsive holds the endpoints for which the result is always unknown.
	unresponsive map[string]bool
}

func (f *fakePlatform) execute(ord order.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ord.Fence < f.maxFence {
		if f.checksFence {
			return order.ErrOldFence
		}
		if f.effects[ord.ID] == "" {
			f.overlaps++
		}
	}
	f.maxFence = max(f.maxFence, ord.Fence)
	if f.unresponsive[ord.EndpointID] {
		return order.ErrUnknown
	}
	if ord.EndpointID == "full" {
		return order.ErrNoCapacity
	}
	if f.effects[ord.ID] == "" {
		f.effects[ord.ID] = ord.EndpointID
	}
	return nil
}

// process is one daemon. After its crash, its calls have no effect.
type process struct {
	*Dispatcher
	simulation *simulation
	calls      int
	// crashAt is the number of the call at which the process crashes; -1 for
	// none. crashAfter makes the call take effect before the crash.
	crashAt    int
	crashAfter bool
	// faulty adds random faults to calls of the table and the platform.
	faulty bool
	ended  []journal.Entry
}

// simulation is the table, the clock and the platform that processes share.
type simulation struct {
	memory   *table.Memory
	manual   *clock.Manual
	rng      *rand.Rand
	platform *fakePlatform
	mu       sync.Mutex
	// late holds transactions that have not reached the table yet.
	late []table.Txn
}

var errCrashed = errors.New("process has crashed")

func newSimulation(seed uint64, checksFence bool) *simulation {
	return &simulation{
		memory:   table.NewMemory(),
		manual:   clock.NewManual(1),
		rng:      rand.New(rand.NewPCG(seed, 3)),
		platform: &fakePlatform{checksFence: checksFence, effects: map[string]string{}, unresponsive: map[string]bool{}},
	}
}

// lease writes the lease's row, as an acquisition or a renewal does.
func (s *simulation) lease(fence uint64) {
	value, _ := msgpack.Marshal(lease.Row{Holder: "x", Fence: fence})
	_ = s.memory.Client().Commit(context.Background(), table.Txn{Writes: []table.Write{{Key: "Lease/r", Value: value}}})
}

func (s *simulation) process(name string) *process {
	p := &process{simulation: s, crashAt: -1}
	logger, _ := test.NewNullLogger()
	logger.SetLevel(logrus.ErrorLevel)
	client := p.client()
	p.Dispatcher = New(Config{
		Journal: journal.New(journal.Config{
			Table: client, Clock: s.manual.Clock(), Scope: "r", Holder: name,
			Guard: leader.Guard(client, "Lease/r"), Keep: 10,
		}),
		Clock: s.manual.Clock(), Logger: logger, Holder: name, Send: p.send,
		HandleClosedOrder: func(entry journal.Entry) { p.ended = append(p.ended, entry) },
	})
	return p
}

// call counts a call and carries out its effect, or crashes.
func (p *process) call(effect func() error) error {
	p.simulation.mu.Lock()
	defer p.simulation.mu.Unlock()
	p.calls++
	switch {
	case p.crashAt >= 0 && p.calls > p.crashAt:
		return errCrashed
	case p.calls == p.crashAt:
		if p.crashAfter {
			_ = effect()
		}
		return errCrashed
	}
	return effect()
}

func (p *process) client() table.Client {
	client := p.simulation.memory.Client()
	get, commit, scan := client.Get, client.Commit, client.Scan
	client.Get = func(ctx context.Context, key string) (row table.Row, err error) {
		err = p.call(func() error { row, err = get(ctx, key); return err })
		return row, err
	}
	client.Scan = func(ctx context.Context, prefix, after string, limit int) (rows []table.Row, err error) {
		err = p.call(func() error { rows, err = scan(ctx, prefix, after, limit); return err })
		return rows, err
	}
	client.Commit = func(ctx context.Context, txn table.Txn) error {
		return p.call(func() error { return p.commit(ctx, txn, commit) })
	}
	return client
}

func (p *process) commit(ctx context.Context, txn table.Txn, commit func(context.Context, table.Txn) error) error {
	if !p.faulty {
		return commit(ctx, txn)
	}
	switch p.simulation.rng.IntN(6) {
	case 0:
		_ = commit(ctx, txn)
		return table.ErrUnknown
	case 1:
		return table.ErrUnknown
	case 2:
		p.simulation.late = append(p.simulation.late, txn)
		return table.ErrUnknown
	case 3:
		return table.ErrUnavailable
	}
	return commit(ctx, txn)
}

func (p *process) send(_ context.Context, ord order.Order) error {
	return p.call(func() error {
		if !p.faulty {
			return p.simulation.platform.execute(ord)
		}
		switch p.simulation.rng.IntN(5) {
		case 0:
			_ = p.simulation.platform.execute(ord)
			return order.ErrUnknown
		case 1:
			return order.ErrUnavailable
		}
		return p.simulation.platform.execute(ord)
	})
}

// work runs a term until the process is ready and has sent the orders, or fails.
func (p *process) work(fence uint64, orders ...order.Order) error {
	ctx := context.Background()
	if err := p.takeOver(ctx, fence); err != nil {
		return err
	}
	for range 60 {
		if err := p.round(ctx, fast); err != nil {
			return err
		}
		if _, ready := p.Ready(); ready {
			break
		}
	}
	if len(orders) == 0 {
		return nil
	}
	return p.Submit(ctx, orders)
}

func starts(prefix string, n int) (orders []order.Order) {
	for i := range n {
		orders = append(orders, order.Order{Kind: order.Start, EndpointID: fmt.Sprint(prefix, i)})
	}
	return orders
}

// check compares the journal with the effects on the platform after the last
// holder has completed all orders, and returns the first difference.
func (s *simulation) check() error {
	entries, err := journal.Entries(context.Background(), s.memory.Client(), "r")
	if err != nil {
		return err
	}
	known := map[string]bool{}
	for _, entry := range entries {
		known[entry.Order.ID] = true
		if entry.State == journal.Open {
			return fmt.Errorf("order %s is still open", entry.Order.ID)
		}
		effect, want := s.platform.effects[entry.Order.ID], ""
		if entry.State == journal.Done {
			want = entry.Order.EndpointID
		}
		if effect != want {
			return fmt.Errorf("order %s for %s is %s in the journal, but was carried out for %q", entry.Order.ID, entry.Order.EndpointID, entry.State, effect)
		}
	}
	for id := range s.platform.effects {
		if !known[id] {
			return fmt.Errorf("order %s was carried out but is not in the journal", id)
		}
	}
	if s.platform.overlaps > 0 {
		return fmt.Errorf("got %d new orders from a former holder, want none", s.platform.overlaps)
	}
	return nil
}

func TestCrashAtEveryCall(t *testing.T) {
	for _, after := range []bool{false, true} {
		for step := 1; step < 40; step++ {
			s := newSimulation(1, false)
			s.lease(1)
			a := s.process("a")
			a.crashAt, a.crashAfter = step, after
			_ = a.work(1, append(starts("a", 3), order.Order{Kind: order.Start, EndpointID: "full"})...)
			s.lease(2)
			if err := s.process("b").work(2, starts("b", 1)...); err != nil {
				t.Fatalf("step %d, after %t: successor: %v", step, after, err)
			}
			if err := s.check(); err != nil {
				t.Fatalf("step %d, after %t: %v", step, after, err)
			}
		}
	}
}

// TestPausedHolderIsResumed pauses the holder after the journal write and before
// the send, lets the next holder finish, and resumes the first. Its connection is
// unguarded, as if the pause had come after the guard's check.
func TestPausedHolderIsResumed(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		s := newSimulation(1, checksFence)
		s.lease(1)
		a, b := s.process("a"), s.process("b")
		paused := true
		a.cfg.Send = func(ctx context.Context, ord order.Order) error {
			if paused {
				paused = false
				s.lease(2)
				if err := b.work(2, starts("b", 2)...); err != nil {
					t.Fatal(err)
				}
			}
			return a.send(ctx, ord)
		}
		err := a.work(1, starts("a", 1)...)
		if !IsLeaseLost(err) {
			t.Fatalf("checks fence %t: former holder: got error %v, want a lost lease", checksFence, err)
		}
		if err := a.Submit(context.Background(), starts("late", 1)); err == nil {
			t.Fatal("Submit of a former holder succeeded, want an error")
		}
		if err := s.check(); err != nil {
			t.Fatalf("checks fence %t: %v", checksFence, err)
		}
	}
}

func TestHolderCannotOpenUnderAnOldFence(t *testing.T) {
	s := newSimulation(1, false)
	s.lease(2)
	if err := s.process("b").work(2); err != nil {
		t.Fatal(err)
	}
	if err := s.process("a").work(1); !IsLeaseLost(err) {
		t.Fatalf("got %v, want a lost lease", err)
	}
}

func TestPreviousHoldersOrdersAreCompletedFirst(t *testing.T) {
	s := newSimulation(1, false)
	s.platform.unresponsive["a0"] = true
	s.lease(1)
	_ = s.process("a").work(1, starts("a", 2)...)
	s.lease(2)
	b := s.process("b")
	if err := b.work(2, starts("b", 1)...); !errors.Is(err, ErrNotReady) {
		t.Fatalf("while an order is open: got %v, want ErrNotReady", err)
	}
	s.manual.Advance(maxTakeoverWait)
	ctx := context.Background()
	if err := b.round(ctx, fast); err != nil {
		t.Fatal(err)
	}
	if err := b.Submit(ctx, append(starts("b", 1), order.Order{Kind: order.Stop, EndpointID: "a0"})); err != nil {
		t.Fatal(err)
	}
	if len(b.ended) != 1 || b.ended[0].Order.EndpointID != "b0" {
		t.Fatalf("got closed orders %+v, want only the one for b0", b.ended)
	}
	delete(s.platform.unresponsive, "a0")
	if err := b.round(ctx, fast); err != nil {
		t.Fatal(err)
	}
	entries, err := journal.Entries(ctx, s.memory.Client(), "r")
	if err != nil || len(entries) != 3 {
		t.Fatalf("got entries %+v and error %v, want the orders for a0, a1 and b0", entries, err)
	}
	if err := s.check(); err != nil {
		t.Fatal(err)
	}
}

// TestTakenOverOrderIsNotRefused covers an order that was carried out although its
// answer was lost. The next holder finds the platform unavailable and must not
// conclude that the order had no effect.
func TestTakenOverOrderIsNotRefused(t *testing.T) {
	s := newSimulation(1, false)
	s.lease(1)
	a := s.process("a")
	a.cfg.Send = func(_ context.Context, ord order.Order) error {
		_ = s.platform.execute(ord)
		return order.ErrUnknown
	}
	_ = a.work(1, starts("a", 1)...)
	s.lease(2)
	b := s.process("b")
	b.cfg.Send = func(context.Context, order.Order) error { return order.ErrUnavailable }
	if err := b.work(2); err != nil {
		t.Fatal(err)
	}
	if len(b.ended) != 0 {
		t.Fatalf("got closed orders %+v, want none", b.ended)
	}
	b.cfg.Send = b.send
	if err := b.round(context.Background(), fast); err != nil {
		t.Fatal(err)
	}
	if err := s.check(); err != nil {
		t.Fatal(err)
	}
}

// TestLateJournalEntryDoesNotReuseNumber covers a transaction that arrives after
// its holder has opened the journal again and used the same number.
func TestLateJournalEntryDoesNotReuseNumber(t *testing.T) {
	s := newSimulation(1, false)
	s.lease(1)
	a := s.process("a")
	if err := a.work(1); err != nil {
		t.Fatal(err)
	}
	usual := a.cfg.Journal
	a.cfg.Journal = journal.New(journal.Config{
		Table: lateClient(s), Clock: s.manual.Clock(), Scope: "r", Holder: "a",
		Guard: leader.Guard(s.memory.Client(), "Lease/r"), Keep: 10,
	})
	if err := a.work(1, starts("late", 1)...); !errors.Is(err, table.ErrUnknown) {
		t.Fatalf("got %v, want ErrUnknown", err)
	}
	a.cfg.Journal = usual
	if err := a.work(1, starts("own", 1)...); err != nil {
		t.Fatal(err)
	}
	if err := s.memory.Client().Commit(context.Background(), s.late[0]); !errors.Is(err, table.ErrConflict) {
		t.Fatalf("the late entry was written: %v", err)
	}
	if err := s.check(); err != nil {
		t.Fatal(err)
	}
}

// TestLateJournalEntryOfAFormerHolder covers a transaction that arrives after the
// next holder has read the journal.
func TestLateJournalEntryOfAFormerHolder(t *testing.T) {
	s := newSimulation(1, false)
	s.lease(1)
	a := s.process("a")
	a.cfg.Journal = journal.New(journal.Config{
		Table: lateClient(s), Clock: s.manual.Clock(), Scope: "r", Holder: "a",
		Guard: leader.Guard(s.memory.Client(), "Lease/r"), Keep: 10,
	})
	_ = a.work(1, starts("late", 1)...)
	s.lease(2)
	if err := s.process("b").work(2); err != nil {
		t.Fatal(err)
	}
	if err := s.memory.Client().Commit(context.Background(), s.late[0]); !errors.Is(err, table.ErrConflict) {
		t.Fatalf("the late entry was written: %v", err)
	}
}

func lateClient(s *simulation) table.Client {
	client := s.memory.Client()
	client.Commit = func(_ context.Context, txn table.Txn) error {
		s.late = append(s.late, txn)
		return table.ErrUnknown
	}
	return client
}

func TestUnavailableOrderIsRefusedAfterRetries(t *testing.T) {
	s := newSimulation(1, false)
	s.lease(1)
	a := s.process("a")
	a.cfg.Send = func(context.Context, order.Order) error { return order.ErrUnavailable }
	if err := a.work(1, starts("a", 1)...); err != nil {
		t.Fatal(err)
	}
	for range maxUnavailable {
		if err := a.round(context.Background(), fast); err != nil {
			t.Fatal(err)
		}
	}
	if len(a.ended) != 1 || a.ended[0].State != journal.Refused {
		t.Fatalf("got closed orders %+v, want 1 refused order", a.ended)
	}
}

// TestLoadingDoesNotBlockOtherOrders starts an endpoint while an order that loads
// weights has no answer yet.
func TestLoadingDoesNotBlockOtherOrders(t *testing.T) {
	s := newSimulation(1, false)
	s.lease(1)
	a := s.process("a")
	loading, loaded := make(chan struct{}), make(chan struct{})
	a.cfg.Send = func(_ context.Context, ord order.Order) error {
		if ord.Kind == order.LoadModel {
			close(loading)
			<-loaded
		}
		return s.platform.execute(ord)
	}
	load := order.Order{Kind: order.LoadModel, EndpointID: "e"}
	if err := a.work(1, load); err != nil {
		t.Fatal(err)
	}
	ctx, done := context.Background(), make(chan error)
	go func() { done <- a.round(ctx, slow) }()
	<-loading
	if err := a.Submit(ctx, starts("a", 1)); err != nil {
		t.Fatal(err)
	}
	if open := a.OpenOrders(); len(open) != 1 || open[0].Order.Kind != order.LoadModel {
		t.Fatalf("got open orders %+v, want only the load order", open)
	}
	close(loaded)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if err := s.check(); err != nil {
		t.Fatal(err)
	}
}

func TestStartedEndpointsGetUniqueNames(t *testing.T) {
	s := newSimulation(1, false)
	names := map[string]bool{}
	for fence := uint64(1); fence <= 3; fence++ {
		s.lease(fence)
		for range 2 { // the work of a term may be restarted under the same fence
			p := s.process("a")
			if err := p.work(fence, order.Order{Kind: order.Start, Backend: "org/m:7b"}, order.Order{Kind: order.Start, Backend: "org/m:7b"}); err != nil {
				t.Fatal(err)
			}
			for _, entry := range p.ended {
				names[entry.Order.EndpointID] = true
			}
		}
	}
	if len(names) != 12 || !names["org-m-7b-r-12"] {
		t.Fatalf("got names %v, want 12 with org-m-7b-r-12", names)
	}
}

func TestPruneKeepsOpenAndRecentOrders(t *testing.T) {
	s := newSimulation(1, false)
	s.lease(1)
	a := s.process("a")
	for i := range 13 {
		if err := a.work(1, starts(fmt.Sprint("x", i, "-"), 10)...); err != nil {
			t.Fatal(err)
		}
	}
	a.prune(context.Background())
	entries, err := journal.Entries(context.Background(), s.memory.Client(), "r")
	if err != nil || len(entries) != 30 || entries[0].Number != 101 {
		t.Fatalf("got %d entries and error %v, want 30 entries from number 101", len(entries), err)
	}
}

// TestOrdersUnderRandomFaults runs several holders one after another, each with
// lost answers, late transactions and a crash at a random call.
func TestOrdersUnderRandomFaults(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	properties.Property("every journalled order ends once and no other order is carried out", prop.ForAll(
		func(seed uint64) string {
			s := newSimulation(seed, seed%2 == 0)
			fence := uint64(0)
			for h := range 4 {
				fence++
				s.lease(fence)
				p := s.process(fmt.Sprint("h", h))
				p.faulty = true
				p.crashAt, p.crashAfter = 1+s.rng.IntN(60), s.rng.IntN(2) == 0
				for range 4 { // the work is restarted after an error
					if p.work(fence, starts(fmt.Sprint(h, "-"), 1+s.rng.IntN(3))...) == nil && s.rng.IntN(2) == 0 {
						s.lease(fence) // a renewal
					}
					if len(s.late) > 0 && s.rng.IntN(2) == 0 {
						_ = s.memory.Client().Commit(context.Background(), s.late[0])
						s.late = s.late[1:]
					}
				}
			}
			for _, txn := range s.late {
				_ = s.memory.Client().Commit(context.Background(), txn)
			}
			s.lease(fence + 1)
			if err := s.process("last").work(fence + 1); err != nil {
				return err.Error()
			}
			if err := s.check(); err != nil {
				return err.Error()
			}
			return ""
		}, gen.UInt64()))
	properties.TestingRun(t)
}
