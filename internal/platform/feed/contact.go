package feed

import "sync"

// contact is whether the store answers a Follower. It is safe for concurrent use.
type contact struct {
	mu sync.Mutex
	// answered is set once the store has answered, until the Follower is idle.
	answered bool
	// failing is set while the last call has failed or is overdue.
	failing bool
}

// reset records that the store is not called any more.
func (c *contact) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered, c.failing = false, false
}

// record records whether the store has answered.
func (c *contact) record(answers bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failing = !answers
	c.answered = c.answered || answers
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
