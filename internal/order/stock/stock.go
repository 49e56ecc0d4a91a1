// Package stock orders the endpoints that are wanted, while this daemon holds
// the lease.
//
// An order states the number that should run, so that sending it again changes
// nothing. A term begins by sending all of them, since nobody can tell what the
// predecessor's last ones came to.
//
// # Usage
//
//	r := stock.New(stock.Config{Clock: clk, Logger: logger, Desired: desired, Send: send})
//	hold.Config{Work: []hold.Work{r.Work}}
package stock

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/supply"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/order/hold"
)

// ErrNoneAvailable says that there are no such endpoints to be had now.
var ErrNoneAvailable = errors.New("stock: no endpoints of this kind available")

var (
	eventOrdered = event.New(1830, logrus.InfoLevel, "endpoints ordered",
		"The platform has taken an order for a number of endpoints.")
	eventRefused = event.New(1831, logrus.WarnLevel, "order for endpoints failed",
		"The order is sent again after a pause.")
)

const (
	interval    = 500 * clock.Millisecond
	callTimeout = clock.Second
	// retryDelay is the pause after an order that failed.
	retryDelay = clock.Second
)

// Config configures a Keeper. All fields must be set.
type Config struct {
	Clock  clock.Clock
	Logger logrus.FieldLogger
	// Desired returns what should run now.
	Desired func() []supply.Order
	// Send sends an order over a connection that only writes while the lease
	// is held under the fence.
	Send func(ctx context.Context, fence uint64, order supply.Order) error
}

// Reconciler sends orders.
type Reconciler struct {
	config Config
}

// New returns a Keeper.
func New(config Config) *Reconciler {
	return &Reconciler{config: config}
}

// subject is what an order is about.
type subject struct {
	backend string
	domain  string
	cheap   bool
}

// standing is the order in force for a subject.
type standing struct {
	count int
	sent  bool
	// notBefore is when the next try is due after a failure.
	notBefore clock.Millis
}

// Work keeps the wanted numbers ordered during one term; it is a hold.Work.
func (k *Reconciler) Work(ctx context.Context, term hold.Term) error {
	orders := make(map[subject]standing)
	for {
		for _, order := range k.config.Desired() {
			k.keep(ctx, term.Fence, order, orders)
		}
		if err := k.config.Clock.Sleep(ctx, interval); err != nil {
			return err
		}
	}
}

// keep sends an order unless it stands already.
func (k *Reconciler) keep(ctx context.Context, fence uint64, order supply.Order, orders map[subject]standing) {
	key := subject{backend: order.Backend, domain: order.FailureDomain, cheap: order.Cheap}
	current := orders[key]
	now := k.config.Clock.Now()
	if (current.sent && current.count == order.Count) || now < current.notBefore {
		return
	}
	calling, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	err := k.config.Send(calling, fence, order)
	fields := logrus.Fields{"Backend": order.Backend, "FailureDomain": order.FailureDomain, "Cheap": order.Cheap, "Count": order.Count, "Fence": fence}
	if err == nil {
		orders[key] = standing{count: order.Count, sent: true}
		eventOrdered.Log(k.config.Logger, fields)
		return
	}
	if ctx.Err() != nil {
		return
	}
	current.notBefore = now + retryDelay
	orders[key] = current
	fields["Error"] = err.Error()
	eventRefused.Log(k.config.Logger, fields)
}
