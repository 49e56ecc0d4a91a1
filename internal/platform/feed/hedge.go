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
	// overdueMargin is how much longer than its wait an attempt of a call for changes may take
	// before another one is sent beside it, and minOverdueTime the least time between the two.
	overdueMargin  = 500 * clock.Millisecond
	minOverdueTime = clock.Second
	// pageOverdueTime is how long an attempt to read a page may take. Pages are long, and
	// many daemons may read them at once.
	pageOverdueTime = 1500 * clock.Millisecond
	// maxAttempts is the maximum number of attempts of one call.
	maxAttempts = int(callTimeout / minOverdueTime)
)

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
// store has lost never comes, while a slow store still answers the first attempt. The first
// answer counts. The call fails when all attempts have failed, and after callTimeout. Only
// a daemon that follows the rows sends further attempts.
type hedgedCall struct {
	clock clock.Clock
	send  attemptFunc
	// answers has room for all attempts.
	answers chan answer
	// sent is the number of attempts, and out that of those without an answer.
	sent, out int
	// overdue is set once an attempt was not answered in time.
	overdue bool
}

// callChanges sends a call that waits for changes.
func (f *Follower) callChanges(ctx context.Context, wait clock.Millis, send attemptFunc) answer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	c := f.newCall(send)
	c.start(ctx, wait)
	for overdueTime := max(wait+overdueMargin, minOverdueTime); ; overdueTime = minOverdueTime {
		if first, done := c.await(ctx, overdueTime); done {
			return first
		}
		if f.recordOverdue(c, overdueTime) {
			f.recordFailure(errOverdue)
			c.start(ctx, min(wait, shortWait))
		}
	}
}

// callPage sends a call that reads a page. Only the second attempt without an answer means that the
// store does not answer.
func (f *Follower) callPage(ctx context.Context, send attemptFunc) answer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	c := f.newCall(send)
	c.start(ctx, 0)
	for {
		if first, done := c.await(ctx, pageOverdueTime); done {
			return first
		}
		if f.recordOverdue(c, pageOverdueTime) {
			if c.sent > 1 {
				f.recordFailure(errOverdue)
			}
			c.start(ctx, 0)
		}
	}
}

func (f *Follower) newCall(send attemptFunc) *hedgedCall {
	return &hedgedCall{clock: f.config.Clock, send: send, answers: make(chan answer, maxAttempts)}
}

// start sends a further attempt, unless there were too many.
func (c *hedgedCall) start(ctx context.Context, wait clock.Millis) {
	if c.sent == maxAttempts {
		return
	}
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
