package feed

import (
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// maxAwaited is how long a Follower that has started to call the store counts as in contact before
// the first answer.
const maxAwaited = 300 * clock.Millisecond

// contact is whether the store answers a Follower. It is safe for concurrent use.
type contact struct {
	mu sync.Mutex
	// awaited is set from askedAt, when the Follower starts to call the store, until the first
	// answer.
	awaited bool
	askedAt clock.Millis
	// answered is set once the store has answered, until the Follower is idle.
	answered bool
	// failing is set while the last call has failed or is overdue.
	failing bool
}

// begin records that the store is called.
func (c *contact) begin(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.answered && !c.awaited {
		c.awaited, c.askedAt = true, now
	}
}

// end records that the store is not called any more.
func (c *contact) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaited, c.answered, c.failing = false, false, false
}

// record records whether the store has answered.
func (c *contact) record(answers bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failing = !answers
	if answers {
		c.awaited, c.answered = false, true
	}
}

// hasAnswered reports whether the store has answered since the Follower was idle, and still does.
func (c *contact) hasAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered && !c.failing
}

// isFailing reports whether the last call has failed or is overdue.
func (c *contact) isFailing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failing
}

// isMissing reports whether the store is called and does not answer.
func (c *contact) isMissing(now clock.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failing || (c.awaited && now-c.askedAt > maxAwaited)
}
