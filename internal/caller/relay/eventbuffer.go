package relay

import "errors"

// errNoEventMemory means that an event does not fit into the memory that is left.
var errNoEventMemory = errors.New("no memory left for an event of the stream")

const (
	// firstEventBuffer is the first size of a buffer for events, freeEventBuffer that up to which it is
	// part of what any connection takes, and maxEventBuffer the greatest one.
	firstEventBuffer = 1 << 10
	freeEventBuffer  = 2 * streamBufferBytes
	maxEventBuffer   = maxEventBytes + streamBufferBytes
)

// eventBuffer holds bytes of a stream.
type eventBuffer struct {
	// reserve reserves memory, or gives it back if the number is negative. It returns false if there
	// is none.
	reserve  func(bytes int) bool
	data     []byte
	reserved int
}

// add appends bytes. It returns errNoEventMemory if there is no memory for them.
func (b *eventBuffer) add(data []byte) error {
	if need := len(b.data) + len(data); need > cap(b.data) {
		if !b.resize(max(min(2*cap(b.data), maxEventBuffer), need, firstEventBuffer)) {
			return errNoEventMemory
		}
	}
	b.data = append(b.data, data...)
	return nil
}

// drop drops the first bytes, and gives back the memory that the rest does not need.
func (b *eventBuffer) drop(count int) {
	b.data = b.data[:copy(b.data, b.data[count:])]
	if b.reserved > 0 && len(b.data) <= freeEventBuffer {
		b.resize(freeEventBuffer)
	}
}

// resize moves the bytes to a buffer of a size. It returns false if there is no memory for it.
func (b *eventBuffer) resize(size int) bool {
	need := 0
	if size > freeEventBuffer {
		need = size
	}
	if need != b.reserved && !b.reserve(need-b.reserved) {
		return false
	}
	b.reserved = need
	b.data = append(make([]byte, 0, size), b.data...)
	return true
}
