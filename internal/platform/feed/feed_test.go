package feed_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/platform/feed"
)

// scriptedFeed is a feed that returns prepared responses.
type scriptedFeed struct {
	clock *clock.Manual

	mu        sync.Mutex
	snapshots int
	era       uint64
	responses []response
	callbacks []string
}

type response struct {
	rows []table.Row
	err  error
	// delay is how long the response takes.
	delay clock.Millis
	// restores is the number of times that the store came back from a copy meanwhile.
	restores uint64
}

func (s *scriptedFeed) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callbacks = append(s.callbacks, fmt.Sprintf(format, args...))
}

// run starts a Follower of a feed with these responses and returns the callbacks
// that it made, one text each.
func run(t *testing.T, responses ...response) []string {
	s := &scriptedFeed{clock: clock.NewManual(1000), responses: responses}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	logger, _ := logtest.NewNullLogger()
	f := feed.New(feed.Config{
		Feed: table.Feed{ReadPage: s.page, Changes: func(context.Context, string, table.Position, clock.Millis) ([]table.Row, table.Position, error) {
			return s.next(cancel)
		}},
		Clock: s.clock.Clock(), Logger: logger, Prefix: "E/",
		Mode:       func() feed.Mode { return feed.Follow },
		Wait:       clock.Second,
		OnSnapshot: func(rows []table.Row, _ table.Position, asOf clock.Millis) { s.record("all %d at %d", len(rows), asOf) },
		OnChanges: func(rows []table.Row, _ table.Position, asOf clock.Millis) {
			s.record("changes %d at %d", len(rows), asOf)
		},
		OnUnavailable: func() { s.record("lost") },
		Rand:          rand.New(rand.NewPCG(1, 2)),
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	advanceUntil(done, s.clock)
	return s.callbacks
}

// advanceUntil advances a clock while somebody sleeps by it, until done is closed.
func advanceUntil(done <-chan struct{}, manual *clock.Manual) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
			if manual.Sleepers() > 0 {
				manual.Advance(100)
			}
		}
	}
}

// page returns all rows in a page.
func (s *scriptedFeed) page(context.Context, string, string) (table.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots++
	return table.Page{Rows: make([]table.Row, s.snapshots), At: table.Position{Era: s.era, Revision: 7}}, nil
}

func (s *scriptedFeed) next(end func()) ([]table.Row, table.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.responses) == 0 {
		end()
		return nil, table.Position{}, context.Canceled
	}
	a := s.responses[0]
	s.responses = s.responses[1:]
	s.clock.Advance(a.delay)
	s.era += a.restores
	return a.rows, table.Position{Era: s.era, Revision: 8}, a.err
}

func expect(t *testing.T, got []string, want ...string) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestChangesAreCurrentAsOfWhenTheCallWasSent(t *testing.T) {
	got := run(t, response{rows: []table.Row{{Key: "E/a"}, {Key: "E/b"}}, delay: 600})
	expect(t, got, "all 1 at 1000", "changes 2 at 1000")
}

func TestEmptyResponseIsCurrentAsOfTheEndOfTheWait(t *testing.T) {
	got := run(t, response{delay: 1800}, response{delay: 1000})
	expect(t, got, "all 1 at 1000", "lost", "changes 0 at 2000", "changes 0 at 3800")
}

func TestEarlyEmptyResponseIsNotCurrentAsOfTheFuture(t *testing.T) {
	got := run(t, response{delay: 300})
	expect(t, got, "all 1 at 1000", "changes 0 at 1300")
}

func TestSnapshotIsReadAgainWhenHistoryIsGone(t *testing.T) {
	got := run(t, response{err: table.ErrHistoryGone})
	if len(got) != 2 || got[1][:5] != "all 2" {
		t.Errorf("got %q, want a second snapshot", got)
	}
}

func TestSnapshotIsReadAgainInALaterEra(t *testing.T) {
	got := run(t, response{rows: []table.Row{{Key: "E/a"}}, restores: 1, delay: 1000}, response{delay: 1000})
	expect(t, got, "all 1 at 1000", "all 2 at 2000", "changes 0 at 3000")
}

// TestRepeatedlyLostHistoryIsReadWithADelay guards against a follower that reads all
// rows without a pause.
func TestRepeatedlyLostHistoryIsReadWithADelay(t *testing.T) {
	got := run(t, response{delay: 1000}, response{err: table.ErrHistoryGone}, response{err: table.ErrHistoryGone})
	if len(got) != 4 || got[2] != "all 2 at 2000" || got[3] == "all 3 at 2000" {
		t.Errorf("got %q, want the second snapshot at once and the third one later", got)
	}
}

func TestFailedCallsPassOnNoRows(t *testing.T) {
	got := run(t, response{err: table.ErrUnavailable}, response{err: table.ErrUnknown, delay: 2000})
	expect(t, got, "all 1 at 1000", "lost")
}

// TestOnlyTheLastStateOfARowIsPassedOn guards against an endpoint that is added and
// removed within one response, which a daemon receives after an outage.
func TestOnlyTheLastStateOfARowIsPassedOn(t *testing.T) {
	got := run(t, response{rows: []table.Row{{Key: "E/a", Version: 5}, {Key: "E/b", Version: 6}, {Key: "E/a"}}})
	expect(t, got, "all 1 at 1000", "changes 2 at 1000")
}

// TestLongSnapshotIsNotCutOff guards against a daemon on a small VM that never gets all
// rows, since each call is given up while the rows still arrive.
func TestLongSnapshotIsNotCutOff(t *testing.T) {
	const readTime = 2500 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), 2*readTime)
	defer cancel()
	logger, _ := logtest.NewNullLogger()
	f := feed.New(feed.Config{
		Feed: table.Feed{
			ReadPage: func(ctx context.Context, _, _ string) (table.Page, error) {
				select {
				case <-time.After(readTime):
					return table.Page{At: table.Position{Revision: 7}}, nil
				case <-ctx.Done():
					return table.Page{}, ctx.Err()
				}
			},
		},
		Clock: clock.System(), Logger: logger, Prefix: "E/", Wait: clock.Second / 2,
		Mode:       func() feed.Mode { return feed.Read },
		OnSnapshot: func([]table.Row, table.Position, clock.Millis) { cancel() },
		Rand:       rand.New(rand.NewPCG(1, 2)),
	})
	_ = f.Run(ctx)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		t.Errorf("no snapshot was read, although one takes %s", readTime)
	}
}

// pagedStore is a store with pages of one row, in which some calls fail.
type pagedStore struct {
	keys []string
	// failures is the number of failed calls before each page.
	failures int
	era      uint64
	asked    []string
	failed   int
	// restoreAfter is the key of the page after which the store comes back from a copy.
	restoreAfter string
}

func (s *pagedStore) read(_ context.Context, _, after string) (table.Page, error) {
	s.asked = append(s.asked, after)
	if s.failed < s.failures {
		s.failed++
		return table.Page{}, table.ErrUnavailable
	}
	s.failed = 0
	if after != "" && after == s.restoreAfter {
		s.restoreAfter = ""
		s.era++
	}
	for i, key := range s.keys {
		if key > after {
			return table.Page{Rows: []table.Row{{Key: key}}, At: table.Position{Era: s.era, Revision: uint64(7 + i)}, More: i+1 < len(s.keys)}, nil
		}
	}
	return table.Page{}, errors.New("no row left")
}

// readAll returns the rows and the position of the first snapshot, and when it was current.
func (s *pagedStore) readAll(t *testing.T) (rows []table.Row, at table.Position, asOf clock.Millis) {
	t.Helper()
	manual := clock.NewManual(1000)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	logger, _ := logtest.NewNullLogger()
	f := feed.New(feed.Config{
		Feed: table.Feed{ReadPage: s.read}, Clock: manual.Clock(), Logger: logger, Prefix: "E/",
		Mode: func() feed.Mode { return feed.Read },
		OnSnapshot: func(read []table.Row, position table.Position, current clock.Millis) {
			rows, at, asOf = read, position, current
			cancel()
		},
		Rand: rand.New(rand.NewPCG(1, 2)),
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	advanceUntil(done, manual)
	return rows, at, asOf
}

// TestPagesThatWereReadAreKept guards against a start that reads the same pages again and
// again because the store is slow, which makes the store slower.
func TestPagesThatWereReadAreKept(t *testing.T) {
	s := &pagedStore{keys: []string{"E/a", "E/b", "E/c"}, failures: 1}
	rows, at, asOf := s.readAll(t)
	if len(rows) != 3 || at.Revision != 7 {
		t.Errorf("got %d rows at %v, want 3 at the position of the first page", len(rows), at)
	}
	if asOf <= 1000 || asOf > 2000 {
		t.Errorf("current as of %d, want the time of the first page that was read", asOf)
	}
	if want := []string{"", "", "E/a", "E/a", "E/b", "E/b"}; fmt.Sprint(s.asked) != fmt.Sprint(want) {
		t.Errorf("asked for the pages after %q, want %q", s.asked, want)
	}
}

func TestPagesOfDifferentErasAreNotMixed(t *testing.T) {
	s := &pagedStore{keys: []string{"E/a", "E/b", "E/c"}, restoreAfter: "E/a"}
	rows, at, _ := s.readAll(t)
	if len(rows) != 3 || at.Era != 1 || len(s.asked) != 5 {
		t.Errorf("got %d rows of era %d in %d calls, want 3 of the later era in 5", len(rows), at.Era, len(s.asked))
	}
}

// modeFixture is a running Follower whose mode and store a test controls.
type modeFixture struct {
	clock *clock.Manual
	mode  atomic.Int64
	down  atomic.Bool
	calls atomic.Int64
}

// newModeFixture starts a Follower of a store that is down or not.
func newModeFixture(t *testing.T, mode feed.Mode, down bool) *modeFixture {
	m := &modeFixture{clock: clock.NewManual(1000)}
	m.mode.Store(int64(mode))
	m.down.Store(down)
	logger, _ := logtest.NewNullLogger()
	read := func() ([]table.Row, table.Position, error) {
		m.calls.Add(1)
		if m.down.Load() {
			return nil, table.Position{}, table.ErrUnavailable
		}
		return nil, table.Position{Revision: 7}, nil
	}
	f := feed.New(feed.Config{
		Feed: table.Feed{
			ReadPage: func(context.Context, string, string) (table.Page, error) {
				rows, at, err := read()
				return table.Page{Rows: rows, At: at}, err
			},
			Changes: func(ctx context.Context, _ string, _ table.Position, wait clock.Millis) ([]table.Row, table.Position, error) {
				if err := m.clock.Clock().Sleep(ctx, wait); err != nil {
					return nil, table.Position{}, err
				}
				return read()
			},
		},
		Clock: m.clock.Clock(), Logger: logger, Prefix: "E/", Wait: clock.Second,
		Mode:       func() feed.Mode { return feed.Mode(m.mode.Load()) },
		OnSnapshot: func([]table.Row, table.Position, clock.Millis) {},
		OnChanges:  func([]table.Row, table.Position, clock.Millis) {},
		Rand:       rand.New(rand.NewPCG(1, 2)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return m
}

// callsIn returns the number of calls in a time of the clock.
func (m *modeFixture) callsIn(d clock.Millis) int64 {
	before := m.calls.Load()
	const step = 50 * clock.Millisecond
	for range d / step {
		m.settle()
		m.clock.Advance(step)
	}
	m.settle()
	return m.calls.Load() - before
}

// settle waits until the Follower sleeps, and so has made the calls that were due.
func (m *modeFixture) settle() {
	for m.clock.Sleepers() == 0 {
		time.Sleep(50 * time.Microsecond)
	}
}

func TestIdleFollowerMakesNoCalls(t *testing.T) {
	m := newModeFixture(t, feed.Idle, false)
	if calls := m.callsIn(10 * clock.Second); calls != 0 {
		t.Errorf("%d calls while idle, want none", calls)
	}
	m.mode.Store(int64(feed.Follow))
	if calls := m.callsIn(10 * clock.Second); calls < 9 {
		t.Errorf("%d calls within 10 s of following, want one a second", calls)
	}
	m.mode.Store(int64(feed.Idle))
	m.callsIn(2 * clock.Second)
	if calls := m.callsIn(10 * clock.Second); calls != 0 {
		t.Errorf("%d calls while idle again, want none", calls)
	}
}

// TestReaderBacksOffWhileTheStoreIsDown guards against an outage during which each
// daemon of a large fleet that has just started calls the store several times a second.
func TestReaderBacksOffWhileTheStoreIsDown(t *testing.T) {
	m := newModeFixture(t, feed.Read, true)
	m.callsIn(10 * clock.Second)
	if calls := m.callsIn(30 * clock.Second); calls > 15 {
		t.Errorf("%d calls in 30 s of an outage, want at most one in 2 s", calls)
	}
	m.down.Store(false)
	if calls := m.callsIn(30 * clock.Second); calls != 1 {
		t.Errorf("%d calls after the outage, want one", calls)
	}
}
