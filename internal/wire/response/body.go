package response

import (
	"context"
	"errors"
	"io"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
)

const (
	// copiesOfBody is how many times the bytes of a body are held that is read whole, since its
	// buffer grows by copying.
	copiesOfBody = 2
	// bodyStepBytes is the granularity of reservations for bodies. The first step is part of what
	// any connection takes.
	bodyStepBytes = 16 << 10
	// bodyWait limits how long a body waits for memory.
	bodyWait = clock.Second
	// longBodyPart is the part of a budget beyond which a body is long: one in so many. Of the long
	// ones one at a time is read, since several of which each waits for the rest of the memory would all
	// fail.
	longBodyPart = 16
)

// ErrNoMemoryForBody means that the body of an answer does not fit into the memory that is left.
var ErrNoMemoryForBody = errors.New("no memory left for the body of the answer")

// countedBody reserves memory for a body while it is read, until it is closed.
type countedBody struct {
	io.ReadCloser
	ctx    context.Context
	memory memory.Reservation
	// cost is what the bytes that were read take, and covered what is reserved or free.
	cost, covered int
	// long holds the place of the only long body, if there is one. isLong is set while it is this one's.
	long   chan struct{}
	isLong bool
	// longCost is the cost from which on the body is long.
	longCost int
}

// CountBody returns a body that its reader keeps whole. What has been read is counted in a budget until
// the body is closed. ctx ends the wait for memory.
func CountBody(ctx context.Context, body io.ReadCloser, budget *memory.Budget) io.ReadCloser {
	return newCountedBody(ctx, body, budget, nil)
}

// newCountedBody returns a body. long is nil if several long ones may be read at a time.
func newCountedBody(ctx context.Context, body io.ReadCloser, budget *memory.Budget, long chan struct{}) *countedBody {
	return &countedBody{
		ReadCloser: body, ctx: ctx, memory: budget.Reserve(memory.Body), covered: bodyStepBytes,
		long: long, longCost: int(budget.State().Limit / longBodyPart),
	}
}

// Read implements io.Reader.
func (b *countedBody) Read(buf []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(buf)
	b.cost += n * copiesOfBody
	if !b.waitForPlace() {
		return n, ErrNoMemoryForBody
	}
	if missing := b.cost - b.covered; missing > 0 {
		step := (missing + bodyStepBytes - 1) / bodyStepBytes * bodyStepBytes
		if !b.memory.Grow(b.ctx, step, bodyWait) {
			return n, ErrNoMemoryForBody
		}
		b.covered += step
	}
	return n, err
}

// waitForPlace waits for the place of the only long body, if this one is long.
func (b *countedBody) waitForPlace() bool {
	if b.isLong || b.long == nil || b.cost <= b.longCost {
		return true
	}
	select {
	case b.long <- struct{}{}:
		b.isLong = true
	case <-b.ctx.Done():
	}
	return b.isLong
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	b.memory.Release()
	if b.isLong {
		b.isLong = false
		<-b.long
	}
	return b.ReadCloser.Close()
}
