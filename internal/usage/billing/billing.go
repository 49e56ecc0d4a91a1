// Package billing seals the usage of windows of the time of day and reports
// them, while this daemon holds the lease.
//
// A window is sealed by a row that is written once, under a condition on the
// lease, before it is reported. Whoever reports it, and however often, sends
// what the row says. The counts of windows that are not sealed yet are saved in
// the table as well, so that they outlast a loss of all daemons.
//
// # Usage
//
//	b := billing.New(billing.Config{Table: client, Clock: clk, Logger: logger, Tally: t, CollectUsage: collect, ...})
//	leader.Config{Work: []leader.Work{b.Work}}
package billing

import (
	"bytes"
	"context"
	"errors"
	"strconv"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
	"github.com/banyanshift/banyanshift/internal/order/leader"
	"github.com/banyanshift/banyanshift/internal/usage/tally"
)

var (
	eventSealed = event.New(1720, logrus.InfoLevel, "usage window sealed",
		"The counts of a window are written for good and are about to be reported.")
	eventReported = event.New(1721, logrus.InfoLevel, "usage window reported",
		"The platform has taken the counts of a window.")
	eventFailed = event.New(1722, logrus.WarnLevel, "usage window not sealed or reported",
		"The step is tried again; the window is missing until then.")
	eventUnreadable = event.New(1723, logrus.ErrorLevel, "saved usage cannot be read",
		"A row of saved counts is of no use; what the daemons remember is billed.")

	reported = metric.NewCounter("Billing.Reported", "Usage windows that the platform has taken from this daemon.")
)

const (
	// interval is the time between two looks at what is due.
	interval = 500 * clock.Millisecond
	// sealDelay is the time from the end of a window until it is sealed, for
	// the counts of other daemons to arrive.
	sealDelay = 1500 * clock.Millisecond
	// saveInterval is the time between two savings of the open windows.
	saveInterval = clock.Second
	// lookBack is how many windows a new holder looks back.
	lookBack    = 4
	callTimeout = clock.Second

	windowPrefix = "Usage/Window/"
	// openPrefix is that of the rows of saved windows. A later window takes
	// the row of an earlier one again, so that their number is bounded.
	openPrefix = "Usage/Open/"
	openRows   = 16
)

// Window is the sealed usage of a window.
type Window struct {
	Number int64
	Counts map[string]int64
}

// Config configures a Biller. All fields must be set.
type Config struct {
	Table  table.Client
	Clock  clock.Clock
	Logger logrus.FieldLogger
	Tally  *tally.Tally
	// CollectUsage asks the other daemons for their counts from a window on and
	// merges them into the tally.
	CollectUsage func(ctx context.Context, first int64)
	// Guard returns a condition that holds as long as the lease with this
	// fence has not passed on.
	Guard func(ctx context.Context, fence uint64) (table.Condition, error)
	// Report sends a window over a connection that only writes while the
	// lease is held under the fence.
	Report func(ctx context.Context, fence uint64, window Window) error
}

// Biller seals and reports windows.
type Biller struct {
	config Config
}

// New returns a Biller.
func New(config Config) *Biller {
	return &Biller{config: config}
}

// term is the work of one term.
type term struct {
	*Biller
	fence uint64
	// next is the first window that is not done.
	next  int64
	saved clock.Millis
	// rows are the values that were saved last, by key.
	rows map[string][]byte
	// done are windows after next that are done.
	done map[int64]bool
}

// Work seals and reports during one term; it is a leader.Work.
func (b *Biller) Work(ctx context.Context, held leader.Term) error {
	t := &term{Biller: b, fence: held.Fence, done: make(map[int64]bool), rows: make(map[string][]byte)}
	t.next = b.config.Tally.WindowAt(b.config.Clock.Wall()) - lookBack
	t.restore(ctx)
	for {
		t.settle(ctx)
		t.save(ctx)
		if err := b.config.Clock.Sleep(ctx, interval); err != nil {
			return err
		}
	}
}

// restore takes in the counts that an earlier holder saved.
func (t *term) restore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	rows, err := t.config.Table.Scan(ctx, openPrefix, "", openRows)
	if err != nil {
		eventFailed.Log(t.config.Logger, logrus.Fields{"Step": "restore", "Error": err.Error()})
		return
	}
	for _, row := range rows {
		var sheet tally.WindowSnapshot
		err := msgpack.Unmarshal(row.Value, &sheet)
		if err == nil && sheet.Window >= t.next {
			err = t.config.Tally.MergeSnapshot(sheet)
		}
		if err != nil {
			eventUnreadable.Log(t.config.Logger, logrus.Fields{"Key": row.Key, "Error": err.Error()})
		}
	}
}

// settle seals and reports the windows that are due.
func (t *term) settle(ctx context.Context) {
	wall := t.config.Clock.Wall()
	collected := false
	for window := t.next; t.config.Tally.WindowEnd(window)+sealDelay <= wall; window++ {
		if t.done[window] {
			continue
		}
		if !collected {
			t.config.CollectUsage(ctx, t.next)
			collected = true
		}
		if err := t.finish(ctx, window); err != nil {
			eventFailed.Log(t.config.Logger, logrus.Fields{"Step": "finish", "Window": window, "Error": err.Error()})
			continue
		}
		t.done[window] = true
	}
	for t.done[t.next] {
		delete(t.done, t.next)
		t.next++
	}
}

// finish seals and reports one window.
func (t *term) finish(ctx context.Context, number int64) (err error) {
	defer func() { err = oops.Wrapf(err, "finish usage window %d", number) }()
	window, err := t.seal(ctx, number)
	if err != nil || len(window.Counts) == 0 {
		return err
	}
	calling, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	if err := t.config.Report(calling, t.fence, window); err != nil {
		return err
	}
	reported.Add(1)
	eventReported.Log(t.config.Logger, logrus.Fields{"Window": number, "Fence": t.fence, "Teams": len(window.Counts)})
	return nil
}

// seal returns the window as it was sealed, by this daemon or another.
func (t *term) seal(ctx context.Context, number int64) (window Window, err error) {
	ctx, cancel := context.WithTimeout(ctx, (2 * callTimeout).Duration())
	defer cancel()
	key := windowPrefix + strconv.FormatInt(number, 10)
	row, err := t.config.Table.Get(ctx, key)
	if err != nil {
		return Window{}, err
	}
	if row.Version != 0 {
		err := msgpack.Unmarshal(row.Value, &window)
		return window, err
	}
	window = Window{Number: number, Counts: t.config.Tally.Sum(number)}
	if len(window.Counts) == 0 {
		return window, nil
	}
	condition, err := t.config.Guard(ctx, t.fence)
	if err != nil {
		return Window{}, err
	}
	value, err := msgpack.Marshal(window)
	if err != nil {
		return Window{}, err
	}
	err = t.config.Table.Commit(ctx, table.Txn{
		Conditions: []table.Condition{condition, {Key: key}},
		Writes:     []table.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return Window{}, err
	}
	eventSealed.Log(t.config.Logger, logrus.Fields{"Window": number, "Fence": t.fence, "Counts": window.Counts})
	return window, nil
}

// save writes the counts of the windows that are not sealed yet, if they have
// changed.
func (t *term) save(ctx context.Context) {
	now := t.config.Clock.Now()
	if now-t.saved < saveInterval {
		return
	}
	t.saved = now
	writes, err := t.unsaved()
	if err == nil && len(writes) > 0 {
		calling, cancel := context.WithTimeout(ctx, callTimeout.Duration())
		defer cancel()
		err = t.config.Table.Commit(calling, table.Txn{Writes: writes})
	}
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			eventFailed.Log(t.config.Logger, logrus.Fields{"Step": "save", "Error": err.Error()})
		}
		return
	}
	for _, write := range writes {
		t.rows[write.Key] = write.Value
	}
}

// unsaved returns the rows that differ from those that were saved last.
func (t *term) unsaved() (writes []table.Write, err error) {
	for _, sheet := range t.config.Tally.Snapshots(t.next) {
		value, err := msgpack.Marshal(sheet)
		if err != nil {
			return nil, err
		}
		key := openPrefix + strconv.FormatInt(sheet.Window%openRows, 10)
		if !bytes.Equal(value, t.rows[key]) {
			writes = append(writes, table.Write{Key: key, Value: value})
		}
	}
	return writes, nil
}
