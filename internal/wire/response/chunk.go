package response

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strconv"
)

// lineEndBytes is the length of the line end after a chunk.
const lineEndBytes = len("\r\n")

// readChunkSize reads the line before a chunk.
func (c *Conn) readChunkSize() error {
	line, err := c.readShortLine()
	if err != nil {
		return err
	}
	digits, _, _ := bytes.Cut(trimLineEnd(line), []byte(";"))
	size, err := strconv.ParseUint(trim(digits), 16, 62)
	if err != nil {
		return malformed("no size of a chunk", line)
	}
	c.checked = line
	if size > 0 {
		c.setLeft(inChunk, int64(size)+int64(lineEndBytes))
		return nil
	}
	c.next, c.trailer, c.trailerLeft = inTrailer, head{status: http.StatusOK}, maxTrailerBytes
	return nil
}

// readTrailer reads a line after the last chunk. An empty one ends the answer.
func (c *Conn) readTrailer() error {
	line, err := c.readShortLine()
	if err != nil {
		return err
	}
	if c.trailerLeft -= len(line); c.trailerLeft < 0 {
		return malformed("the trailer is too long", line)
	}
	if field := trimLineEnd(line); len(field) == 0 {
		c.next = inHead
	} else if err := c.trailer.addLine(field); err != nil {
		return err
	}
	c.checked = line
	return nil
}

// readShortLine reads a line that fits into the buffer. It is valid until the next read.
func (c *Conn) readShortLine() ([]byte, error) {
	line, err := c.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, malformed("a line in a body in chunks is too long", line)
	}
	return line, unexpectedEnd(err)
}
