// Package billing seals the usage counts of windows of wall-clock time and reports
// them to the platform while this daemon holds the lease.
//
// To seal a window, the holder of the lease writes a table row, under a condition on
// the lease, and confirms it before the first report. Every report of the window,
// also a retry or one by a later holder, sends the content of that row, so that
// reports never differ. The counts of windows that are not sealed yet are saved in
// the table too, so that they survive the loss of all daemons.
//
// The table may lose the row of a seal when it comes back from a copy. The other daemons
// remember the content as well. Where no living daemon does, another row says from which
// window on the table holds all seals. An earlier window without a row may have been
// reported, and is left out. The same holds for a row that was written in an earlier era
// and not confirmed: it may have been written late, into a table that lost another one.
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
	"github.com/banyanshift/banyanshift/coord/packed"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
	"github.com/banyanshift/banyanshift/internal/order/leader"
	"github.com/banyanshift/banyanshift/internal/usage/tally"
)

var (
	eventSealed = event.New(1720, logrus.InfoLevel, "usage window sealed",
		"The counts of a window were written to the table. They are final and are reported next.")
	eventReported = event.New(1721, logrus.InfoLevel, "usage window reported",
		"The platform accepted the counts of a window.")
	eventFailed = event.New(1722, logrus.WarnLevel, "usage window not sealed or reported",
		"The step is retried. The platform lacks the window until it succeeds.")
	eventUnreadable = event.New(1723, logrus.ErrorLevel, "saved usage cannot be read",
		"A row of saved counts cannot be decoded and is ignored. The counts that daemons hold in memory are billed.")

	eventLeftOut = event.New(1724, logrus.WarnLevel, "usage window left out",
		"The window has no seal, or two different ones, and the table has come back from a copy or was first used by an earlier release. The window may have been reported, and is not reported again.")

	reportedWindows = metric.NewCounter("Billing.Reported", "Usage windows that the platform accepted from this daemon.")
	leftOutWindows  = metric.NewCounter("Billing.LeftOut", "Usage windows that this daemon did not report, since they may have been reported with other counts.")
)

const (
	// pollInterval is the time between two checks for windows that are due.
	pollInterval = 500 * clock.Millisecond
	// sealDelay is the time from the end of a window until it is sealed. It
	// lets the counts of other daemons arrive.
	sealDelay = 1500 * clock.Millisecond
	// saveInterval is the minimum time between two saves of the open windows.
	saveInterval = clock.Second
	// lookbackWindows is how many windows before the current one a new holder
	// of the lease checks for missing reports.
	lookbackWindows = 4
	callTimeout     = clock.Second

	// openWindowPrefix starts the keys of the rows of open windows. The key is
	// the window number modulo openRowCount: later windows overwrite the rows
	// of earlier ones, which bounds the number of rows.
	openWindowPrefix = "Usage/Open/"
	openRowCount     = 16
)

// Window is the sealed usage of one window: the number of requests by team.
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
	// CollectUsage fetches the counts and seals of the other daemons for all
	// windows from first on and merges them into Tally.
	CollectUsage func(ctx context.Context, first int64)
	// Guard returns a condition that is true until another daemon acquires
	// the lease, which ends the validity of this fence.
	Guard func(ctx context.Context, fence uint64) (table.Condition, error)
	// Eras has seen the eras of all answers of the table.
	Eras *EraWatch
	// Report sends a window to the platform. Its connection must write only
	// while the lease is held under the fence.
	Report func(ctx context.Context, fence uint64, window Window) error
}

// Biller seals and reports usage windows.
type Biller struct {
	config Config
}

// New returns a Biller.
func New(config Config) *Biller {
	return &Biller{config: config}
}

// termRun is the state of the work during one term of the lease.
type termRun struct {
	*Biller
	fence uint64
	// startedAt is when the term began.
	startedAt clock.Millis
	// era is the era of the table as this term last knew it, once eraKnown is set.
	era      eraRecord
	eraKnown bool
	// restored is set once the counts that an earlier holder saved have been read. Until then
	// no window is finished or saved, which would lose them.
	restored bool
	// nextWindow is the oldest window that is not finished.
	nextWindow int64
	lastSave   clock.Millis
	// savedRows holds the last saved value of each row, by key.
	savedRows map[string][]byte
	// finished holds the finished windows after nextWindow.
	finished map[int64]bool
}

// Work seals and reports windows during one term of the lease. It is a leader.Work.
func (b *Biller) Work(ctx context.Context, term leader.Term) error {
	t := &termRun{Biller: b, fence: term.Fence, finished: make(map[int64]bool), savedRows: make(map[string][]byte)}
	t.startedAt = b.config.Clock.Now()
	t.nextWindow = b.config.Tally.WindowAt(b.config.Clock.Wall()) - lookbackWindows
	for {
		t.enterEra(ctx)
		t.restoreOpenWindows(ctx)
		if t.restored {
			t.finishDue(ctx)
			t.saveOpenWindows(ctx)
		}
		if err := b.config.Clock.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// restoreOpenWindows merges the counts that an earlier holder of the lease saved, once a term.
func (t *termRun) restoreOpenWindows(ctx context.Context) {
	if t.restored {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	rows, err := t.config.Table.Scan(ctx, openWindowPrefix, "", openRowCount)
	if err != nil {
		eventFailed.Log(t.config.Logger, logrus.Fields{"Step": "restore", "Error": err.Error()})
		return
	}
	t.restored = true
	for _, row := range rows {
		var snapshot tally.WindowSnapshot
		err := packed.Unmarshal(row.Value, &snapshot)
		if err == nil && snapshot.Window >= t.nextWindow {
			err = t.config.Tally.MergeSnapshot(snapshot)
		}
		if err != nil {
			eventUnreadable.Log(t.config.Logger, logrus.Fields{"Key": row.Key, "Error": err.Error()})
		}
	}
}

// finishDue seals and reports the windows whose seal delay has passed.
func (t *termRun) finishDue(ctx context.Context) {
	wall := t.config.Clock.Wall()
	collected := false
	for window := t.nextWindow; t.config.Tally.WindowEnd(window)+sealDelay <= wall; window++ {
		if t.finished[window] {
			continue
		}
		if !collected {
			t.config.CollectUsage(ctx, t.nextWindow)
			collected = true
		}
		if err := t.finish(ctx, window); err != nil {
			eventFailed.Log(t.config.Logger, logrus.Fields{"Step": "finish", "Window": window, "Error": err.Error()})
			continue
		}
		t.finished[window] = true
	}
	for t.finished[t.nextWindow] {
		delete(t.finished, t.nextWindow)
		t.nextWindow++
	}
}

// finish seals and reports one window.
func (t *termRun) finish(ctx context.Context, number int64) (err error) {
	defer func() { err = oops.Wrapf(err, "finish usage window %d", number) }()
	window, err := t.seal(ctx, number)
	if err != nil || len(window.Counts) == 0 {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	if err := t.config.Report(callCtx, t.fence, window); err != nil {
		return err
	}
	reportedWindows.Add(1)
	eventReported.Log(t.config.Logger, logrus.Fields{"Window": number, "Fence": t.fence, "Teams": len(window.Counts)})
	return nil
}

// saveOpenWindows writes the counts of the unfinished windows that changed since
// the last save.
func (t *termRun) saveOpenWindows(ctx context.Context) {
	now := t.config.Clock.Now()
	if now-t.lastSave < saveInterval {
		return
	}
	t.lastSave = now
	writes, err := t.changedRows()
	if err == nil && len(writes) > 0 {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
		defer cancel()
		err = t.config.Table.Commit(callCtx, table.Txn{Writes: writes})
	}
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			eventFailed.Log(t.config.Logger, logrus.Fields{"Step": "save", "Error": err.Error()})
		}
		return
	}
	for _, write := range writes {
		t.savedRows[write.Key] = write.Value
	}
}

// changedRows returns the rows that differ from their last saved values.
func (t *termRun) changedRows() (writes []table.Write, err error) {
	for _, snapshot := range t.config.Tally.Snapshots(t.nextWindow) {
		value, err := msgpack.Marshal(snapshot)
		if err != nil {
			return nil, err
		}
		key := openWindowPrefix + strconv.FormatInt(snapshot.Window%openRowCount, 10)
		if !bytes.Equal(value, t.savedRows[key]) {
			writes = append(writes, table.Write{Key: key, Value: value})
		}
	}
	return writes, nil
}
