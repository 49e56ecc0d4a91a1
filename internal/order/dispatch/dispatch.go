// Package dispatch sends the endpoint orders of a region while this daemon holds
// the region's lease.
//
// After a takeover it first completes the orders that the previous holder left
// open, under their IDs, and accepts new orders only then. If some are still open
// after a minute, it accepts new orders for all endpoints without an open order.
//
// An order whose result is unknown is sent again under the same ID until the
// platform answers. An order that certainly had no effect is retried a limited
// number of times and then closed as refused.
//
// Send must use a connection that checks the lease at every write (package
// guard), since the process may be paused for any time between the check here and
// the write.
//
// # Usage
//
//	d := dispatch.New(dispatch.Config{Journal: j, Clock: clk, Logger: logger, Send: send, Scope: "sask-central"})
//	// as work of a leader.Runner, called once per term:
//	err := d.Run(ctx, term)
//	// from the planner:
//	err = d.Submit(ctx, orders)
package dispatch

import (
	"context"
	"errors"
	"sync"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/order/journal"
	"github.com/banyanshift/banyanshift/internal/order/leader"
	"github.com/banyanshift/banyanshift/internal/platform/order"
)

// Errors that a Dispatcher's methods return, possibly wrapped.
var (
	// ErrNotReady means that this daemon does not accept orders: it does not
	// hold the lease or has not completed the previous holder's orders.
	ErrNotReady = errors.New("dispatch: not ready to send orders")
	// ErrEndpointGone is returned by Send for an order to an endpoint that no
	// longer exists.
	ErrEndpointGone = errors.New("dispatch: endpoint is gone")
)

const (
	// retryInterval is the time between two rounds of sending open orders.
	retryInterval = clock.Second
	// pruneInterval is the time between two prunings of the journal.
	pruneInterval = clock.Minute
	// maxUnavailable is the number of unavailable answers after which an order
	// that certainly had no effect is refused.
	maxUnavailable = 30
	// maxTakeoverWait is how long new orders wait for the previous holder's open
	// orders. After it they are accepted, except for endpoints with an open order.
	maxTakeoverWait = clock.Minute
	// maxConcurrentSends limits the concurrent calls of a lane.
	maxConcurrentSends = 8
	// sendTimeout limits one call of Send. loadTimeout limits the call for an
	// order that is answered only after weights are loaded.
	sendTimeout = 5 * clock.Second
	loadTimeout = 5 * clock.Minute
)

// lane is a group of orders that are sent together. Orders that load weights are
// answered late and have their own lane, so that other orders do not wait.
type lane int

const (
	fast lane = iota
	slow
	lanes
)

func laneOf(kind order.Kind) lane {
	if kind == order.LoadModel || kind == order.LoadAdapter {
		return slow
	}
	return fast
}

// Config configures a Dispatcher. All fields must be set.
type Config struct {
	Journal *journal.Journal
	Clock   clock.Clock
	Logger  logrus.FieldLogger
	// Holder names this daemon in the orders that it sends.
	Holder string
	// Send sends one order. It returns nil if the order was carried out,
	// order.ErrOldFence, order.ErrNoCapacity or ErrEndpointGone if it was
	// rejected for good, order.ErrUnavailable if it had no effect and can be
	// retried, and any other error if the result is unknown.
	Send func(ctx context.Context, ord order.Order) error
	// HandleClosedOrder is called for each order that was carried out or refused.
	HandleClosedOrder func(entry journal.Entry)
}

// pending is an order that is in the journal and not closed.
type pending struct {
	// journalled is the entry as stored in the journal; entry is changed by the
	// current round.
	journalled journal.Entry
	entry      journal.Entry
	// maybeDone is set when the order may have been carried out.
	maybeDone bool
	// unavailable counts the answers of order.ErrUnavailable.
	unavailable int
	err         error
}

// Dispatcher sends orders during the terms of this daemon.
type Dispatcher struct {
	cfg Config

	// journalMu is held while the journal is in use, roundMu while the orders of
	// a lane are sent.
	journalMu sync.Mutex
	roundMu   [lanes]sync.Mutex

	mu    sync.Mutex
	fence uint64
	ready bool
	// takeoverDeadline is when new orders are accepted although some orders of
	// the previous holder are still open.
	takeoverDeadline clock.Millis
	open             map[uint64]*pending
	takeoverEntries  []journal.Entry
}

// New returns a Dispatcher that is not ready.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, open: make(map[uint64]*pending)}
}

// Run sends orders during one term. It completes the open orders, then allows
// Submit, until ctx is done or the lease turns out to be lost.
func (d *Dispatcher) Run(ctx context.Context, term leader.Term) (err error) {
	defer func() { err = oops.Wrapf(err, "send orders") }()
	defer d.endTerm()
	if err := d.takeOver(ctx, term.Fence); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.sendLoop(ctx, fast) })
	group.Go(func() error { return d.sendLoop(ctx, slow) })
	group.Go(func() error { return d.pruneLoop(ctx) })
	return group.Wait()
}

func (d *Dispatcher) sendLoop(ctx context.Context, l lane) error {
	for {
		if err := d.round(ctx, l); err != nil {
			return err
		}
		if err := d.cfg.Clock.Sleep(ctx, retryInterval); err != nil {
			return err
		}
	}
}

func (d *Dispatcher) pruneLoop(ctx context.Context) error {
	for {
		if err := d.cfg.Clock.Sleep(ctx, pruneInterval); err != nil {
			return err
		}
		d.prune(ctx)
	}
}

func (d *Dispatcher) endTerm() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fence, d.ready = 0, false
	clear(d.open)
}

func (d *Dispatcher) takeOver(ctx context.Context, fence uint64) error {
	d.journalMu.Lock()
	defer d.journalMu.Unlock()
	entries, err := d.cfg.Journal.Open(ctx, fence)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fence = fence
	d.takeoverEntries = entries
	d.takeoverDeadline = d.cfg.Clock.Now() + maxTakeoverWait
	clear(d.open)
	for _, entry := range entries {
		if entry.State == journal.Open {
			d.open[entry.Number] = &pending{journalled: entry, entry: entry, maybeDone: true}
		}
	}
	eventTookOver.Log(d.cfg.Logger, logrus.Fields{"Fence": fence, "OpenOrders": len(d.open)})
	return nil
}

// TakeoverEntries returns the journal entries that this daemon read when it took
// over.
func (d *Dispatcher) TakeoverEntries() []journal.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.takeoverEntries
}

// OpenOrders returns the orders that are in the journal and not closed.
func (d *Dispatcher) OpenOrders() (entries []journal.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.open {
		entries = append(entries, p.journalled)
	}
	return entries
}

// Ready reports whether Submit accepts orders, and under which fence.
func (d *Dispatcher) Ready() (fence uint64, ready bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fence, d.ready
}

// Submit journals orders and sends them. It returns after sending each once, except
// orders that load weights, which are sent later. Results go to HandleClosedOrder.
// It returns ErrNotReady if the Dispatcher is not ready. It drops orders for an
// endpoint that has an open order, since the two could arrive in either sequence.
func (d *Dispatcher) Submit(ctx context.Context, orders []order.Order) (err error) {
	defer func() { err = oops.Wrapf(err, "submit orders") }()
	if _, ready := d.Ready(); !ready {
		return ErrNotReady
	}
	orders = d.dropBusyEndpoints(orders)
	if len(orders) == 0 {
		return nil
	}
	if err := d.append(ctx, orders); err != nil {
		return err
	}
	return d.round(ctx, fast)
}

// dropBusyEndpoints returns the orders for endpoints without an open order.
func (d *Dispatcher) dropBusyEndpoints(orders []order.Order) (free []order.Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	busy := make(map[string]bool)
	for _, p := range d.open {
		busy[p.journalled.Order.EndpointID] = true
	}
	for _, ord := range orders {
		if !busy[ord.EndpointID] {
			free = append(free, ord)
		}
	}
	return free
}

// append journals orders. If it is unknown whether they were written, the work of
// the term fails and is restarted, which opens the journal again.
func (d *Dispatcher) append(ctx context.Context, orders []order.Order) error {
	d.journalMu.Lock()
	defer d.journalMu.Unlock()
	entries, err := d.cfg.Journal.Append(ctx, orders)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		if !errors.Is(err, table.ErrUnavailable) {
			d.fence, d.ready = 0, false
		}
		return err
	}
	for _, entry := range entries {
		d.open[entry.Number] = &pending{journalled: entry, entry: entry}
	}
	return nil
}

// round sends every open order of a lane once and closes those that were carried
// out or refused. It returns an error if this daemon must stop sending orders.
func (d *Dispatcher) round(ctx context.Context, l lane) error {
	d.roundMu[l].Lock()
	defer d.roundMu[l].Unlock()
	fence, batch := d.batch(l)
	if fence == 0 {
		return ErrNotReady
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentSends)
	for _, p := range batch {
		group.Go(func() error {
			d.send(ctx, fence, p)
			return nil
		})
	}
	_ = group.Wait()
	var ended []journal.Entry
	for _, p := range batch {
		if errors.Is(p.err, order.ErrOldFence) {
			eventOldFence.Log(d.cfg.Logger, logrus.Fields{"Fence": fence, "Order": p.entry.Order.ID})
			return p.err
		}
		if p.applyResult() {
			ended = append(ended, p.entry)
		}
	}
	return d.close(ctx, ended)
}

func (d *Dispatcher) batch(l lane) (fence uint64, batch []*pending) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.open {
		if laneOf(p.journalled.Order.Kind) == l {
			batch = append(batch, p)
		}
	}
	return d.fence, batch
}

func (d *Dispatcher) send(ctx context.Context, fence uint64, p *pending) {
	timeout := sendTimeout
	if laneOf(p.entry.Order.Kind) == slow {
		timeout = loadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	ord := p.entry.Order
	ord.Fence = fence
	ord.Holder = d.cfg.Holder
	sent.Add(1)
	p.err = d.cfg.Send(ctx, ord)
}

// applyResult sets the state of the order from the last result of Send and reports
// whether the order can be closed.
func (p *pending) applyResult() bool {
	switch {
	case p.err == nil:
		p.entry.State = journal.Done
	case errors.Is(p.err, order.ErrNoCapacity) || errors.Is(p.err, ErrEndpointGone):
		p.entry.State = journal.Refused
		p.entry.Reason = p.err.Error()
	case errors.Is(p.err, order.ErrUnavailable):
		p.unavailable++
		if p.maybeDone || p.unavailable < maxUnavailable {
			return false
		}
		p.entry.State = journal.Refused
		p.entry.Reason = p.err.Error()
	default:
		p.maybeDone = true
		return false
	}
	return true
}

// close records orders as carried out or refused. If the table does not answer,
// they stay open and are sent again, which is idempotent.
func (d *Dispatcher) close(ctx context.Context, ended []journal.Entry) error {
	if len(ended) > 0 {
		if err := d.record(ctx, ended); err != nil {
			if IsLeaseLost(err) {
				return err
			}
			eventJournalNotWritten.Log(d.cfg.Logger, logrus.Fields{"Orders": len(ended), "Error": err.Error()})
			d.reopen(ended)
			return nil
		}
	}
	d.finish(ended)
	return nil
}

// IsLeaseLost reports whether an error means that another daemon acquired the lease.
func IsLeaseLost(err error) bool {
	return errors.Is(err, order.ErrOldFence) || errors.Is(err, leader.ErrLeaseLost)
}

func (d *Dispatcher) record(ctx context.Context, ended []journal.Entry) error {
	d.journalMu.Lock()
	defer d.journalMu.Unlock()
	return d.cfg.Journal.Close(ctx, ended)
}

func (d *Dispatcher) reopen(ended []journal.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, entry := range ended {
		if p := d.open[entry.Number]; p != nil {
			p.entry.State = journal.Open
			p.entry.Reason = ""
		}
	}
}

func (d *Dispatcher) finish(ended []journal.Entry) {
	for _, entry := range ended {
		finished.Add(string(entry.State), 1)
		eventOrderEnded.Log(d.cfg.Logger, logrus.Fields{
			"Order": entry.Order.ID, "Kind": string(entry.Order.Kind), "Backend": entry.Order.Backend,
			"Endpoint": entry.Order.EndpointID, "State": string(entry.State), "Reason": entry.Reason,
		})
		d.cfg.HandleClosedOrder(entry)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, entry := range ended {
		delete(d.open, entry.Number)
	}
	if d.fence != 0 && (len(d.open) == 0 || d.cfg.Clock.Now() >= d.takeoverDeadline) {
		d.ready = true
	}
}

func (d *Dispatcher) prune(ctx context.Context) {
	d.journalMu.Lock()
	defer d.journalMu.Unlock()
	if err := d.cfg.Journal.Prune(ctx); err != nil {
		eventJournalNotWritten.Log(d.cfg.Logger, logrus.Fields{"Error": err.Error()})
	}
}
