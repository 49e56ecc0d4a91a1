package table

import (
	"context"
	"errors"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Call is one call of the table, as an observer sees it.
type Call struct {
	// Name is that of the function: Get, Scan, Commit, Snapshot or Changes.
	Name string
	Took clock.Millis
	Err  error
}

// Outcome names what became of the call, for metrics.
func (c Call) Outcome() string {
	switch {
	case c.Err == nil:
		return "Done"
	case errors.Is(c.Err, ErrConflict):
		return "Conflict"
	case errors.Is(c.Err, ErrHistory):
		return "HistoryGone"
	case errors.Is(c.Err, ErrUnavailable):
		return "Unavailable"
	case errors.Is(c.Err, context.Canceled):
		return "Canceled"
	}
	return "Unknown"
}

// Observed returns a client whose calls are told to observe when they end.
func (c Client) Observed(clk clock.Clock, observe func(Call)) Client {
	return Client{
		Get: func(ctx context.Context, key string) (row Row, err error) {
			began := clk.Now()
			defer func() { observe(Call{Name: "Get", Took: clk.Now() - began, Err: err}) }()
			return c.Get(ctx, key)
		},
		Scan: func(ctx context.Context, prefix, after string, limit int) (rows []Row, err error) {
			began := clk.Now()
			defer func() { observe(Call{Name: "Scan", Took: clk.Now() - began, Err: err}) }()
			return c.Scan(ctx, prefix, after, limit)
		},
		Commit: func(ctx context.Context, txn Txn) (err error) {
			began := clk.Now()
			defer func() { observe(Call{Name: "Commit", Took: clk.Now() - began, Err: err}) }()
			return c.Commit(ctx, txn)
		},
	}
}

// Observed returns a feed whose calls are told to observe when they end.
func (f Feed) Observed(clk clock.Clock, observe func(Call)) Feed {
	return Feed{
		Snapshot: func(ctx context.Context, prefix string) (rows []Row, revision uint64, err error) {
			began := clk.Now()
			defer func() { observe(Call{Name: "Snapshot", Took: clk.Now() - began, Err: err}) }()
			return f.Snapshot(ctx, prefix)
		},
		Changes: func(ctx context.Context, prefix string, after uint64, wait clock.Millis) (rows []Row, revision uint64, err error) {
			began := clk.Now()
			defer func() { observe(Call{Name: "Changes", Took: clk.Now() - began, Err: err}) }()
			return f.Changes(ctx, prefix, after, wait)
		},
	}
}
