// Package dispatch gives the endpoint orders of a region while this daemon holds
// the region's lease.
//
// When it takes over it first completes the orders that its predecessor left
// open, under their IDs, and only then gives its own. Should one of them stay
// without an answer for a minute, others are given, but none to that endpoint. An
// order whose answer is
// lost is sent again under the same ID until the answer comes. An order that
// certainly did nothing is sent again for a while and then refused.
//
// Send must go over a connection that checks the lease at every write (package
// guard): between the check here and the write the process may be paused for any
// time.
//
// # Usage
//
//	d := dispatch.New(dispatch.Config{Journal: j, Clock: clk, Logger: logger, Send: send, Scope: "sask-central"})
//	// as work of a hold.Runner, called anew for each term:
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
	"github.com/banyanshift/banyanshift/internal/order/hold"
	"github.com/banyanshift/banyanshift/internal/order/journal"
	"github.com/banyanshift/banyanshift/internal/platform/order"
)

// Errors that a Dispatcher's methods return, possibly wrapped.
var (
	// ErrNotReady says that this daemon does not give orders now.
	ErrNotReady = errors.New("dispatch: not in charge")
	// ErrEndpointGone is returned by Send for an order to an endpoint that no longer
	// exists.
	ErrEndpointGone = errors.New("dispatch: endpoint is gone")
)

const (
	// retryInterval is the time between two rounds of sending open orders.
	retryInterval = clock.Second
	// pruneInterval is the time between two prunings of the journal.
	pruneInterval = clock.Minute
	// maxUntaken is how many rounds an order is sent that is never taken.
	maxUntaken = 30
	// maxInheritedTime is how long own orders wait for those that were taken
	// over. After it they are given, except to endpoints with an open order.
	maxInheritedTime = clock.Minute
	sendAtOnce       = 8
	// sendTime bounds one sending, loadTime that of an order which is answered
	// when weights have been loaded.
	sendTime = 5 * clock.Second
	loadTime = 5 * clock.Minute
)

// lane separates the orders that are answered late from the others, which do not
// wait for them.
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
	// Send gives one order. It returns nil when the order was carried out,
	// order.ErrOldFence, order.ErrNoCapacity or ErrGone when it was not and
	// will not be, order.ErrUnavailable when nothing was done, and any other
	// error when nobody knows.
	Send func(ctx context.Context, given order.Order) error
	// HandleClosedOrder is told of each order that was carried out or refused.
	HandleClosedOrder func(entry journal.Entry)
}

// pending is an order that was journalled and is not closed.
type pending struct {
	// journalled is the entry as it stands in the journal; entry is changed
	// by the round under way.
	journalled journal.Entry
	entry      journal.Entry
	// doubtful says that the order may have been carried out.
	doubtful bool
	untaken  int
	err      error
}

// Dispatcher gives orders during the terms of this daemon.
type Dispatcher struct {
	cfg Config

	// journalMu is held while the journal is used, roundMu while the orders of
	// a lane are being sent.
	journalMu sync.Mutex
	roundMu   [lanes]sync.Mutex

	mu    sync.Mutex
	fence uint64
	ready bool
	// inheritedUntil is when own orders are given although some that were
	// taken over are still open.
	inheritedUntil clock.Millis
	open           map[uint64]*pending
	entries        []journal.Entry
}

// New returns a Dispatcher that is not in charge.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, open: make(map[uint64]*pending)}
}

// Run gives orders during one term: it completes open orders, then lets Submit
// in, until ctx ends or it learns that the lease has passed on.
func (d *Dispatcher) Run(ctx context.Context, term hold.Term) (err error) {
	defer func() { err = oops.Wrapf(err, "give orders") }()
	defer d.leaveCharge()
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

func (d *Dispatcher) leaveCharge() {
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
	d.entries = entries
	d.inheritedUntil = d.cfg.Clock.Now() + maxInheritedTime
	clear(d.open)
	for _, entry := range entries {
		if entry.State == journal.Open {
			d.open[entry.Number] = &pending{journalled: entry, entry: entry, doubtful: true}
		}
	}
	eventTookOver.Log(d.cfg.Logger, logrus.Fields{"Fence": fence, "OpenOrders": len(d.open)})
	return nil
}

// TakeoverEntries returns the entries that the journal had when this daemon took over.
func (d *Dispatcher) TakeoverEntries() []journal.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries
}

// OpenOrders returns the orders that were journalled and have not ended.
func (d *Dispatcher) OpenOrders() (entries []journal.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.open {
		entries = append(entries, p.journalled)
	}
	return entries
}

// Ready reports whether the predecessor's orders are complete, so that Submit is
// let in, and under which fence.
func (d *Dispatcher) Ready() (fence uint64, ready bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fence, d.ready
}

// Submit journals orders and sends them. It returns when each was sent once, those
// that load weights excepted; what becomes of them is told to Ended. It returns ErrNotInCharge before the
// predecessor's orders are complete. Orders for an endpoint that has an open
// order are left out, since the two could arrive in either sequence.
func (d *Dispatcher) Submit(ctx context.Context, orders []order.Order) (err error) {
	defer func() { err = oops.Wrapf(err, "submit orders") }()
	if _, ready := d.Ready(); !ready {
		return ErrNotReady
	}
	orders = d.withoutBusy(orders)
	if len(orders) == 0 {
		return nil
	}
	if err := d.append(ctx, orders); err != nil {
		return err
	}
	return d.round(ctx, fast)
}

func (d *Dispatcher) withoutBusy(orders []order.Order) (free []order.Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	busy := make(map[string]bool)
	for _, p := range d.open {
		busy[p.journalled.Order.EndpointID] = true
	}
	for _, given := range orders {
		if !busy[given.EndpointID] {
			free = append(free, given)
		}
	}
	return free
}

// append journals orders. When it is not known whether that took effect, the
// term's work is begun anew, which opens the journal again.
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

// round sends every open order of a lane once and closes those that have ended.
// It returns an error when this daemon must stop giving orders.
func (d *Dispatcher) round(ctx context.Context, l lane) error {
	d.roundMu[l].Lock()
	defer d.roundMu[l].Unlock()
	fence, batch := d.batch(l)
	if fence == 0 {
		return ErrNotReady
	}
	var group errgroup.Group
	group.SetLimit(sendAtOnce)
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
			eventDeposed.Log(d.cfg.Logger, logrus.Fields{"Fence": fence, "Order": p.entry.Order.ID})
			return p.err
		}
		if p.judge() {
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
	limit := sendTime
	if laneOf(p.entry.Order.Kind) == slow {
		limit = loadTime
	}
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	given := p.entry.Order
	given.Fence = fence
	given.Holder = d.cfg.Holder
	sent.Add(1)
	p.err = d.cfg.Send(ctx, given)
}

// judge decides from the last answer whether the order has ended.
func (p *pending) judge() bool {
	switch {
	case p.err == nil:
		p.entry.State = journal.Done
	case errors.Is(p.err, order.ErrNoCapacity) || errors.Is(p.err, ErrEndpointGone):
		p.entry.State = journal.Refused
		p.entry.Reason = p.err.Error()
	case errors.Is(p.err, order.ErrUnavailable):
		p.untaken++
		if p.doubtful || p.untaken < maxUntaken {
			return false
		}
		p.entry.State = journal.Refused
		p.entry.Reason = p.err.Error()
	default:
		p.doubtful = true
		return false
	}
	return true
}

// close records the orders that have ended. When the table does not answer they
// stay open and are sent again, which changes nothing.
func (d *Dispatcher) close(ctx context.Context, ended []journal.Entry) error {
	if len(ended) > 0 {
		if err := d.record(ctx, ended); err != nil {
			if IsLeaseLost(err) {
				return err
			}
			eventNotRecorded.Log(d.cfg.Logger, logrus.Fields{"Orders": len(ended), "Error": err.Error()})
			d.reopen(ended)
			return nil
		}
	}
	d.finish(ended)
	return nil
}

// IsLeaseLost reports whether an error says that the lease has passed on.
func IsLeaseLost(err error) bool {
	return errors.Is(err, order.ErrOldFence) || errors.Is(err, hold.ErrLeaseLost)
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
		eventEnded.Log(d.cfg.Logger, logrus.Fields{
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
	if d.fence != 0 && (len(d.open) == 0 || d.cfg.Clock.Now() >= d.inheritedUntil) {
		d.ready = true
	}
}

func (d *Dispatcher) prune(ctx context.Context) {
	d.journalMu.Lock()
	defer d.journalMu.Unlock()
	if err := d.cfg.Journal.Prune(ctx); err != nil {
		eventNotRecorded.Log(d.cfg.Logger, logrus.Fields{"Error": err.Error()})
	}
}
