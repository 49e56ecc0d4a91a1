package fleet

import (
	"context"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/origin"
)

// minConfirmInterval is the least time between two reads of a listConfirmer, so that a lost daemon
// with many streams does not cost a read for each of them.
const minConfirmInterval = 20 * clock.Millisecond

// listConfirmer reads from the store what has changed in the list of endpoints, for daemons that
// must know all software versions of this moment. Those that ask while a read is under way share
// the next one.
type listConfirmer struct {
	streams *streams

	mu sync.Mutex
	// next is the read that has not been sent yet, nil if nobody waits for one. running is set
	// while reads are sent.
	next    *listRead
	running bool
}

// listRead is one read for those that wait for it.
type listRead struct {
	// done is closed after err is set.
	done chan struct{}
	err  error
}

// confirm returns nil once all software versions that the store listed when it was called are
// recorded.
func (c *listConfirmer) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, originTimeout.Duration())
	defer cancel()
	read := c.join()
	select {
	case <-read.done:
		return read.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join returns a read that is still to be sent.
func (c *listConfirmer) join() *listRead {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &listRead{done: make(chan struct{})}
	}
	if !c.running {
		c.running = true
		go c.run()
	}
	return c.next
}

// run sends reads as long as somebody waits for one.
func (c *listConfirmer) run() {
	for read := c.begin(); read != nil; read = c.begin() {
		read.err = c.read()
		close(read.done)
		_ = c.streams.fleet.config.Clock.Sleep(context.Background(), minConfirmInterval)
	}
}

// begin returns the read to send now, nil if nobody waits for one.
func (c *listConfirmer) begin() *listRead {
	c.mu.Lock()
	defer c.mu.Unlock()
	read := c.next
	c.next = nil
	c.running = read != nil
	return read
}

// read records the software versions of the entries that have changed in the store.
func (c *listConfirmer) read() error {
	s := c.streams
	ctx, cancel := context.WithTimeout(context.Background(), originTimeout.Duration())
	defer cancel()
	asOf := s.fleet.config.Clock.Now()
	changed, err := s.fleet.config.ReadChanges(ctx)
	if err != nil {
		return err
	}
	versions := make(origin.Versions)
	for _, endpoint := range changed {
		versions[endpoint.Backend] = append(versions[endpoint.Backend], endpoint.SoftwareVersion)
	}
	now := s.fleet.config.Clock.Now()
	s.mu.Lock()
	s.book.Watch(now, asOf)
	started := s.ownStreams(now, s.book.Merge(now, versions, false))
	s.mu.Unlock()
	s.tell(started)
	return nil
}
