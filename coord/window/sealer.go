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
	// scanPageSize is the number of rows that one scan reads.
	scanPageSize = 500
	// deletePageSize is the number of rows that one transaction deletes.
	deletePageSize = 200
	// leasePollInterval is the maximum time between two checks of the lease.
	leasePollInterval = clock.Second
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
		if err := s.cfg.Clock.Sleep(ctx, min(leasePollInterval, s.cfg.Interval)); err != nil {
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

// CloseAll closes windows until no batches are left or a step fails.
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

// ReportAll reports windows until none are left or a step fails. It returns
// whether none are left.
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
// the window's number, 0 when there were no new batches, and whether there may
// be more batches than the window holds. After ErrConflict or an unknown outcome
// it may be called again; no batch is counted twice.
func (s *Sealer) Close(ctx context.Context) (number uint64, more bool, err error) {
	defer func() { err = oops.Wrapf(err, "close window of %s", s.cfg.Scope) }()
	fence, _, held := s.cfg.Lease()
	if !held {
		return 0, false, ErrLeaseNotHeld
	}
	state, version, err := s.readState(ctx)
	if err != nil {
		return 0, false, err
	}
	rows, more, err := s.readBatches(ctx)
	if err != nil || len(rows) == 0 {
		return 0, false, err
	}
	p := state.planClose(rows, s.cfg.BatchPrefix, s.cfg.Clock.Wall(), s.cfg.IncarnationRetention)
	if len(p.payloads) == 0 {
		return 0, more, s.deleteRows(ctx, p.obsoleteKeys)
	}
	if err := s.seal(ctx, fence, state, version, p); err != nil {
		return 0, false, err
	}
	return p.next.Number, more, s.deleteRows(ctx, p.obsoleteKeys)
}

func (s *Sealer) readState(ctx context.Context) (state State, version uint64, err error) {
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

func (s *Sealer) readBatches(ctx context.Context) (rows []table.Row, more bool, err error) {
	after := ""
	for len(rows) < s.cfg.MaxBatches {
		page, err := s.scan(ctx, after)
		if err != nil {
			return nil, false, err
		}
		rows = append(rows, page...)
		if len(page) < scanPageSize {
			return rows, false, nil
		}
		after = page[len(page)-1].Key
	}
	return rows, true, nil
}

func (s *Sealer) scan(ctx context.Context, after string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout.Duration())
	defer cancel()
	return s.cfg.Table.Scan(ctx, s.cfg.BatchPrefix+s.cfg.Scope+"/", after, scanPageSize)
}

// seal writes the window and the new state. The transaction fails if another
// process has written them or acquired the lease.
func (s *Sealer) seal(ctx context.Context, fence uint64, state State, version uint64, p closePlan) error {
	leaseCondition, err := s.cfg.LeaseCondition(ctx, fence)
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
		Conditions: []table.Condition{leaseCondition, {Key: s.stateKey(), Version: version}, {Key: row}},
		Writes:     []table.Write{{Key: s.stateKey(), Value: encoded}, {Key: row, Value: value}},
	})
	return conflictError(err)
}

func conflictError(err error) error {
	if errors.Is(err, table.ErrConflict) {
		return fmt.Errorf("%w: %w", ErrConflict, err)
	}
	return err
}

// deleteRows deletes the rows of counted batches. Rows that remain after a
// failure are deleted, without being counted again, by the next call of Close.
func (s *Sealer) deleteRows(ctx context.Context, keys []string) error {
	for len(keys) > 0 {
		count := min(len(keys), deletePageSize)
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

// ReportNext reports the oldest unreported window. It returns its number, 0 when
// there is none.
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
	leaseCondition, err := s.cfg.LeaseCondition(ctx, fence)
	if err != nil {
		return err
	}
	return conflictError(s.commit(ctx, table.Txn{
		Conditions: []table.Condition{leaseCondition, {Key: s.reportedKey(), Version: version}},
		Writes:     []table.Write{{Key: s.reportedKey(), Value: []byte(strconv.FormatUint(number, 10))}},
	}))
}

// LastReported returns the number of the last window whose report succeeded, 0
// for none, and the version of the row that stores it.
func (s *Sealer) LastReported(ctx context.Context) (number, version uint64, err error) {
	row, err := s.get(ctx, s.reportedKey())
	if err != nil || row.Version == 0 {
		return 0, 0, err
	}
	number, err = strconv.ParseUint(string(row.Value), 10, 64)
	return number, row.Version, err
}
