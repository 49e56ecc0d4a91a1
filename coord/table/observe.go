package table

import (
	"context"
	"errors"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Call is one call of the table, as an observer sees it.
type Call struct {
	// Name is that of the function: Get, Scan, Commit, Snapshot or Changes.
	Name     string
	Duration clock.Millis
	Err      error
}

// Outcome names what became of the call, for metrics.
func (c Call) Outcome() string {
	switch {
	case c.Err == nil:
		return "Done"
	case errors.Is(c.Err, ErrConflict):
		return "Conflict"
	case errors.Is(c.Err, ErrHistoryGone):
		return "HistoryGone"
	case errors.Is(c.Err, ErrUnavailable):
		return "Unavailable"
	case errors.Is(c.Err, context.Canceled):
		return "Canceled"
	}
	return "Unknown"
}

// observer tells of calls.
type observer struct {
	clock   clock.Clock
	observe func(Call)
}

// ended tells of a call that ends now; err is read then.
func (o observer) ended(name string, began clock.Millis, err *error) {
	o.observe(Call{Name: name, Duration: o.clock.Now() - began, Err: *err})
}

// WithObserver returns a client whose calls are told to observe when they end.
func (c Client) WithObserver(clk clock.Clock, observe func(Call)) Client {
	o := observer{clock: clk, observe: observe}
	return Client{
		Get: func(ctx context.Context, key string) (row Row, err error) {
			defer o.ended("Get", clk.Now(), &err)
			return c.Get(ctx, key)
		},
		Scan: func(ctx context.Context, prefix, after string, limit int) (rows []Row, err error) {
			defer o.ended("Scan", clk.Now(), &err)
			return c.Scan(ctx, prefix, after, limit)
		},
		Commit: func(ctx context.Context, txn Txn) (err error) {
			defer o.ended("Commit", clk.Now(), &err)
			return c.Commit(ctx, txn)
		},
	}
}

// WithObserver returns a feed whose calls are told to observe when they end.
func (f Feed) WithObserver(clk clock.Clock, observe func(Call)) Feed {
	o := observer{clock: clk, observe: observe}
	return Feed{
		Snapshot: func(ctx context.Context, prefix string) (rows []Row, revision uint64, err error) {
			defer o.ended("Snapshot", clk.Now(), &err)
			return f.Snapshot(ctx, prefix)
		},
		Changes: func(ctx context.Context, prefix string, after uint64, wait clock.Millis) (rows []Row, revision uint64, err error) {
			defer o.ended("Changes", clk.Now(), &err)
			return f.Changes(ctx, prefix, after, wait)
		},
	}
}
