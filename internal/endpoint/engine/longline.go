package engine

import (
	"context"
	"errors"
	"fmt"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
)

const (
	// firstLineBytes is the first size of the buffer for a long line.
	firstLineBytes = 16 << 10
	// lineWait limits how long a long line waits for memory.
	lineWait = 500 * clock.Millisecond
)

// ErrNoMemory is returned for a line that does not fit into the memory that is left.
var ErrNoMemory = errors.New("no memory left for a line of the stream")

// longLine holds a line in memory that is reserved before.
type longLine struct {
	ctx context.Context
	// budget may be nil.
	budget *memory.Budget
	memory memory.Reservation
	data   []byte
}

// add appends a part of the line. Errors are ErrMalformed if the line is too long, and ErrNoMemory.
func (l *longLine) add(part []byte) error {
	need := len(l.data) + len(part)
	if need > maxEventBytes {
		return fmt.Errorf("%w: longer than %d bytes", ErrMalformed, maxEventBytes)
	}
	if need > cap(l.data) {
		size := max(2*cap(l.data), need, firstLineBytes)
		if !l.reserve(size - cap(l.data)) {
			return ErrNoMemory
		}
		l.data = append(make([]byte, 0, size), l.data...)
	}
	l.data = append(l.data, part...)
	return nil
}

func (l *longLine) reserve(bytes int) bool {
	if l.budget == nil {
		return true
	}
	if l.data == nil {
		l.memory = l.budget.Reserve(memory.Event)
	}
	return l.memory.Grow(l.ctx, bytes, lineWait)
}

// release lets the line go.
func (l *longLine) release() {
	l.data = nil
	l.memory.Release()
}
