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
	"github.com/banyanshift/banyanshift/internal/order/hold"
	"github.com/banyanshift/banyanshift/internal/order/journal"
	"github.com/banyanshift/banyanshift/internal/platform/order"
)

// platform carries orders out, and lists endpoints only when told to.
type platform struct {
	mu      sync.Mutex
	err     error
	done    map[string]order.Order
	visible map[string]bool
}

func (p *platform) give(_ context.Context, given order.Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return p.err
	}
	p.done[given.ID] = given
	return nil
}

func (p *platform) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
}

// show lets the list catch up.
func (p *platform) show() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, given := range p.done {
		p.visible[given.EndpointID] = given.Kind == order.Start
	}
}

func (p *platform) list() (listed []entity.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, given := range p.done {
		if given.Kind == order.Start && p.visible[given.EndpointID] {
			listed = append(listed, endpointOf(given))
		}
	}
	return listed
}

func (p *platform) starts() (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, given := range p.done {
		if given.Kind == order.Start {
			count++
		}
	}
	return count
}

type rig struct {
	*Planner
	manual   *clock.Manual
	platform *platform
	memory   *table.Memory
	mu       sync.Mutex
	demand   float64
	version  string
}

func (r *rig) demands() []capacity.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return []capacity.Demand{{Backend: "m", Tier: 0, Running: r.demand}}
}

// begin starts a daemon's term over the rig's table and platform.
func (r *rig) begin(t *testing.T) (end func()) {
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
		Clock:   r.manual.Clock(), Logger: logger, Holder: "x", Send: r.platform.give, HandleClosedOrder: r.HandleClosedOrder,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, work := range []hold.Work{d.Run, r.Run} {
		running.Add(1)
		go func() {
			defer running.Done()
			_ = work(ctx, hold.Term{Fence: 1})
		}()
	}
	end = func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(end)
	return end
}

// loops is how many loops a term has.
const loops = 4

// pass lets time go by while all loops sleep in between.
func (r *rig) pass(t *testing.T, by clock.Millis) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for by > 0 {
		if time.Now().After(deadline) {
			t.Fatal("the loops do not sleep")
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

func newRig() *rig {
	return &rig{
		manual: clock.NewManual(1), memory: table.NewMemory(), demand: 25,
		platform: &platform{done: map[string]order.Order{}, visible: map[string]bool{}},
	}
}

func TestLaggingListStartsNothingTwice(t *testing.T) {
	r := newRig()
	r.begin(t)
	r.pass(t, 20*clock.Second)
	if got := r.platform.starts(); got != 4 { // what may load weights at once
		t.Fatalf("%d starts", got)
	}
	r.platform.show()
	r.pass(t, 20*clock.Second)
	r.platform.show()
	r.pass(t, clock.Minute)
	if got := r.platform.starts(); got != 6 {
		t.Fatalf("%d starts", got)
	}
	if report := r.Report(); report.FirmEndpoints != 6 || report.MissingTop != 0 {
		t.Fatalf("report %+v", report)
	}
}

func TestOutageOfThePlatformPilesUpNoOrders(t *testing.T) {
	for _, err := range []error{order.ErrUnavailable, order.ErrUnknown} {
		r := newRig()
		r.platform.fail(err)
		r.begin(t)
		r.pass(t, 25*clock.Second)
		r.platform.fail(nil)
		r.pass(t, 5*clock.Second)
		if got := r.platform.starts(); got != 4 {
			t.Errorf("%v: %d starts after the outage", err, got)
		}
	}
}

func TestNewVersionIsLoadedAlsoByTheNextHolder(t *testing.T) {
	r := newRig()
	end := r.begin(t)
	for range 3 {
		r.pass(t, 10*clock.Second)
		r.platform.show()
	}
	end()
	r.mu.Lock()
	r.version = "2"
	r.mu.Unlock()
	r.begin(t)
	r.pass(t, clock.Minute)
	loaded := map[string]int{}
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	for _, given := range r.platform.done {
		if given.Kind == order.LoadModel && given.Version == "2" {
			loaded[given.EndpointID]++
		}
	}
	if len(loaded) != 6 {
		t.Fatalf("loaded on %v", loaded)
	}
	for id, times := range loaded {
		if times != 1 {
			t.Errorf("%s loaded it %d times", id, times)
		}
	}
}

func TestNextHolderKnowsWhatWasOrdered(t *testing.T) {
	r := newRig()
	end := r.begin(t)
	r.pass(t, 5*clock.Second)
	end()
	r.begin(t)
	r.pass(t, 20*clock.Second)
	if got := r.platform.starts(); got != 4 {
		t.Fatalf("%d starts by two holders", got)
	}
}
