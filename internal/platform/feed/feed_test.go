package feed_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/platform/feed"
)

// script is a feed that answers as told.
type script struct {
	clock *clock.Manual

	mu        sync.Mutex
	snapshots int
	answers   []answer
	notes     []string
}

type answer struct {
	rows []table.Row
	err  error
	// takes is how long the answer is under way.
	takes clock.Millis
}

func (s *script) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, fmt.Sprintf(format, args...))
}

// run follows the script to its end and returns what the follower told.
func run(t *testing.T, answers ...answer) []string {
	s := &script{clock: clock.NewManual(1000), answers: answers}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	logger, _ := logtest.NewNullLogger()
	f := feed.New(feed.Config{
		Feed: table.Feed{Snapshot: s.snapshot, Changes: func(context.Context, string, uint64, clock.Millis) ([]table.Row, uint64, error) {
			return s.next(cancel)
		}},
		Clock: s.clock.Clock(), Logger: logger, Prefix: "E/",
		Wait:       func() clock.Millis { return clock.Second },
		OnSnapshot: func(rows []table.Row, _ uint64, asOf clock.Millis) { s.note("all %d at %d", len(rows), asOf) },
		OnChanges: func(rows []table.Row, _ uint64, asOf clock.Millis) {
			s.note("changes %d at %d", len(rows), asOf)
		},
		OnUnavailable: func() { s.note("lost") },
		Rand:          rand.New(rand.NewPCG(1, 2)),
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	for {
		select {
		case <-done:
			return s.notes
		case <-time.After(time.Millisecond):
			if s.clock.Sleepers() > 0 {
				s.clock.Advance(100)
			}
		}
	}
}

func (s *script) snapshot(context.Context, string) ([]table.Row, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots++
	return make([]table.Row, s.snapshots), 7, nil
}

func (s *script) next(end func()) ([]table.Row, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.answers) == 0 {
		end()
		return nil, 0, context.Canceled
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	s.clock.Advance(a.takes)
	return a.rows, 8, a.err
}

func expect(t *testing.T, got []string, want ...string) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestChangesCountFromWhenTheyWereAskedFor(t *testing.T) {
	got := run(t, answer{rows: make([]table.Row, 2), takes: 600})
	expect(t, got, "all 1 at 1000", "changes 2 at 1000")
}

func TestSilenceCountsFromTheEndOfTheWait(t *testing.T) {
	got := run(t, answer{takes: 1800}, answer{takes: 1000})
	expect(t, got, "all 1 at 1000", "lost", "changes 0 at 2000", "changes 0 at 3800")
}

func TestEarlySilenceDoesNotCountFromTheFuture(t *testing.T) {
	got := run(t, answer{takes: 300})
	expect(t, got, "all 1 at 1000", "changes 0 at 1300")
}

func TestForgottenHistoryIsReadAnew(t *testing.T) {
	got := run(t, answer{err: table.ErrHistoryGone})
	if len(got) != 2 || got[1][:5] != "all 2" {
		t.Errorf("got %q, want all rows once more", got)
	}
}

func TestOutageConfirmsNothing(t *testing.T) {
	got := run(t, answer{err: table.ErrUnavailable}, answer{err: table.ErrUnknown, takes: 2000})
	expect(t, got, "all 1 at 1000", "lost")
}
