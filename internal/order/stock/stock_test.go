package stock_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/supply"
	"github.com/banyanshift/banyanshift/internal/order/hold"
	"github.com/banyanshift/banyanshift/internal/order/stock"
)

// market is the platform that takes orders.
type market struct {
	mu     sync.Mutex
	wanted []supply.Order
	sent   []supply.Order
	err    error
}

func (m *market) want(orders ...supply.Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wanted = orders
}

func (m *market) fail(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.err = err
}

func (m *market) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sent)
}

// run lets a keeper work for a while and returns how many orders it sent.
func (m *market) run(c *clock.Manual, d clock.Millis) int {
	before := m.count()
	logger, _ := logtest.NewNullLogger()
	k := stock.New(stock.Config{
		Clock: c.Clock(), Logger: logger,
		Desired: func() []supply.Order {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.wanted
		},
		Send: func(_ context.Context, _ uint64, order supply.Order) error {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.sent = append(m.sent, order)
			return m.err
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = k.Work(ctx, hold.Term{Fence: 1})
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
	return m.count() - before
}

var order = supply.Order{Backend: "books", FailureDomain: "a", Count: 2}

func TestStandingOrderIsSentOnceATerm(t *testing.T) {
	m, c := &market{}, clock.NewManual(0)
	m.want(order)
	if n := m.run(c, 10*clock.Second); n != 1 {
		t.Errorf("sent %d times", n)
	}
	if n := m.run(c, clock.Second); n != 1 {
		t.Errorf("a new term sent %d orders, want all of them once", n)
	}
}

func TestFailedOrderIsRepeatedAfterAPause(t *testing.T) {
	m, c := &market{}, clock.NewManual(0)
	m.want(order)
	m.fail(errors.New("down"))
	if n := m.run(c, 3*clock.Second); n < 2 || n > 4 {
		t.Errorf("sent %d times in 3 s", n)
	}
	m.fail(stock.ErrNoneAvailable)
	if n := m.run(c, 3*clock.Second); n < 3 || n > 4 {
		t.Errorf("asked %d times in 3 s for what may be had again any second, want once a second", n)
	}
}
