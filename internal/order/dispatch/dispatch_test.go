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
	"github.com/banyanshift/banyanshift/internal/order/hold"
	"github.com/banyanshift/banyanshift/internal/order/journal"
	"github.com/banyanshift/banyanshift/internal/platform/order"
)

// endpoints is the platform: it carries each order out once.
type endpoints struct {
	checksFence bool

	mu       sync.Mutex
	greatest uint64
	// effects holds the endpoint that each order was carried out for.
	effects  map[string]string
	overlaps int
	// busy are endpoints that never answer.
	busy map[string]bool
}

func (e *endpoints) give(given order.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if given.Fence < e.greatest {
		if e.checksFence {
			return order.ErrOldFence
		}
		if e.effects[given.ID] == "" {
			e.overlaps++
		}
	}
	e.greatest = max(e.greatest, given.Fence)
	if e.busy[given.EndpointID] {
		return order.ErrUnknown
	}
	if given.EndpointID == "full" {
		return order.ErrNoCapacity
	}
	if e.effects[given.ID] == "" {
		e.effects[given.ID] = given.EndpointID
	}
	return nil
}

// process is one daemon. After its death no call of it has an effect.
type process struct {
	*Dispatcher
	world *world
	calls int
	// dieAt is the call at which it dies, before or after the effect.
	dieAt    int
	dieAfter bool
	faulty   bool
	ended    []journal.Entry
}

type world struct {
	memory *table.Memory
	manual *clock.Manual
	rng    *rand.Rand
	ends   *endpoints
	mu     sync.Mutex
	late   []table.Txn
}

var errDead = errors.New("process is dead")

func newWorld(seed uint64, checksFence bool) *world {
	return &world{
		memory: table.NewMemory(),
		manual: clock.NewManual(1),
		rng:    rand.New(rand.NewPCG(seed, 3)),
		ends:   &endpoints{checksFence: checksFence, effects: map[string]string{}, busy: map[string]bool{}},
	}
}

// lease writes the lease's row, as a new holder or a renewal does.
func (w *world) lease(fence uint64) {
	value, _ := msgpack.Marshal(lease.Row{Holder: "x", Fence: fence})
	_ = w.memory.Client().Commit(context.Background(), table.Txn{Writes: []table.Write{{Key: "Lease/r", Value: value}}})
}

func (w *world) process(name string) *process {
	p := &process{world: w, dieAt: -1}
	logger, _ := test.NewNullLogger()
	logger.SetLevel(logrus.ErrorLevel)
	client := p.client()
	p.Dispatcher = New(Config{
		Journal: journal.New(journal.Config{
			Table: client, Clock: w.manual.Clock(), Scope: "r", Holder: name,
			Guard: hold.Guard(client, "Lease/r"), Keep: 10,
		}),
		Clock: w.manual.Clock(), Logger: logger, Holder: name, Send: p.send,
		HandleClosedOrder: func(entry journal.Entry) { p.ended = append(p.ended, entry) },
	})
	return p
}

// call counts a call and carries out its effect, or dies.
func (p *process) call(effect func() error) error {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	p.calls++
	switch {
	case p.dieAt >= 0 && p.calls > p.dieAt:
		return errDead
	case p.calls == p.dieAt:
		if p.dieAfter {
			_ = effect()
		}
		return errDead
	}
	return effect()
}

func (p *process) client() table.Client {
	client := p.world.memory.Client()
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
	switch p.world.rng.IntN(6) {
	case 0:
		_ = commit(ctx, txn)
		return table.ErrUnknown
	case 1:
		return table.ErrUnknown
	case 2:
		p.world.late = append(p.world.late, txn)
		return table.ErrUnknown
	case 3:
		return table.ErrUnavailable
	}
	return commit(ctx, txn)
}

func (p *process) send(_ context.Context, given order.Order) error {
	return p.call(func() error {
		if !p.faulty {
			return p.world.ends.give(given)
		}
		switch p.world.rng.IntN(5) {
		case 0:
			_ = p.world.ends.give(given)
			return order.ErrUnknown
		case 1:
			return order.ErrUnavailable
		}
		return p.world.ends.give(given)
	})
}

// work runs a term until its orders are closed or the process fails.
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

// check reports what is wrong once the last holder has completed everything.
func (w *world) check() error {
	entries, err := journal.Entries(context.Background(), w.memory.Client(), "r")
	if err != nil {
		return err
	}
	known := map[string]bool{}
	for _, entry := range entries {
		known[entry.Order.ID] = true
		if entry.State == journal.Open {
			return fmt.Errorf("order %s is still open", entry.Order.ID)
		}
		effect, want := w.ends.effects[entry.Order.ID], ""
		if entry.State == journal.Done {
			want = entry.Order.EndpointID
		}
		if effect != want {
			return fmt.Errorf("order %s for %s is %s, carried out for %q", entry.Order.ID, entry.Order.EndpointID, entry.State, effect)
		}
	}
	for id := range w.ends.effects {
		if !known[id] {
			return fmt.Errorf("order %s was given and not journalled", id)
		}
	}
	if w.ends.overlaps > 0 {
		return fmt.Errorf("%d new orders by a former holder", w.ends.overlaps)
	}
	return nil
}

func TestDeathAtEveryStep(t *testing.T) {
	for _, after := range []bool{false, true} {
		for step := 1; step < 40; step++ {
			w := newWorld(1, false)
			w.lease(1)
			a := w.process("a")
			a.dieAt, a.dieAfter = step, after
			_ = a.work(1, append(starts("a", 3), order.Order{Kind: order.Start, EndpointID: "full"})...)
			w.lease(2)
			if err := w.process("b").work(2, starts("b", 1)...); err != nil {
				t.Fatalf("step %d, after %t: successor: %v", step, after, err)
			}
			if err := w.check(); err != nil {
				t.Fatalf("step %d, after %t: %v", step, after, err)
			}
		}
	}
}

// TestPausedHolderIsResumed pauses the holder between the journal and the
// connection, lets a successor finish, and resumes it. Its connection is not
// guarded here, as if the pause had come after the guard's check.
func TestPausedHolderIsResumed(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		w := newWorld(1, checksFence)
		w.lease(1)
		a, b := w.process("a"), w.process("b")
		paused := true
		a.cfg.Send = func(ctx context.Context, given order.Order) error {
			if paused {
				paused = false
				w.lease(2)
				if err := b.work(2, starts("b", 2)...); err != nil {
					t.Fatal(err)
				}
			}
			return a.send(ctx, given)
		}
		err := a.work(1, starts("a", 1)...)
		if !IsLeaseLost(err) {
			t.Fatalf("checks fence %t: the former holder goes on: %v", checksFence, err)
		}
		if err := a.Submit(context.Background(), starts("late", 1)); err == nil {
			t.Fatal("a former holder submitted an order")
		}
		if err := w.check(); err != nil {
			t.Fatalf("checks fence %t: %v", checksFence, err)
		}
	}
}

func TestHolderCannotOpenUnderAnOldFence(t *testing.T) {
	w := newWorld(1, false)
	w.lease(2)
	if err := w.process("b").work(2); err != nil {
		t.Fatal(err)
	}
	if err := w.process("a").work(1); !IsLeaseLost(err) {
		t.Fatalf("want a refusal, got %v", err)
	}
}

func TestOrdersOfATermAreCompletedBeforeOwnOnes(t *testing.T) {
	w := newWorld(1, false)
	w.ends.busy["a0"] = true
	w.lease(1)
	_ = w.process("a").work(1, starts("a", 2)...)
	w.lease(2)
	b := w.process("b")
	if err := b.work(2, starts("b", 1)...); !errors.Is(err, ErrNotReady) {
		t.Fatalf("want ErrNotInCharge while an order is open, got %v", err)
	}
	w.manual.Advance(maxInheritedTime)
	ctx := context.Background()
	if err := b.round(ctx, fast); err != nil {
		t.Fatal(err)
	}
	if err := b.Submit(ctx, append(starts("b", 1), order.Order{Kind: order.Stop, EndpointID: "a0"})); err != nil {
		t.Fatal(err)
	}
	if len(b.ended) != 1 || b.ended[0].Order.EndpointID != "b0" {
		t.Fatalf("ended: %+v", b.ended)
	}
	delete(w.ends.busy, "a0")
	if err := b.round(ctx, fast); err != nil {
		t.Fatal(err)
	}
	entries, err := journal.Entries(ctx, w.memory.Client(), "r")
	if err != nil || len(entries) != 3 {
		t.Fatalf("want the orders for a0, a1 and b0, got %+v, %v", entries, err)
	}
	if err := w.check(); err != nil {
		t.Fatal(err)
	}
}

// TestInheritedOrderIsNotRefused covers an order that was carried out with its
// answer lost, and a successor that the platform does not answer.
func TestInheritedOrderIsNotRefused(t *testing.T) {
	w := newWorld(1, false)
	w.lease(1)
	a := w.process("a")
	a.cfg.Send = func(_ context.Context, given order.Order) error {
		_ = w.ends.give(given)
		return order.ErrUnknown
	}
	_ = a.work(1, starts("a", 1)...)
	w.lease(2)
	b := w.process("b")
	b.cfg.Send = func(context.Context, order.Order) error { return order.ErrUnavailable }
	if err := b.work(2); err != nil {
		t.Fatal(err)
	}
	if len(b.ended) != 0 {
		t.Fatalf("ended: %+v", b.ended)
	}
	b.cfg.Send = b.send
	if err := b.round(context.Background(), fast); err != nil {
		t.Fatal(err)
	}
	if err := w.check(); err != nil {
		t.Fatal(err)
	}
}

// TestLateJournalEntryTakesNoNumberTwice covers a transaction that arrives after
// its holder has opened the journal again.
func TestLateJournalEntryTakesNoNumberTwice(t *testing.T) {
	w := newWorld(1, false)
	w.lease(1)
	a := w.process("a")
	if err := a.work(1); err != nil {
		t.Fatal(err)
	}
	usual := a.cfg.Journal
	a.cfg.Journal = journal.New(journal.Config{
		Table: lateClient(w), Clock: w.manual.Clock(), Scope: "r", Holder: "a",
		Guard: hold.Guard(w.memory.Client(), "Lease/r"), Keep: 10,
	})
	if err := a.work(1, starts("late", 1)...); !errors.Is(err, table.ErrUnknown) {
		t.Fatalf("want ErrUnknown, got %v", err)
	}
	a.cfg.Journal = usual
	if err := a.work(1, starts("own", 1)...); err != nil {
		t.Fatal(err)
	}
	if err := w.memory.Client().Commit(context.Background(), w.late[0]); !errors.Is(err, table.ErrConflict) {
		t.Fatalf("the late entry was written: %v", err)
	}
	if err := w.check(); err != nil {
		t.Fatal(err)
	}
}

// TestLateJournalEntryOfAFormerHolder covers a transaction that arrives when the
// successor has read the journal.
func TestLateJournalEntryOfAFormerHolder(t *testing.T) {
	w := newWorld(1, false)
	w.lease(1)
	a := w.process("a")
	a.cfg.Journal = journal.New(journal.Config{
		Table: lateClient(w), Clock: w.manual.Clock(), Scope: "r", Holder: "a",
		Guard: hold.Guard(w.memory.Client(), "Lease/r"), Keep: 10,
	})
	_ = a.work(1, starts("late", 1)...)
	w.lease(2)
	if err := w.process("b").work(2); err != nil {
		t.Fatal(err)
	}
	if err := w.memory.Client().Commit(context.Background(), w.late[0]); !errors.Is(err, table.ErrConflict) {
		t.Fatalf("the late entry was written: %v", err)
	}
}

func lateClient(w *world) table.Client {
	client := w.memory.Client()
	client.Commit = func(_ context.Context, txn table.Txn) error {
		w.late = append(w.late, txn)
		return table.ErrUnknown
	}
	return client
}

func TestUntakenOrderIsRefusedAfterAWhile(t *testing.T) {
	w := newWorld(1, false)
	w.lease(1)
	a := w.process("a")
	a.cfg.Send = func(context.Context, order.Order) error { return order.ErrUnavailable }
	if err := a.work(1, starts("a", 1)...); err != nil {
		t.Fatal(err)
	}
	for range maxUntaken {
		if err := a.round(context.Background(), fast); err != nil {
			t.Fatal(err)
		}
	}
	if len(a.ended) != 1 || a.ended[0].State != journal.Refused {
		t.Fatalf("ended: %+v", a.ended)
	}
}

// TestLoadingHoldsNobodyUp has an engine load weights while another endpoint is
// started.
func TestLoadingHoldsNobodyUp(t *testing.T) {
	w := newWorld(1, false)
	w.lease(1)
	a := w.process("a")
	loading, loaded := make(chan struct{}), make(chan struct{})
	a.cfg.Send = func(_ context.Context, given order.Order) error {
		if given.Kind == order.LoadModel {
			close(loading)
			<-loaded
		}
		return w.ends.give(given)
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
		t.Fatalf("open: %+v", open)
	}
	close(loaded)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if err := w.check(); err != nil {
		t.Fatal(err)
	}
}

func TestStartsGetNamesThatAreNeverUsedAgain(t *testing.T) {
	w := newWorld(1, false)
	names := map[string]bool{}
	for fence := uint64(1); fence <= 3; fence++ {
		w.lease(fence)
		for range 2 { // the work of a term may begin anew under the same fence
			p := w.process("a")
			if err := p.work(fence, order.Order{Kind: order.Start, Backend: "org/m:7b"}, order.Order{Kind: order.Start, Backend: "org/m:7b"}); err != nil {
				t.Fatal(err)
			}
			for _, entry := range p.ended {
				names[entry.Order.EndpointID] = true
			}
		}
	}
	if len(names) != 12 || !names["org-m-7b-r-12"] {
		t.Fatalf("names %v", names)
	}
}

func TestPruneKeepsOpenAndRecentOrders(t *testing.T) {
	w := newWorld(1, false)
	w.lease(1)
	a := w.process("a")
	for i := range 13 {
		if err := a.work(1, starts(fmt.Sprint("x", i, "-"), 10)...); err != nil {
			t.Fatal(err)
		}
	}
	a.prune(context.Background())
	entries, err := journal.Entries(context.Background(), w.memory.Client(), "r")
	if err != nil || len(entries) != 30 || entries[0].Number != 101 {
		t.Fatalf("%d entries, %v", len(entries), err)
	}
}

// TestOrdersUnderRandomFaults lets several holders follow one another, each with
// lost answers, late transactions and a death at a random call.
func TestOrdersUnderRandomFaults(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	properties.Property("every journalled order ends, once, and no other is given", prop.ForAll(
		func(seed uint64) string {
			w := newWorld(seed, seed%2 == 0)
			fence := uint64(0)
			for h := range 4 {
				fence++
				w.lease(fence)
				p := w.process(fmt.Sprint("h", h))
				p.faulty = true
				p.dieAt, p.dieAfter = 1+w.rng.IntN(60), w.rng.IntN(2) == 0
				for range 4 { // the work is begun anew after an error
					if p.work(fence, starts(fmt.Sprint(h, "-"), 1+w.rng.IntN(3))...) == nil && w.rng.IntN(2) == 0 {
						w.lease(fence) // a renewal
					}
					if len(w.late) > 0 && w.rng.IntN(2) == 0 {
						_ = w.memory.Client().Commit(context.Background(), w.late[0])
						w.late = w.late[1:]
					}
				}
			}
			for _, txn := range w.late {
				_ = w.memory.Client().Commit(context.Background(), txn)
			}
			w.lease(fence + 1)
			if err := w.process("last").work(fence + 1); err != nil {
				return err.Error()
			}
			if err := w.check(); err != nil {
				return err.Error()
			}
			return ""
		}, gen.UInt64()))
	properties.TestingRun(t)
}
