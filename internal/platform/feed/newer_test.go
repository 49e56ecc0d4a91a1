package feed_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/platform/feed"
)

// TestNewerRowsAreReadOnlyWhileTheRowsAreFollowed guards against a list that counts as current
// though it was not brought up to date before.
func TestNewerRowsAreReadOnlyWhileTheRowsAreFollowed(t *testing.T) {
	const wait = clock.Second
	var mode, era atomic.Int64
	logger, _ := logtest.NewNullLogger()
	f := feed.New(feed.Config{
		Feed: table.Feed{
			ReadPage: func(context.Context, string, string) (table.Page, error) {
				return table.Page{At: table.Position{Revision: 7}}, nil
			},
			Changes: func(ctx context.Context, _ string, after table.Position, asked clock.Millis) ([]table.Row, table.Position, error) {
				at := table.Position{Era: uint64(era.Load()), Revision: 8}
				if asked == wait {
					_ = clock.System().Sleep(ctx, 20)
					return nil, after, nil
				}
				return []table.Row{{Key: "E/x", Version: 8}}, at, nil
			},
		},
		Clock: clock.System(), Logger: logger, Prefix: "E/", Wait: wait, Mode: func() feed.Mode { return feed.Mode(mode.Load()) },
		OnSnapshot: func([]table.Row, table.Position, clock.Millis) {}, OnChanges: func([]table.Row, table.Position, clock.Millis) {},
		Rand: rand.New(rand.NewPCG(1, 2)),
	})
	go func() { _ = f.Run(t.Context()) }()
	expectErr := func(what string, want error) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
			if rows, err := f.ReadNewer(t.Context()); errors.Is(err, want) && (err != nil || len(rows) == 1) {
				return
			}
		}
		t.Errorf("%s: never got error %v", what, want)
	}
	expectErr("idle", feed.ErrNotFollowing)
	mode.Store(int64(feed.Follow))
	expectErr("following", nil)
	mode.Store(int64(feed.Idle))
	expectErr("idle again", feed.ErrNotFollowing)
	mode.Store(int64(feed.Follow))
	expectErr("following again", nil)
	era.Store(1)
	expectErr("store came back from a copy", table.ErrHistoryGone)
}
