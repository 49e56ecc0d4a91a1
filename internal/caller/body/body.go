// Package body reads the bodies of requests and answers into memory that is reserved as they arrive, so
// that one that hardly arrives does not hold its whole length.
//
// # Usage
//
//	reservation := budget.Reserve(memory.Body)
//	defer reservation.Release()
//	b := body.Buffer{Context: ctx, Memory: &reservation, Wait: body.MemoryWait}
//	err := b.Read(r.Body, r.ContentLength) // b.Data is the body
package body

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

const (
	// MemoryWait limits how long a body waits unread for memory. It is shorter than the second in
	// which callers expect their requests to be read.
	MemoryWait = 500 * clock.Millisecond
	// RetryAfter is the Retry-After of requests that are refused for lack of memory.
	RetryAfter = clock.Second
)

// ErrNoMemory means that a body does not fit into the memory that is left.
var ErrNoMemory = errors.New("no memory left for the body")

// Buffer reads a body.
type Buffer struct {
	// Context ends the wait for memory.
	Context context.Context
	Memory  *memory.Reservation
	// Wait limits the wait for memory at each step.
	Wait clock.Millis
	// Data is what has been read.
	Data []byte
}

// Read reads a body to its end. length is the expected one; a negative length means unknown.
// After ErrNoMemory, Data holds what has been read.
func (b *Buffer) Read(body io.Reader, length int64) error {
	for {
		if len(b.Data) == cap(b.Data) && !b.grow(length) {
			return ErrNoMemory
		}
		n, err := body.Read(b.Data[len(b.Data):cap(b.Data)])
		b.Data = b.Data[:len(b.Data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow makes room for more of a body, if there is memory.
func (b *Buffer) grow(length int64) bool {
	size := nextSize(cap(b.Data), length)
	if !b.Memory.Grow(b.Context, size-cap(b.Data), b.Wait) {
		return false
	}
	grown := make([]byte, len(b.Data), size)
	copy(grown, b.Data)
	b.Data = grown
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
