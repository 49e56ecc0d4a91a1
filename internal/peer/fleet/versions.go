package fleet

import (
	"context"
	"errors"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/packed"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/decide/origin"
)

const (
	// versionsRow is the row of the table that holds the software versions at which streams
	// may have begun, so that they are known after the end of all daemons.
	versionsRow = "Software/Versions"
	// maxVersionKeepers is the number of daemons that keep the row, the first ones of the
	// fleet.
	maxVersionKeepers = 3
	// versionsInterval is the time between two checks whether to write the row.
	versionsInterval = 500 * clock.Millisecond
	// versionsRereadInterval is after how long the row is read again, since the table may
	// come back from a copy.
	versionsRereadInterval = 20 * clock.Second
	// versionsRetryInterval is the time after an access of the row that brought nothing.
	versionsRetryInterval = clock.Second
)

// versionsRecord is the value of the row. It holds all versions only as long as the table
// is of the same era, see table.Position.
type versionsRecord struct {
	Era      uint64
	Versions origin.Versions
}

// versionKeeper keeps the row while this daemon is one of the first ones of the fleet.
type versionKeeper struct {
	streams *streams
	wake    chan struct{}
	// held is what the row held when it was last read or written, at heldAt.
	held   origin.Versions
	heldAt clock.Millis
	// retryAt is when the row may be accessed again after a failure.
	retryAt clock.Millis
}

func newVersionKeeper(s *streams) *versionKeeper {
	return &versionKeeper{streams: s, wake: make(chan struct{}, 1)}
}

// notify makes the keeper check at once whether to write the row. It does not block.
func (k *versionKeeper) notify() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *versionKeeper) loop(ctx context.Context) error {
	for {
		waitCtx, cancel := context.WithTimeout(ctx, versionsInterval.Duration())
		select {
		case <-k.wake:
		case <-waitCtx.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := k.step(ctx); err != nil && ctx.Err() == nil {
			k.retryAt = k.streams.fleet.config.Clock.Now() + versionsRetryInterval
			eventVersionsNotKept.Log(k.streams.fleet.config.Logger, logrus.Fields{"Error": err.Error()})
		}
	}
}

// step records that the list was watched, and brings the row up to date if that is due.
func (k *versionKeeper) step(ctx context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "keep the software versions in the table") }()
	s := k.streams
	now := s.fleet.config.Clock.Now()
	known, _ := s.watch(now)
	if now-s.fleet.startedAt < firstSyncDelay || now < k.retryAt {
		return nil // This daemon may not yet know its place in the fleet.
	}
	if len(known) == 0 || s.fleet.LeaderRank() >= maxVersionKeepers {
		return nil
	}
	if known.Equal(k.held) && now-k.heldAt < versionsRereadInterval {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	return k.update(ctx)
}

// update reads the row and writes it if it differs from what this daemon knows.
func (k *versionKeeper) update(ctx context.Context) error {
	s := k.streams
	row, record, err := s.readVersions(ctx)
	if err != nil {
		return err
	}
	now := s.fleet.config.Clock.Now()
	known, complete := s.watch(now)
	if !complete {
		k.retryAt = now + versionsRetryInterval
		return nil
	}
	if row.Version == 0 || record.Era != row.Era || !record.Versions.Equal(known) {
		err = s.writeVersions(ctx, row, known)
	}
	if errors.Is(err, table.ErrConflict) {
		return nil // Another daemon has written the row. The next step reads it.
	}
	if err == nil {
		k.held, k.heldAt = known, now
	}
	return err
}

// watch records when the list was last confirmed. It returns the versions that this daemon
// knows, and whether those are all.
func (s *streams) watch(now clock.Millis) (known origin.Versions, complete bool) {
	list := s.fleet.config.Roster.State()
	s.mu.Lock()
	defer s.mu.Unlock()
	if list.Known {
		s.book.Watch(now, list.AsOf)
	}
	return s.book.Versions(now), s.book.Complete(now)
}

// readVersions reads the row and adds its versions to those that this daemon knows.
func (s *streams) readVersions(ctx context.Context) (row table.Row, record versionsRecord, err error) {
	row, err = s.fleet.config.Table.Get(ctx, versionsRow)
	if err != nil {
		return row, record, err
	}
	// Without a row, nothing can have begun before the first start of the system.
	complete := row.Version == 0 && s.fleet.config.FirstStart
	if row.Version != 0 {
		var readable bool
		record, readable = s.decodeVersions(row.Value)
		complete = readable && record.Era == row.Era
	}
	now := s.fleet.config.Clock.Now()
	s.mu.Lock()
	started := s.ownStreams(now, s.book.Merge(now, record.Versions, complete))
	s.mu.Unlock()
	s.tell(started)
	return row, record, nil
}

// decodeVersions decodes the row. One that cannot be read says nothing, and will be replaced.
func (s *streams) decodeVersions(value []byte) (record versionsRecord, readable bool) {
	err := packed.Unmarshal(value, &record)
	if err == nil {
		return record, true
	}
	eventVersionsNotKept.Log(s.fleet.config.Logger, logrus.Fields{"Error": "the row cannot be read: " + err.Error()})
	return versionsRecord{}, false
}

// writeVersions replaces the row, unless it has changed since it was read.
func (s *streams) writeVersions(ctx context.Context, row table.Row, versions origin.Versions) error {
	value, err := msgpack.Marshal(versionsRecord{Era: row.Era, Versions: versions})
	if err != nil {
		return err
	}
	err = s.fleet.config.Table.Commit(ctx, table.Txn{
		Era:        row.Era,
		Conditions: []table.Condition{{Key: versionsRow, Version: row.Version}},
		Writes:     []table.Write{{Key: versionsRow, Value: value}},
	})
	if err == nil {
		eventVersionsKept.Log(s.fleet.config.Logger, logrus.Fields{"Versions": versions, "Era": row.Era})
	}
	return err
}

// learnVersions reads the row for a caller that waits, unless all versions are known. Callers
// that come meanwhile wait for the same read.
func (s *streams) learnVersions(ctx context.Context) {
	s.reading.Lock()
	defer s.reading.Unlock()
	now := s.fleet.config.Clock.Now()
	if _, complete := s.watch(now); complete || now < s.readAgainAt {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout.Duration())
	defer cancel()
	if _, _, err := s.readVersions(ctx); err != nil {
		eventVersionsNotKept.Log(s.fleet.config.Logger, logrus.Fields{"Error": err.Error()})
	}
	if _, complete := s.watch(now); !complete {
		s.readAgainAt = s.fleet.config.Clock.Now() + versionsRetryInterval
	}
}
