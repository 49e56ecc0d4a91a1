package plan

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/capacity"
	"github.com/banyanshift/banyanshift/internal/order/dispatch"
	"github.com/banyanshift/banyanshift/internal/order/journal"
	"github.com/banyanshift/banyanshift/internal/order/leader"
	"github.com/banyanshift/banyanshift/internal/platform/order"
)

// fakePlatform carries out orders. Its list of endpoints changes only in show.
type fakePlatform struct {
	mu      sync.Mutex
	err     error
	done    map[string]order.Order
	visible map[string]bool
}

func (p *fakePlatform) execute(_ context.Context, ord order.Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return p.err
	}
	p.done[ord.ID] = ord
	return nil
}

func (p *fakePlatform) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
}

// show updates the list with all orders that were carried out.
func (p *fakePlatform) show() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ord := range p.done {
		p.visible[ord.EndpointID] = ord.Kind == order.Start
	}
}

func (p *fakePlatform) list() (listed []entity.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ord := range p.done {
		if ord.Kind == order.Start && p.visible[ord.EndpointID] {
			listed = append(listed, endpointOf(ord))
		}
	}
	return listed
}

func (p *fakePlatform) starts() (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ord := range p.done {
		if ord.Kind == order.Start {
			count++
		}
	}
	return count
}

// testPlanner is a Planner and a Dispatcher on a manual clock.
type testPlanner struct {
	*Planner
	manual   *clock.Manual
	platform *fakePlatform
	memory   *table.Memory
	mu       sync.Mutex
	demand   float64
	version  string
}

func (r *testPlanner) demands() []capacity.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return []capacity.Demand{{Backend: "m", Tier: 0, Running: r.demand}}
}

// startTerm starts a term of a new daemon on the shared table and platform.
func (r *testPlanner) startTerm(t *testing.T) (end func()) {
	t.Helper()
	logger, _ := test.NewNullLogger()
	guard := func(context.Context, uint64) (table.Condition, error) { return table.Condition{Key: "Lease/r"}, nil }
	var d *dispatch.Dispatcher
	r.Planner = New(Config{
		Clock: r.manual.Clock(), Logger: logger, Settings: capacity.DefaultSettings(),
		Submit:          func(ctx context.Context, orders []order.Order) error { return d.Submit(ctx, orders) },
		Ready:           func() (uint64, bool) { return d.Ready() },
		OpenOrders:      func() []journal.Entry { return d.OpenOrders() },
		TakeoverEntries: func() []journal.Entry { return d.TakeoverEntries() },
		Backends: func() []capacity.Backend {
			r.mu.Lock()
			defer r.mu.Unlock()
			b := entity.Backend{Name: "m", Type: entity.Model, Model: "m", Version: r.version, Slots: 8, MaxEndpoints: 20}
			return []capacity.Backend{{Backend: b}}
		},
		Demands: r.demands, Endpoints: r.platform.list, Running: func(string) int { return 0 },
		Domains: func() []string { return []string{"a", "b", "c"} },
	})
	d = dispatch.New(dispatch.Config{
		Journal: journal.New(journal.Config{Table: r.memory.Client(), Clock: r.manual.Clock(), Scope: "r", Holder: "x", Guard: guard, Keep: 100}),
		Clock:   r.manual.Clock(), Logger: logger, Holder: "x", Send: r.platform.execute, HandleClosedOrder: r.HandleClosedOrder,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, work := range []leader.Work{d.Run, r.Run} {
		running.Add(1)
		go func() {
			defer running.Done()
			_ = work(ctx, leader.Term{Fence: 1})
		}()
	}
	end = func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(end)
	return end
}

// loops is the number of goroutines of a term that sleep on the clock.
const loops = 4

// pass advances the clock in steps of a second, each while all loops sleep.
func (r *testPlanner) pass(t *testing.T, by clock.Millis) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for by > 0 {
		if time.Now().After(deadline) {
			t.Fatal("timed out while waiting for all loops to sleep")
		}
		if r.manual.Sleepers() < loops {
			time.Sleep(100 * time.Microsecond)
			continue
		}
		r.manual.Advance(clock.Second)
		by -= clock.Second
	}
	for r.manual.Sleepers() < loops && time.Now().Before(deadline) {
		time.Sleep(100 * time.Microsecond)
	}
}

func newTestPlanner() *testPlanner {
	return &testPlanner{
		manual: clock.NewManual(1), memory: table.NewMemory(), demand: 25,
		platform: &fakePlatform{done: map[string]order.Order{}, visible: map[string]bool{}},
	}
}

func TestLaggingListStartsNothingTwice(t *testing.T) {
	r := newTestPlanner()
	r.startTerm(t)
	r.pass(t, 20*clock.Second)
	if got := r.platform.starts(); got != 4 { // the limit of concurrent weight loads
		t.Fatalf("before the list shows them: got %d starts, want 4", got)
	}
	r.platform.show()
	r.pass(t, 20*clock.Second)
	r.platform.show()
	r.pass(t, clock.Minute)
	if got := r.platform.starts(); got != 6 {
		t.Fatalf("after the list caught up: got %d starts, want 6", got)
	}
	if report := r.Report(); report.FirmEndpoints != 6 || report.MissingTop != 0 {
		t.Fatalf("got report %+v, want 6 firm endpoints and none missing", report)
	}
}

func TestPlatformOutageDoesNotAccumulateOrders(t *testing.T) {
	for _, err := range []error{order.ErrUnavailable, order.ErrUnknown} {
		r := newTestPlanner()
		r.platform.fail(err)
		r.startTerm(t)
		r.pass(t, 25*clock.Second)
		r.platform.fail(nil)
		r.pass(t, 5*clock.Second)
		if got := r.platform.starts(); got != 4 {
			t.Errorf("%v: got %d starts after the outage, want 4", err, got)
		}
	}
}

func TestNextHolderLoadsNewVersion(t *testing.T) {
	r := newTestPlanner()
	end := r.startTerm(t)
	for range 3 {
		r.pass(t, 10*clock.Second)
		r.platform.show()
	}
	end()
	r.mu.Lock()
	r.version = "2"
	r.mu.Unlock()
	r.startTerm(t)
	r.pass(t, clock.Minute)
	loaded := map[string]int{}
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	for _, ord := range r.platform.done {
		if ord.Kind == order.LoadModel && ord.Version == "2" {
			loaded[ord.EndpointID]++
		}
	}
	if len(loaded) != 6 {
		t.Fatalf("got version 2 loaded on %v, want 6 endpoints", loaded)
	}
	for id, times := range loaded {
		if times != 1 {
			t.Errorf("%s: got %d loads of version 2, want 1", id, times)
		}
	}
}

func TestNextHolderRestoresOrders(t *testing.T) {
	r := newTestPlanner()
	end := r.startTerm(t)
	r.pass(t, 5*clock.Second)
	end()
	r.startTerm(t)
	r.pass(t, 20*clock.Second)
	if got := r.platform.starts(); got != 4 {
		t.Fatalf("got %d starts by two holders, want 4", got)
	}
}
