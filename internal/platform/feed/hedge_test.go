package feed_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/platform/feed"
)

// silentStore is a store that gives no answers for some time, on the fake clock of a synctest. A
// call that it takes meanwhile, or whose answer would come then, is never answered.
type silentStore struct {
	began       time.Time
	from, until time.Duration
	// rowsFrom is when it stops to answer calls that read rows, until the end of the silence.
	rowsFrom time.Duration
	// lostFrom is when it loses its history up to then, unless it is 0.
	lostFrom time.Duration
	latency  time.Duration

	mu          sync.Mutex
	readAt      time.Duration
	calls       int
	confirmedAt time.Duration
}

func (s *silentStore) now() time.Duration { return time.Since(s.began) }

func (s *silentStore) clock() clock.Clock {
	return clock.Clock{
		Now:   func() clock.Millis { return clock.FromDuration(s.now()) },
		Sleep: clock.System().Sleep,
	}
}

// answer waits until a call is answered, or until ctx ends if it never is.
func (s *silentStore) answer(ctx context.Context, from, wait time.Duration) error {
	s.mu.Lock()
	s.calls++
	until := s.until
	s.mu.Unlock()
	sent := s.now()
	if sent+wait+s.latency < from || sent >= until {
		return clock.System().Sleep(ctx, clock.FromDuration(wait+s.latency))
	}
	<-ctx.Done()
	return ctx.Err()
}

func (s *silentStore) readPage(ctx context.Context, _, _ string) (table.Page, error) {
	sent := s.now()
	err := s.answer(ctx, min(s.from, s.rowsFrom), 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.readAt = sent
	}
	return table.Page{At: table.Position{Revision: 7}}, err
}

func (s *silentStore) changes(ctx context.Context, _ string, after table.Position, wait clock.Millis) ([]table.Row, table.Position, error) {
	if s.lacksHistory() {
		err := s.answer(ctx, s.from, 0)
		if err == nil {
			err = table.ErrHistoryGone
		}
		return nil, after, err
	}
	return nil, after, s.answer(ctx, s.from, wait.Duration())
}

// lacksHistory reports whether the rows were last read before the store lost its history.
func (s *silentStore) lacksHistory() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lostFrom > 0 && s.readAt < s.lostFrom && s.now() >= s.lostFrom
}

// confirm records that the rows were current at a time.
func (s *silentStore) confirm(_ []table.Row, _ table.Position, asOf clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = max(s.confirmedAt, asOf.Duration())
}

// state returns the number of calls so far, and the latest time at which a Follower knew the rows
// to be current.
func (s *silentStore) state() (calls int, confirmedAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.confirmedAt
}

// follow starts a Follower of the store with a mode.
func (s *silentStore) follow(t *testing.T, mode func() feed.Mode, seed uint64) *feed.Follower {
	logger, _ := logtest.NewNullLogger()
	s.began = time.Now()
	f := feed.New(feed.Config{
		Feed: table.Feed{ReadPage: s.readPage, Changes: s.changes}, Clock: s.clock(), Logger: logger, Prefix: "E/",
		Mode: mode, Wait: clock.Second, OnSnapshot: s.confirm, OnChanges: s.confirm, Rand: rand.New(rand.NewPCG(seed, 2)),
	})
	go func() { _ = f.Run(t.Context()) }()
	return f
}

func follows() feed.Mode { return feed.Follow }

// TestEndOfASilenceIsNoticedInABoundedTime guards against a Follower that waits for an answer which
// the store will never send. The silences are random, and some begin with a lost history.
func TestEndOfASilenceIsNoticedInABoundedTime(t *testing.T) {
	// maxNoticeTime is the time until a call is overdue, and a delay after a failed one.
	const maxNoticeTime = 1500*time.Millisecond + 450*time.Millisecond
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		from := time.Duration(rng.IntN(4000)) * time.Millisecond
		s := &silentStore{latency: time.Duration(1+rng.IntN(20)) * time.Millisecond, from: from, rowsFrom: from}
		s.until = from + time.Duration(100+rng.IntN(9000))*time.Millisecond
		if rng.IntN(2) == 0 {
			s.lostFrom, s.rowsFrom = from/2, from/2
		}
		synctest.Test(t, func(t *testing.T) {
			s.follow(t, follows, seed)
			time.Sleep(s.until + maxNoticeTime + 2*s.latency)
			if _, confirmedAt := s.state(); confirmedAt < s.until {
				t.Errorf("seed %d: silence from %v to %v, history lost at %v: at %v the rows are known as of %v", seed, s.from, s.until, s.lostFrom, s.now(), confirmedAt)
			}
		})
	}
}

// TestSlowStoreIsFollowed guards against attempts that are given up before a slow store answers.
func TestSlowStoreIsFollowed(t *testing.T) {
	for _, latency := range []time.Duration{700 * time.Millisecond, 1300 * time.Millisecond, 2500 * time.Millisecond, 4500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			s := &silentStore{latency: latency, from: time.Hour, rowsFrom: time.Hour}
			s.follow(t, follows, 1)
			time.Sleep(20 * time.Second)
			_, confirmedAt := s.state()
			if age := s.now() - confirmedAt; age > 2*latency+2*time.Second {
				t.Errorf("a call takes %v, and the rows were last confirmed %v ago", latency, age)
			}
		})
	}
}

// TestReaderKeepsOneCallOut guards against the daemons of a large fleet that all start beside a
// silent store and send many calls each.
func TestReaderKeepsOneCallOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &silentStore{until: time.Hour}
		s.follow(t, func() feed.Mode { return feed.Read }, 1)
		time.Sleep(30 * time.Second)
		if calls, _ := s.state(); calls > 6 {
			t.Errorf("%d calls in 30 s beside a silent store, want one in 5 s at most", calls)
		}
	})
}

// TestHangingCallIsNoContact guards against daemons that leave the store to one whose call hangs.
func TestHangingCallIsNoContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mode atomic.Int64
		mode.Store(int64(feed.Follow))
		s := &silentStore{latency: time.Millisecond, from: 4 * time.Second, rowsFrom: 4 * time.Second, until: 8 * time.Second}
		f := s.follow(t, func() feed.Mode { return feed.Mode(mode.Load()) }, 1)
		expect := func(at time.Duration, want bool) {
			t.Helper()
			time.Sleep(at - s.now())
			if got := f.Failing(); got != want {
				t.Errorf("at %v: failing is %t, want %t", s.now(), got, want)
			}
		}
		expect(2*time.Second, false)
		expect(5600*time.Millisecond, true)
		expect(7900*time.Millisecond, true)
		expect(10*time.Second, false)
		mode.Store(int64(feed.Idle))
		expect(13*time.Second, false)
		s.mu.Lock()
		s.until = time.Hour
		s.mu.Unlock()
		mode.Store(int64(feed.Follow))
		expect(14500*time.Millisecond, true)
	})
}
