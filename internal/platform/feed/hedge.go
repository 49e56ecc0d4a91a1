package feed

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

const (
	// callTimeout is the maximum time of a call with all its attempts.
	callTimeout = 5 * clock.Second
	// overdueMargin is how much longer than its wait the first attempt may take before a second
	// one is sent beside it, and hedgeInterval the least time between two attempts.
	overdueMargin = 500 * clock.Millisecond
	hedgeInterval = clock.Second
	// maxAttempts is the maximum number of attempts of one call.
	maxAttempts = int(callTimeout / hedgeInterval)
)

// errNotNeeded means that a call was given up, since this daemon is not to read the rows now.
var errNotNeeded = errors.New("feed: the rows are not to be read now")

// attemptFunc sends one attempt of a call, for which the store may wait for changes.
type attemptFunc func(ctx context.Context, wait clock.Millis) (table.Page, error)

// answer is the outcome of an attempt, or of a call whose attempts got none.
type answer struct {
	table.Page
	// sentAt is when the attempt was sent, and wait how long the store could wait.
	sentAt, wait clock.Millis
	err          error
}

// isLate reports whether the answer came so late that the store was unavailable meanwhile.
func (a answer) isLate(now clock.Millis) bool {
	return now-a.sentAt > a.wait+lateResponseMargin
}

// hedgedCall is a call that is sent again beside the attempts which are out: an answer that the
// store has lost never comes, while a slow store still answers the first attempt.
type hedgedCall struct {
	clock clock.Clock
	send  attemptFunc
	// answers has room for all attempts.
	answers chan answer
	// sent is the number of attempts, and out that of those without an answer.
	sent, out int
}

// call sends a call and returns the first answer. While this daemon follows the rows, it sends
// a further attempt each time that no answer has come in time. It fails when all attempts have
// failed, after callTimeout, and with errNotNeeded when the mode becomes Idle.
func (f *Follower) call(ctx context.Context, wait clock.Millis, send attemptFunc) answer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	c := &hedgedCall{clock: f.config.Clock, send: send, answers: make(chan answer, maxAttempts)}
	c.start(ctx, wait)
	overdueAfter := max(wait+overdueMargin, hedgeInterval)
	for {
		if first, done := c.await(ctx, overdueAfter); done {
			return first
		}
		mode := f.config.Mode()
		if mode == Idle {
			return answer{err: errNotNeeded}
		}
		f.recordOverdue(mode, overdueAfter, c.sent)
		if mode == Follow && c.sent < maxAttempts {
			c.start(ctx, min(wait, shortWait))
		}
		overdueAfter = hedgeInterval
	}
}

// start sends a further attempt.
func (c *hedgedCall) start(ctx context.Context, wait clock.Millis) {
	c.sent++
	c.out++
	go c.run(ctx, answer{sentAt: c.clock.Now(), wait: wait})
}

// run sends an attempt and passes its outcome on.
func (c *hedgedCall) run(ctx context.Context, a answer) {
	a.Page, a.err = c.send(ctx, a.wait)
	c.answers <- a
}

// await returns the answer to the call. done is false if none has come after a time.
func (c *hedgedCall) await(ctx context.Context, limit clock.Millis) (first answer, done bool) {
	timer := time.NewTimer(limit.Duration())
	defer timer.Stop()
	for {
		select {
		case first = <-c.answers:
			c.out--
			if first.err == nil || errors.Is(first.err, table.ErrHistoryGone) || c.out == 0 {
				return first, true
			}
		case <-ctx.Done():
			return answer{err: fmt.Errorf("no answer to %d attempts: %w", c.sent, ctx.Err())}, true
		case <-timer.C:
			return answer{}, false
		}
	}
}
