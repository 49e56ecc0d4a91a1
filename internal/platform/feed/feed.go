// Package feed follows rows of the table that others write.
//
// A Follower reads all rows under a prefix, then waits for changes, and reads
// all rows again when the service has forgotten its history. Of every answer
// it tells as of when the rows are known to have been like that: from the
// instant at which the call was sent, since what changed later may be missing.
// An answer without changes was given after the whole wait at the earliest.
//
// # Usage
//
//	f := feed.New(feed.Config{Feed: client, Clock: clk, Logger: logger, Prefix: "Endpoints/", Wait: wait,
//		OnSnapshot: replace, OnChanges: update, Rand: rng})
//	go f.Run(ctx)
package feed

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/observe/event"
)

var (
	eventLost = event.New(2010, logrus.WarnLevel, "store cannot be read",
		"Rows under the prefix cannot be followed; what is known stays in use until the store or a peer tells more.")
	eventRegained = event.New(2011, logrus.InfoLevel, "store can be read again",
		"Rows under the prefix are followed again, after the outage of the stated length.")
	eventHistory = event.New(2012, logrus.InfoLevel, "store has forgotten its history",
		"All rows under the prefix are read anew.")
)

const (
	// callSlack is how much longer than its wait a call may take.
	callSlack = clock.Second
	// firstWait is the wait of the call after one that failed, so that the
	// end of an outage is noticed soon.
	firstWait = 100 * clock.Millisecond
	// lateAnswer is how much later than its wait an answer comes when the
	// service was away in between.
	lateAnswer = 500 * clock.Millisecond
	// retryDelay is the mean time between failed calls.
	retryDelay = 300 * clock.Millisecond
)

// Config configures a Follower. Fields must be set unless they say
// otherwise.
type Config struct {
	Feed   table.Feed
	Clock  clock.Clock
	Logger logrus.FieldLogger
	Prefix string
	// Wait returns how long the next call waits for changes.
	Wait func() clock.Millis
	// OnSnapshot takes all rows, and OnChanges rows that have changed; a deleted
	// row has Version 0. The rows are known to stand so as of the instant.
	OnSnapshot func(rows []table.Row, revision uint64, asOf clock.Millis)
	OnChanges  func(rows []table.Row, revision uint64, asOf clock.Millis)
	// OnUnavailable is told when the rows cannot be read; may be nil.
	OnUnavailable func()
	// Rand spreads the calls of daemons that failed together.
	Rand *rand.Rand
}

// Follower follows rows.
type Follower struct {
	config   Config
	revision uint64
	known    bool
	lostAt   clock.Millis
	lost     bool
}

// New returns a Follower.
func New(config Config) *Follower {
	return &Follower{config: config}
}

// Run follows the rows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		f.note(err)
		if err == nil {
			continue
		}
		delay := retryDelay/2 + clock.Millis(f.config.Rand.Int64N(int64(retryDelay)))
		if err := f.config.Clock.Sleep(ctx, delay); err != nil {
			return err
		}
	}
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	asOf := f.config.Clock.Now()
	wait := f.config.Wait()
	if f.lost {
		wait = min(wait, firstWait)
	}
	ctx, cancel := context.WithTimeout(ctx, (wait + callSlack).Duration())
	defer cancel()
	if !f.known {
		rows, revision, err := f.config.Feed.Snapshot(ctx, f.config.Prefix)
		if err != nil {
			return err
		}
		f.known, f.revision = true, revision
		f.config.OnSnapshot(rows, revision, asOf)
		return nil
	}
	rows, revision, err := f.config.Feed.Changes(ctx, f.config.Prefix, f.revision, wait)
	if err != nil {
		return err
	}
	f.revision = max(f.revision, revision)
	if f.config.Clock.Now()-asOf > wait+lateAnswer {
		f.tellLost()
	}
	if len(rows) == 0 {
		asOf = min(asOf+wait, f.config.Clock.Now())
	}
	f.config.OnChanges(rows, f.revision, asOf)
	return nil
}

func (f *Follower) tellLost() {
	if f.config.OnUnavailable != nil {
		f.config.OnUnavailable()
	}
}

// note logs when the store is lost and regained.
func (f *Follower) note(err error) {
	now := f.config.Clock.Now()
	switch {
	case errors.Is(err, table.ErrHistoryGone):
		f.known = false
		eventHistory.Log(f.config.Logger, logrus.Fields{"Prefix": f.config.Prefix, "Revision": f.revision})
	case err != nil && !f.lost:
		f.tellLost()
		f.lost, f.lostAt = true, now
		eventLost.Log(f.config.Logger, logrus.Fields{"Prefix": f.config.Prefix, "Error": err.Error()})
	case err == nil && f.lost:
		f.lost = false
		eventRegained.Log(f.config.Logger, logrus.Fields{"Prefix": f.config.Prefix, "Outage": int64(now - f.lostAt)})
	}
}
