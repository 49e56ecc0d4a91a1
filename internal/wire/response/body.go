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
}

// CountBody returns a body that its reader keeps whole. What has been read is counted in a budget until
// the body is closed. ctx ends the wait for memory.
func CountBody(ctx context.Context, body io.ReadCloser, budget *memory.Budget) io.ReadCloser {
	return &countedBody{ReadCloser: body, ctx: ctx, memory: budget.Reserve(memory.Body), covered: bodyStepBytes}
}

// Read implements io.Reader.
func (b *countedBody) Read(buf []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(buf)
	b.cost += n * copiesOfBody
	if missing := b.cost - b.covered; missing > 0 {
		step := (missing + bodyStepBytes - 1) / bodyStepBytes * bodyStepBytes
		if !b.memory.Grow(b.ctx, step, bodyWait) {
			return n, ErrNoMemoryForBody
		}
		b.covered += step
	}
	return n, err
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	b.memory.Release()
	return b.ReadCloser.Close()
}
