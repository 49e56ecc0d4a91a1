package table

import (
	"context"
	"errors"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Call describes a finished call of the table to an observer.
type Call struct {
	// Name is the name of the function: Get, Scan, Commit, ReadPage or
	// Changes.
	Name     string
	Duration clock.Millis
	Err      error
	// Era is the era in which rows were read, 0 if it is not known.
	Era uint64
}

// Outcome returns a name for the result of the call, for metrics.
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

// observer passes finished calls to a function.
type observer struct {
	clock   clock.Clock
	observe func(Call)
}

// callFinished reports a call. It is deferred, so era and err are pointers that it reads
// once the call has set them. era is nil if the call does not tell the era.
func (o observer) callFinished(name string, started clock.Millis, era *uint64, err *error) {
	call := Call{Name: name, Duration: o.clock.Now() - started, Err: *err}
	if era != nil && *err == nil {
		call.Era = *era
	}
	o.observe(call)
}

// WithObserver returns a client that passes each call to observe when it ends.
func (c Client) WithObserver(clk clock.Clock, observe func(Call)) Client {
	o := observer{clock: clk, observe: observe}
	return Client{
		Get: func(ctx context.Context, key string) (row Row, err error) {
			defer o.callFinished("Get", clk.Now(), &row.Era, &err)
			return c.Get(ctx, key)
		},
		Scan: func(ctx context.Context, prefix, after string, limit int) (rows []Row, err error) {
			defer o.callFinished("Scan", clk.Now(), nil, &err)
			return c.Scan(ctx, prefix, after, limit)
		},
		Commit: func(ctx context.Context, txn Txn) (err error) {
			defer o.callFinished("Commit", clk.Now(), nil, &err)
			return c.Commit(ctx, txn)
		},
	}
}

// WithObserver returns a feed that passes each call to observe when it ends.
func (f Feed) WithObserver(clk clock.Clock, observe func(Call)) Feed {
	o := observer{clock: clk, observe: observe}
	return Feed{
		ReadPage: func(ctx context.Context, prefix, after string) (page Page, err error) {
			defer o.callFinished("ReadPage", clk.Now(), &page.At.Era, &err)
			return f.ReadPage(ctx, prefix, after)
		},
		Changes: func(ctx context.Context, prefix string, after Position, wait clock.Millis) (rows []Row, at Position, err error) {
			defer o.callFinished("Changes", clk.Now(), &at.Era, &err)
			return f.Changes(ctx, prefix, after, wait)
		},
	}
}
