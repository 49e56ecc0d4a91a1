package response

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"sync"

	"github.com/banyanshift/banyanshift/internal/decide/memory"
)

const (
	// MaxHeadBytes limits the status line and header of an answer, together with the interim answers
	// before it.
	MaxHeadBytes = 64 << 10
	// readBufferBytes is also the longest line between the chunks of a body.
	readBufferBytes = 4 << 10
	// maxTrailerBytes limits the fields after the last chunk.
	maxTrailerBytes = 4 << 10
	// copiesPerByte and bytesPerLine are what reading and parsing a head takes: each byte is held
	// more than once, and each field is an entry of a map.
	copiesPerByte = 2
	bytesPerLine  = 256
	// headStepBytes is the granularity of reservations for heads. The first step is part of what any
	// connection takes.
	headStepBytes = 8 << 10
)

// part is what comes next on a connection.
type part int

const (
	// inHead: a line of the head of an answer, or the first byte of the next answer.
	inHead part = iota
	// inBody: left bytes of a body.
	inBody
	// inChunkSize: the line before a chunk.
	inChunkSize
	// inChunk: left bytes of a chunk, with the line end after it.
	inChunk
	// inTrailer: a line after the last chunk.
	inTrailer
)

// untilClose is the length of a body that ends with the connection.
const untilClose = math.MaxInt64

// Conn is a connection to a server. Read returns the bytes of an answer only after its whole head
// was found sound, and none after its end until the next one is expected. One goroutine at a time
// may read.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	// budget may be nil.
	budget *memory.Budget
	// headCost is the memory that the head of the current answer takes, of which covered bytes are
	// reserved or part of what any connection takes.
	headCost, covered int

	mu sync.Mutex
	// memory is what is reserved for the head, nothing once the connection is closed.
	memory memory.Reservation
	closed bool
	// failed is the error that ended reading.
	failed error
	// expecting is set while an answer is outstanding to a request with this method.
	expecting bool
	method    string

	next part
	// left is how many bytes of a body or chunk follow, and headLeft and trailerLeft how many of a
	// head and a trailer may follow.
	left                  int64
	headLeft, trailerLeft int
	// trailer checks the fields after the last chunk.
	trailer head
	// checked are bytes that Read may return.
	checked []byte
}

// NewConn returns a connection that reads the answers that arrive on conn. The heads are counted in a
// budget, if it is not nil.
func NewConn(conn net.Conn, budget *memory.Budget) *Conn {
	c := &Conn{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), budget: budget, headLeft: MaxHeadBytes, covered: headStepBytes}
	if budget != nil {
		c.memory = budget.Reserve(memory.Answer)
	}
	return c
}

// Expect says that a request with a method is about to be sent, so that the next bytes are the answer
// to it, or that another answer to that request is expected.
func (c *Conn) Expect(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expecting, c.method = true, method
}

// expected returns the method of the request whose answer is outstanding, if one is.
func (c *Conn) expected() (method string, expecting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.method, c.expecting
}

// Buffered returns how many bytes have arrived that Read has not returned yet.
func (c *Conn) Buffered() int {
	return len(c.checked) + c.reader.Buffered()
}

// Release says that the last answer is no longer used, so that its head takes no memory.
func (c *Conn) Release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.Release()
}

// Close closes the connection. The last answer is no longer used.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.memory.Release()
	c.mu.Unlock()
	return c.Conn.Close()
}

// Read implements net.Conn. Errors wrap ErrMalformed, ErrUnexpected, ErrHeadTooLarge or ErrNoMemory,
// or are those of the connection.
func (c *Conn) Read(buf []byte) (n int, err error) {
	for len(c.checked) == 0 {
		if err := c.Err(); err != nil {
			return 0, err
		}
		if c.next == inBody || c.next == inChunk {
			return c.readBody(buf)
		}
		if err := c.readLines(); err != nil {
			c.fail(err)
		}
	}
	n = copy(buf, c.checked)
	c.checked = c.checked[n:]
	return n, nil
}

// Err returns the error after which no more answers are read, nil if there is none. net/http does not
// tell the cause if an answer has begun.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// fail ends reading with an error.
func (c *Conn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = err
}

// readLines reads a head, or a line between the chunks of a body.
func (c *Conn) readLines() error {
	switch c.next {
	case inHead:
		return c.readHead()
	case inTrailer:
		return c.readTrailer()
	}
	return c.readChunkSize()
}

// readHead reads the head of the next answer. If it is malformed, a part of it is returned by Read
// before the error, so that net/http knows that an answer has begun, and does not send the request
// again.
func (c *Conn) readHead() (err error) {
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	method, expecting := c.expected()
	if !expecting {
		return ErrUnexpected
	}
	if c.headLeft == MaxHeadBytes {
		c.Release()
		c.headCost, c.covered = 0, headStepBytes
	}
	var raw []byte
	defer func() {
		if err != nil {
			raw = raw[:min(len(raw), 1)]
		}
		c.checked = raw
	}()
	var h head
	for {
		start := len(raw)
		if raw, err = c.readHeadLine(raw); err != nil {
			return err
		}
		line := trimLineEnd(raw[start:])
		if len(line) == 0 && h.status != 0 {
			return c.beginBody(&h, method)
		}
		if err := h.addLine(line); err != nil {
			return err
		}
	}
}

// beginBody prepares for what follows a head.
func (c *Conn) beginBody(h *head, method string) error {
	framing, length, err := h.bodyFraming(method)
	switch {
	case err != nil:
		return err
	case h.isInterim():
		return nil // The head of the next answer follows.
	}
	c.mu.Lock()
	c.expecting = false
	c.mu.Unlock()
	c.headLeft = MaxHeadBytes
	switch framing {
	case noBody:
	case byLength:
		c.setLeft(inBody, length)
	case byChunks:
		c.next = inChunkSize
	case byClose:
		c.setLeft(inBody, untilClose)
	}
	return nil
}

// setLeft sets how many bytes of a part follow, if there are any.
func (c *Conn) setLeft(part part, left int64) {
	if left > 0 {
		c.next, c.left = part, left
	}
}

// readHeadLine appends a line of a head to raw, also a part of one before an error.
func (c *Conn) readHeadLine(raw []byte) ([]byte, error) {
	for {
		piece, err := c.reader.ReadSlice('\n')
		isCut := errors.Is(err, bufio.ErrBufferFull)
		c.headLeft -= len(piece)
		raw = append(raw, piece...)
		switch {
		case c.headLeft < 0:
			return raw, fmt.Errorf("%w: more than %d bytes", ErrHeadTooLarge, MaxHeadBytes)
		case err != nil && !isCut:
			return raw, unexpectedEnd(err)
		case !c.reserve(len(piece)*copiesPerByte + bytesPerLine):
			return raw, ErrNoMemory
		case !isCut:
			return raw, nil
		}
	}
}

// reserve reserves memory for a part of a head that costs a number of bytes.
func (c *Conn) reserve(cost int) bool {
	c.headCost += cost
	missing := c.headCost - c.covered
	if missing <= 0 || c.budget == nil {
		return true
	}
	step := (missing + headStepBytes - 1) / headStepBytes * headStepBytes
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.memory.TryGrow(step) {
		return false
	}
	c.covered += step
	return true
}

// readBody reads a part of a body.
func (c *Conn) readBody(buf []byte) (n int, err error) {
	n, err = c.reader.Read(buf[:min(int64(len(buf)), c.left)])
	if c.left == untilClose {
		return n, err
	}
	c.left -= int64(n)
	switch {
	case c.left > 0:
		return n, unexpectedEnd(err)
	case c.next == inChunk:
		c.next = inChunkSize
	default:
		c.next = inHead
	}
	return n, nil
}

// unexpectedEnd returns the error for a connection that ends within an answer.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// trimLineEnd returns a line without CRLF or LF.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}
