// Package reconcile sends the platform the desired counts of endpoints while this
// daemon holds the lease.
//
// Orders are idempotent, since each states the number that should run. An order
// is sent again when its count changes or the last call failed. Each term starts
// by sending all orders, since it is unknown whether the previous holder's last
// orders took effect.
//
// # Usage
//
//	r := reconcile.New(reconcile.Config{Clock: clk, Logger: logger, Desired: desired, Send: send})
//	leader.Config{Work: []leader.Work{r.Work}}
package reconcile

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/supply"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/order/leader"
)

// ErrNoneAvailable means that the platform has no such endpoints now.
var ErrNoneAvailable = errors.New("reconcile: no endpoints of this kind available")

var (
	eventOrdered = event.New(1830, logrus.InfoLevel, "endpoints ordered",
		"The platform accepted an order for a number of endpoints.")
	eventOrderFailed = event.New(1831, logrus.WarnLevel, "order for endpoints failed",
		"The order is sent again after a second.")
)

const (
	// pollInterval is the time between two comparisons with the desired counts.
	pollInterval = 500 * clock.Millisecond
	callTimeout  = clock.Second
	// retryDelay is the time before a failed order is sent again.
	retryDelay = clock.Second
)

// Config configures a Reconciler. All fields must be set.
type Config struct {
	Clock  clock.Clock
	Logger logrus.FieldLogger
	// Desired returns the orders for all endpoints that should run now.
	Desired func() []supply.Order
	// Send sends an order on a connection that writes only while the lease is
	// held under the fence.
	Send func(ctx context.Context, fence uint64, order supply.Order) error
}

// Reconciler sends the orders whose counts have changed.
type Reconciler struct {
	config Config
}

// New returns a Reconciler.
func New(config Config) *Reconciler {
	return &Reconciler{config: config}
}

// orderKey identifies the endpoints that an order counts.
type orderKey struct {
	backend string
	domain  string
	cheap   bool
}

// orderState is the last accepted order for an orderKey.
type orderState struct {
	count int
	sent  bool
	// retryAt is the earliest time of the next try after a failure.
	retryAt clock.Millis
}

// Work sends the desired counts during one term; it is a leader.Work.
func (r *Reconciler) Work(ctx context.Context, term leader.Term) error {
	orders := make(map[orderKey]orderState)
	for {
		for _, order := range r.config.Desired() {
			r.sendIfChanged(ctx, term.Fence, order, orders)
		}
		if err := r.config.Clock.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// sendIfChanged sends an order unless the platform has accepted the same count
// in this term or a retry is not due yet.
func (r *Reconciler) sendIfChanged(ctx context.Context, fence uint64, order supply.Order, orders map[orderKey]orderState) {
	key := orderKey{backend: order.Backend, domain: order.FailureDomain, cheap: order.Cheap}
	current := orders[key]
	now := r.config.Clock.Now()
	if (current.sent && current.count == order.Count) || now < current.retryAt {
		return
	}
	calling, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	err := r.config.Send(calling, fence, order)
	fields := logrus.Fields{"Backend": order.Backend, "FailureDomain": order.FailureDomain, "Cheap": order.Cheap, "Count": order.Count, "Fence": fence}
	if err == nil {
		orders[key] = orderState{count: order.Count, sent: true}
		eventOrdered.Log(r.config.Logger, fields)
		return
	}
	if ctx.Err() != nil {
		return
	}
	current.retryAt = now + retryDelay
	orders[key] = current
	fields["Error"] = err.Error()
	eventOrderFailed.Log(r.config.Logger, fields)
}
