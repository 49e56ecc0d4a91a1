package reconcile_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/supply"
	"github.com/banyanshift/banyanshift/internal/order/leader"
	"github.com/banyanshift/banyanshift/internal/order/reconcile"
)

// fakePlatform records orders and answers them with err.
type fakePlatform struct {
	mu     sync.Mutex
	wanted []supply.Order
	sent   []supply.Order
	err    error
}

func (p *fakePlatform) want(orders ...supply.Order) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = orders
}

func (p *fakePlatform) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
}

func (p *fakePlatform) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sent)
}

// run runs a Reconciler for a duration and returns how many orders it sent.
func (p *fakePlatform) run(c *clock.Manual, d clock.Millis) int {
	before := p.count()
	logger, _ := logtest.NewNullLogger()
	r := reconcile.New(reconcile.Config{
		Clock: c.Clock(), Logger: logger,
		Desired: func() []supply.Order {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.wanted
		},
		Send: func(_ context.Context, _ uint64, order supply.Order) error {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.sent = append(p.sent, order)
			return p.err
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Work(ctx, leader.Term{Fence: 1})
	}()
	for passed := clock.Millis(0); passed <= d; passed += 100 {
		for c.Sleepers() == 0 {
			time.Sleep(100 * time.Microsecond)
		}
		if passed < d {
			c.Advance(100)
		}
	}
	cancel()
	<-done
	return p.count() - before
}

var order = supply.Order{Backend: "books", FailureDomain: "a", Count: 2}

func TestUnchangedOrderIsSentOncePerTerm(t *testing.T) {
	p, c := &fakePlatform{}, clock.NewManual(0)
	p.want(order)
	if n := p.run(c, 10*clock.Second); n != 1 {
		t.Errorf("got %d orders, want 1", n)
	}
	if n := p.run(c, clock.Second); n != 1 {
		t.Errorf("in a new term: got %d orders, want each of them once", n)
	}
}

func TestFailedOrderIsRetriedAfterDelay(t *testing.T) {
	p, c := &fakePlatform{}, clock.NewManual(0)
	p.want(order)
	p.fail(errors.New("down"))
	if n := p.run(c, 3*clock.Second); n < 2 || n > 4 {
		t.Errorf("got %d tries in 3 s, want 2 to 4", n)
	}
	p.fail(reconcile.ErrNoneAvailable)
	if n := p.run(c, 3*clock.Second); n < 3 || n > 4 {
		t.Errorf("none available: got %d tries in 3 s, want one a second", n)
	}
}
