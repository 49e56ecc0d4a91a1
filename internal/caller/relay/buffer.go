package relay

import (
	"context"
	"errors"
	"io"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
)

const (
	// firstReadBytes is the first size of a buffer for a body of unknown length.
	firstReadBytes = 512
	// readGrowth is the factor by which a buffer grows up to the length of its body, and
	// unknownGrowth that of others.
	readGrowth    = 4
	unknownGrowth = 2
)

// errNoMemory means that a body does not fit into the memory that is left.
var errNoMemory = errors.New("no memory left for the body")

// buffer reads a body. It reserves memory as the body arrives, so that one that hardly arrives
// does not hold its whole length.
type buffer struct {
	ctx    context.Context
	memory *memory.Reservation
	// wait limits the wait for memory at each step.
	wait clock.Millis
	data []byte
}

// read reads a body to its end. length is the expected one; a negative length means unknown.
// After errNoMemory, data holds what has been read.
func (b *buffer) read(body io.Reader, length int64) error {
	for {
		if len(b.data) == cap(b.data) && !b.grow(length) {
			return errNoMemory
		}
		n, err := body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow makes room for more of a body, if there is memory.
func (b *buffer) grow(length int64) bool {
	size := nextSize(cap(b.data), length)
	if !b.memory.Grow(b.ctx, size-cap(b.data), b.wait) {
		return false
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	return true
}

// nextSize returns the next size of a buffer for a body whose expected length is given. The end
// of a body mostly arrives with its last bytes, so that there need be no room beyond the length.
func nextSize(size int, length int64) int {
	switch {
	case int64(size) >= length:
		return max(size*unknownGrowth, firstReadBytes)
	case size == 0:
		return int(min(length, memory.ShortBytes))
	}
	return int(min(int64(size)*readGrowth, length))
}
