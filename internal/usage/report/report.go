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
	"github.com/banyanshift/banyanshift/coord/packed"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/coord/window"
	"github.com/banyanshift/banyanshift/internal/platform/usage"
	"github.com/banyanshift/banyanshift/internal/usage/meter"
	"github.com/banyanshift/banyanshift/internal/usage/replicate"
)

// Key prefixes of the rows in the table.
const (
	WindowPrefix   = "Usage/Window/"
	statePrefix    = "Usage/Sealed/"
	reportedPrefix = "Usage/Reported/"
)

const (
	// maxBatches is the maximum number of batches in one window.
	maxBatches = 4000
	// keepIncarnationWindows is the number of windows for which the state of
	// an incarnation is kept after its last batch: one day of one-minute
	// windows.
	keepIncarnationWindows = 1440
	callTimeout            = 3 * clock.Second
)

// Config configures a Reporter. All fields must be set.
type Config struct {
	Table  table.Client
	Clock  clock.Clock
	Logger logrus.FieldLogger
	Region string
	// Daemon is the name of this daemon in the reports.
	Daemon string
	// Lease returns the fence of the region's lease and the time until which
	// this daemon holds it. ok is false if this daemon does not hold it.
	Lease func() (fence uint64, until clock.Millis, ok bool)
	// Guard returns a condition that is true until another daemon acquires
	// the lease, which ends the validity of this fence.
	Guard func(ctx context.Context, fence uint64) (table.Condition, error)
	// NewClient returns a client whose connections write only while the lease
	// is held under this fence.
	NewClient func(fence uint64) usage.Client
	// WindowLength is the length of a window.
	WindowLength clock.Millis
}

// Reporter seals and reports the usage windows of a region.
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
		Lease: cfg.Lease, LeaseCondition: cfg.Guard, Fold: r.encodeWindow, Report: r.sendWindow, Interval: cfg.WindowLength,
		MaxBatches: maxBatches, IncarnationRetention: keepIncarnationWindows, CallTimeout: callTimeout, Observe: r.recordStep,
	})
	return r
}

// Run seals and reports windows while the lease is held, until ctx is done.
func (r *Reporter) Run(ctx context.Context) error {
	return r.sealer.Run(ctx)
}

// Flush seals and reports all batches that are in the table now. Call it, for
// example, before the lease is handed over.
func (r *Reporter) Flush(ctx context.Context) {
	r.sealer.CloseAll(ctx)
	r.sealer.ReportAll(ctx)
}

// encodeWindow sums the payloads of batches and returns the encoded window. A
// payload that cannot be decoded is logged and left out, since an error would
// block all later windows.
func (r *Reporter) encodeWindow(header window.Header, payloads [][]byte) (value []byte, err error) {
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

func (r *Reporter) sendWindow(ctx context.Context, fence uint64, sealed window.Sealed) (err error) {
	defer func() { err = oops.Wrapf(err, "send window") }()
	var decoded usage.Window
	if err := packed.Unmarshal(sealed.Value, &decoded); err != nil {
		return err
	}
	return r.cfg.NewClient(fence).Report(usage.WithSender(ctx, r.cfg.Daemon, fence), decoded)
}

func (r *Reporter) recordStep(step window.Step, number uint64, err error) {
	fields := logrus.Fields{"Scope": r.cfg.Region, "Window": number, "Step": string(step)}
	if err != nil {
		fields["Error"] = err.Error()
	}
	switch {
	case errors.Is(err, usage.ErrConflict):
		conflictCount.Add(1)
		eventConflict.Log(r.cfg.Logger, fields)
	case errors.Is(err, window.ErrLeaseNotHeld):
	case err != nil:
		eventFailed.Log(r.cfg.Logger, fields)
	case step == window.StepClose:
		closedWindows.Add(1)
		eventClosed.Log(r.cfg.Logger, fields)
	default:
		reportedWindows.Add(1)
		eventReported.Log(r.cfg.Logger, fields)
	}
}

// ReadWindows reads up to limit sealed windows of a region, starting after window
// number after. reported is the number of the last reported window.
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
		if err := packed.Unmarshal(row.Value, &decoded); err != nil {
			return nil, 0, err
		}
		windows = append(windows, decoded)
	}
	return windows, reported, nil
}
