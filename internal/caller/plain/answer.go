package plain

import (
	"context"
	"errors"
	"io"
	"strconv"

	"github.com/banyanshift/banyanshift/internal/caller/body"
	"github.com/banyanshift/banyanshift/internal/caller/claim"
	"github.com/banyanshift/banyanshift/internal/endpoint/service"
)

var errAnswerTooLarge = errors.New("answer exceeds 16 MiB")

// callAnswer is the answer of a service to a call.
type callAnswer struct {
	claim.Answer
	// isSent is set if it was forwarded while it was read, so that it was not kept.
	isSent bool
}

// readAnswer reads the complete body of an answer. A body that is shorter than its declared length is
// an error. After body.ErrNoMemory, the answer holds what has been read.
func (c *call) readAnswer(ctx context.Context, got service.Answer) (read callAnswer, err error) {
	c.memory.Release()
	b := body.Buffer{Context: ctx, Memory: &c.memory, Wait: body.MemoryWait}
	err = b.Read(io.LimitReader(got.Body, maxAnswerBytes+1), min(got.Length, maxAnswerBytes+1))
	if err == nil && len(b.Data) > maxAnswerBytes {
		err = errAnswerTooLarge
	}
	return callAnswer{Answer: claim.Answer{Status: got.Status, Header: got.Header, Body: b.Data}}, err
}

// forwardLong writes an answer to the caller while it is read. start holds what has been read already.
// After an error the caller's connection is to be closed, since a part of the answer was sent.
func (c *call) forwardLong(got service.Answer, start []byte) error {
	c.setHeader(got.Header)
	if got.Length >= 0 {
		c.x.Header().Set("Content-Length", strconv.FormatInt(got.Length, 10))
	}
	c.x.SendHeader(got.Status)
	if err := c.x.Write(start); err != nil {
		return err
	}
	c.memory.Release()
	rest := &io.LimitedReader{R: got.Body, N: int64(maxAnswerBytes + 1 - len(start))}
	if _, err := io.Copy(writer{c.x.Write}, rest); err != nil {
		return err
	}
	if rest.N == 0 {
		return errAnswerTooLarge
	}
	return nil
}

// writer is an io.Writer that calls a function.
type writer struct {
	write func(data []byte) error
}

// Write implements io.Writer.
func (w writer) Write(data []byte) (int, error) {
	if err := w.write(data); err != nil {
		return 0, err
	}
	return len(data), nil
}

// send writes an answer to the caller, unless it was forwarded.
func (c *call) send(read callAnswer) error {
	if read.isSent {
		return nil
	}
	c.setHeader(read.Header)
	return c.x.SendAnswer(read.Status, read.Body)
}

// setHeader sets the header of the answer to the caller.
func (c *call) setHeader(from map[string][]string) {
	header := c.x.Header()
	for name, values := range from {
		header[name] = values
	}
	header.Set("Request-Id", c.x.Request.ID)
}
