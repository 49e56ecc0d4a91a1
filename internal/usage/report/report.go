// Package report seals the usage windows of a region and reports them to the
// platform's billing, while this daemon holds the region's lease.
//
// # Usage
//
//	r := report.New(report.Config{Table: client, Clock: clk, Logger: logger, Region: "sask-central", Daemon: "vm-3",
//		Lease: holder.Lease, Guard: guard, NewClient: newClient, WindowLength: clock.Minute})
//	go r.Run(ctx)
//
//	windows, reported, err := report.ReadWindows(ctx, client, "sask-central", 0, 100)
package report

import (
	"context"
	"errors"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/coord/window"
	"github.com/banyanshift/banyanshift/internal/platform/usage"
	"github.com/banyanshift/banyanshift/internal/usage/meter"
	"github.com/banyanshift/banyanshift/internal/usage/replicate"
)

// The prefixes of the rows.
const (
	WindowPrefix   = "Usage/Window/"
	statePrefix    = "Usage/Sealed/"
	reportedPrefix = "Usage/Reported/"
)

const (
	// maxBatches is how many batches one window counts at most.
	maxBatches = 4000
	// keepWindows is for how many windows without a batch a daemon's
	// counted batches are remembered: a day of windows of a minute.
	keepWindows = 1440
	callTimeout = 3 * clock.Second
)

// Config configures a Reporter. All fields must be set.
type Config struct {
	Table  table.Client
	Clock  clock.Clock
	Logger logrus.FieldLogger
	Region string
	// Daemon names this daemon in the reports.
	Daemon string
	// Lease returns the fencing number of the region's lease, and until when
	// it is held; ok is false when it is not held.
	Lease func() (fence uint64, until clock.Millis, ok bool)
	// Guard returns a condition that holds as long as the lease with this
	// fencing number has not passed on.
	Guard func(ctx context.Context, fence uint64) (table.Condition, error)
	// NewClient returns a client whose connections write only while the lease
	// is held under this fencing number.
	NewClient func(fence uint64) usage.Client
	// WindowLength is the length of a window.
	WindowLength clock.Millis
}

// Reporter seals and reports.
type Reporter struct {
	cfg    Config
	sealer *window.Sealer
}

// New returns a Reporter.
func New(cfg Config) *Reporter {
	r := &Reporter{cfg: cfg}
	r.sealer = window.New(window.Config{
		Table: cfg.Table, Clock: cfg.Clock, Scope: cfg.Region,
		BatchPrefix: replicate.BatchPrefix, WindowPrefix: WindowPrefix,
		StatePrefix: statePrefix, ReportedPrefix: reportedPrefix,
		Lease: cfg.Lease, LeaseCondition: cfg.Guard, Fold: r.fold, Report: r.send, Interval: cfg.WindowLength,
		MaxBatches: maxBatches, IncarnationRetention: keepWindows, CallTimeout: callTimeout, Observe: r.observe,
	})
	return r
}

// Run seals and reports while the lease is held, until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	return r.sealer.Run(ctx)
}

// Flush closes and reports what is in the table now, such as before the lease
// is handed over.
func (r *Reporter) Flush(ctx context.Context) {
	r.sealer.CloseAll(ctx)
	r.sealer.ReportAll(ctx)
}

// fold sums up the payloads of batches. A payload that cannot be read is left
// out and logged, since it would hold up all later windows.
func (r *Reporter) fold(header window.Header, payloads [][]byte) (value []byte, err error) {
	defer func() { err = oops.Wrapf(err, "sum up usage") }()
	var lines []usage.Line
	for _, payload := range payloads {
		decoded, err := meter.Decode(payload)
		if err != nil {
			eventUnreadable.Log(r.cfg.Logger, logrus.Fields{"Window": header.Number, "Error": err.Error()})
			continue
		}
		lines = append(lines, decoded...)
	}
	return msgpack.Marshal(usage.Window{
		Number:   header.Number,
		Scope:    header.Scope,
		Fence:    header.Fence,
		Reporter: r.cfg.Daemon,
		Start:    header.Start,
		End:      header.End,
		Lines:    meter.Sum(lines),
	})
}

func (r *Reporter) send(ctx context.Context, fence uint64, sealed window.Sealed) (err error) {
	defer func() { err = oops.Wrapf(err, "send window") }()
	var decoded usage.Window
	if err := msgpack.Unmarshal(sealed.Value, &decoded); err != nil {
		return err
	}
	return r.cfg.NewClient(fence).Report(usage.WithSender(ctx, r.cfg.Daemon, fence), decoded)
}

func (r *Reporter) observe(step window.Step, number uint64, err error) {
	fields := logrus.Fields{"Scope": r.cfg.Region, "Window": number, "Step": string(step)}
	if err != nil {
		fields["Error"] = err.Error()
	}
	switch {
	case errors.Is(err, usage.ErrConflict):
		conflicts.Add(1)
		eventConflict.Log(r.cfg.Logger, fields)
	case errors.Is(err, window.ErrLeaseNotHeld):
	case err != nil:
		eventFailed.Log(r.cfg.Logger, fields)
	case step == window.StepClose:
		closed.Add(1)
		eventClosed.Log(r.cfg.Logger, fields)
	default:
		reported.Add(1)
		eventReported.Log(r.cfg.Logger, fields)
	}
}

// ReadWindows reads at most limit sealed windows of a region after the window of
// number after, and the number up to which windows were reported.
func ReadWindows(ctx context.Context, client table.Client, region string, after uint64, limit int) (windows []usage.Window, reported uint64, err error) {
	defer func() { err = oops.Wrapf(err, "read usage windows of %s", region) }()
	sealer := window.New(window.Config{Table: client, Scope: region, ReportedPrefix: reportedPrefix, CallTimeout: callTimeout})
	reported, _, err = sealer.LastReported(ctx)
	if err != nil {
		return nil, 0, err
	}
	rows, err := client.Scan(ctx, WindowPrefix+region+"/", window.RowKey(WindowPrefix, region, after), limit)
	if err != nil {
		return nil, 0, err
	}
	for _, row := range rows {
		var decoded usage.Window
		if err := msgpack.Unmarshal(row.Value, &decoded); err != nil {
			return nil, 0, err
		}
		windows = append(windows, decoded)
	}
	return windows, reported, nil
}
