package window

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

const (
	// scanPage is how many rows are read at once.
	scanPage = 500
	// deletePage is how many rows are deleted in one transaction.
	deletePage = 200
	// idleInterval is the time between two looks at a lease that is not held.
	idleInterval = clock.Second
)

// Sealer closes and reports the windows of one scope while its process holds
// the lease.
type Sealer struct {
	cfg Config
}

// New returns a Sealer.
func New(cfg Config) *Sealer {
	return &Sealer{cfg: cfg}
}

// Run closes a window each Interval and reports it, while the lease is held,
// until ctx ends.
func (s *Sealer) Run(ctx context.Context) error {
	due := s.cfg.Clock.Now() + s.cfg.Interval
	unreported := true
	for {
		if err := s.cfg.Clock.Sleep(ctx, min(idleInterval, s.cfg.Interval)); err != nil {
			return err
		}
		if _, _, held := s.cfg.Lease(); !held {
			unreported = true
			continue
		}
		now := s.cfg.Clock.Now()
		if now >= due {
			due = now + s.cfg.Interval
			s.CloseAll(ctx)
			unreported = true
		}
		if unreported {
			unreported = !s.ReportAll(ctx)
		}
	}
}

// CloseAll closes windows until no batch is left or a step fails.
func (s *Sealer) CloseAll(ctx context.Context) {
	for {
		number, more, err := s.Close(ctx)
		if number > 0 || err != nil {
			s.observe(StepClose, number, err)
		}
		if !more || err != nil {
			return
		}
	}
}

// ReportAll reports windows until none is left or a step fails. It returns
// whether none is left.
func (s *Sealer) ReportAll(ctx context.Context) (done bool) {
	for {
		number, err := s.ReportNext(ctx)
		if number > 0 || err != nil {
			s.observe(StepReport, number, err)
		}
		if number == 0 || err != nil {
			return err == nil
		}
	}
}

func (s *Sealer) observe(step Step, number uint64, err error) {
	if s.cfg.Observe != nil {
		s.cfg.Observe(step, number, err)
	}
}

func (s *Sealer) stateKey() string {
	return s.cfg.StatePrefix + s.cfg.Scope
}

func (s *Sealer) reportedKey() string {
	return s.cfg.ReportedPrefix + s.cfg.Scope
}

// Close closes one window over the batches that are in the table. It returns
// the window's number, 0 when there were no batches, and whether there are more
// batches than fit into the window. After ErrConflict or an unknown outcome it may
// be called again; no batch is counted twice.
func (s *Sealer) Close(ctx context.Context) (number uint64, more bool, err error) {
	defer func() { err = oops.Wrapf(err, "close window of %s", s.cfg.Scope) }()
	fence, _, held := s.cfg.Lease()
	if !held {
		return 0, false, ErrLeaseNotHeld
	}
	state, version, err := s.state(ctx)
	if err != nil {
		return 0, false, err
	}
	rows, more, err := s.batches(ctx)
	if err != nil || len(rows) == 0 {
		return 0, false, err
	}
	p := state.close(rows, s.cfg.BatchPrefix, s.cfg.Clock.Wall(), s.cfg.IncarnationRetention)
	if len(p.payloads) == 0 {
		return 0, more, s.deleteRows(ctx, p.garbage)
	}
	if err := s.seal(ctx, fence, state, version, p); err != nil {
		return 0, false, err
	}
	return p.next.Number, more, s.deleteRows(ctx, p.garbage)
}

func (s *Sealer) state(ctx context.Context) (state State, version uint64, err error) {
	row, err := s.get(ctx, s.stateKey())
	if err != nil {
		return State{}, 0, err
	}
	state, err = decodeState(row.Value)
	return state, row.Version, err
}

func (s *Sealer) get(ctx context.Context, key string) (table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout.Duration())
	defer cancel()
	return s.cfg.Table.Get(ctx, key)
}

func (s *Sealer) commit(ctx context.Context, txn table.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout.Duration())
	defer cancel()
	return s.cfg.Table.Commit(ctx, txn)
}

func (s *Sealer) batches(ctx context.Context) (rows []table.Row, more bool, err error) {
	after := ""
	for len(rows) < s.cfg.MaxBatches {
		page, err := s.scan(ctx, after)
		if err != nil {
			return nil, false, err
		}
		rows = append(rows, page...)
		if len(page) < scanPage {
			return rows, false, nil
		}
		after = page[len(page)-1].Key
	}
	return rows, true, nil
}

func (s *Sealer) scan(ctx context.Context, after string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout.Duration())
	defer cancel()
	return s.cfg.Table.Scan(ctx, s.cfg.BatchPrefix+s.cfg.Scope+"/", after, scanPage)
}

// seal writes the window and the new state, if nobody else did and the lease has
// not passed on.
func (s *Sealer) seal(ctx context.Context, fence uint64, state State, version uint64, p plan) error {
	guard, err := s.cfg.LeaseCondition(ctx, fence)
	if err != nil {
		return err
	}
	value, err := s.cfg.Fold(Header{
		Scope:  s.cfg.Scope,
		Number: p.next.Number,
		Fence:  fence,
		Start:  state.End,
		End:    p.next.End,
	}, p.payloads)
	if err != nil {
		return err
	}
	encoded, err := encodeState(p.next)
	if err != nil {
		return err
	}
	row := RowKey(s.cfg.WindowPrefix, s.cfg.Scope, p.next.Number)
	err = s.commit(ctx, table.Txn{
		Conditions: []table.Condition{guard, {Key: s.stateKey(), Version: version}, {Key: row}},
		Writes:     []table.Write{{Key: s.stateKey(), Value: encoded}, {Key: row, Value: value}},
	})
	return raced(err)
}

func raced(err error) error {
	if errors.Is(err, table.ErrConflict) {
		return fmt.Errorf("%w: %w", ErrConflict, err)
	}
	return err
}

// deleteRows deletes the rows of counted batches. What stays after a failure is
// found again, and not counted, when the next window is closed.
func (s *Sealer) deleteRows(ctx context.Context, keys []string) error {
	for len(keys) > 0 {
		count := min(len(keys), deletePage)
		var txn table.Txn
		for _, key := range keys[:count] {
			txn.Writes = append(txn.Writes, table.Write{Key: key, Delete: true})
		}
		if err := s.commit(ctx, txn); err != nil {
			return err
		}
		keys = keys[count:]
	}
	return nil
}

// ReportNext reports the oldest window that was not reported. It returns its
// number, 0 when there is none.
func (s *Sealer) ReportNext(ctx context.Context) (number uint64, err error) {
	defer func() { err = oops.Wrapf(err, "report window of %s", s.cfg.Scope) }()
	fence, _, held := s.cfg.Lease()
	if !held {
		return 0, ErrLeaseNotHeld
	}
	reported, version, err := s.LastReported(ctx)
	if err != nil {
		return 0, err
	}
	row, err := s.get(ctx, RowKey(s.cfg.WindowPrefix, s.cfg.Scope, reported+1))
	if err != nil || row.Version == 0 {
		return 0, err
	}
	number = reported + 1
	if err := s.report(ctx, fence, Sealed{Scope: s.cfg.Scope, Number: number, Value: row.Value}); err != nil {
		return number, err
	}
	return number, s.markReported(ctx, fence, number, version)
}

func (s *Sealer) report(ctx context.Context, fence uint64, sealed Sealed) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout.Duration())
	defer cancel()
	return s.cfg.Report(ctx, fence, sealed)
}

func (s *Sealer) markReported(ctx context.Context, fence, number, version uint64) error {
	guard, err := s.cfg.LeaseCondition(ctx, fence)
	if err != nil {
		return err
	}
	return raced(s.commit(ctx, table.Txn{
		Conditions: []table.Condition{guard, {Key: s.reportedKey(), Version: version}},
		Writes:     []table.Write{{Key: s.reportedKey(), Value: []byte(strconv.FormatUint(number, 10))}},
	}))
}

// LastReported returns the number of the last window whose report was confirmed, and
// the version of the row that says so.
func (s *Sealer) LastReported(ctx context.Context) (number, version uint64, err error) {
	row, err := s.get(ctx, s.reportedKey())
	if err != nil || row.Version == 0 {
		return 0, 0, err
	}
	number, err = strconv.ParseUint(string(row.Value), 10, 64)
	return number, row.Version, err
}
