package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// MaxReplyBytes bounds the body of the answer to a question.
const MaxReplyBytes = 256 << 10

var errReplyTooLong = errors.New("the answer to a question is too long")

// Reply is the answer to a question.
type Reply struct {
	// Status is 0 if no answer arrived.
	Status int
	Header http.Header
	Body   []byte
	// Open is set if the connection may carry a request now.
	Open bool
}

// Ask sends a question to the endpoint, one that names no request and runs none, and reads the
// whole answer. Afterwards the connection may carry a request if the reply says that it is open,
// and is closed otherwise. If the body does not arrive, the reply has the status and header of
// the answer. The error is a *RequestError, and no request has been sent.
func (c *Conn) Ask(ctx context.Context, question Request) (reply Reply, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.strict.Close() })
	defer func() {
		reply.Open = stop() && err == nil && reply.Open
		if !reply.Open {
			_ = c.strict.Close()
		}
		if err != nil {
			err = &RequestError{Cause: fmt.Errorf("ask the endpoint: %w", errors.Join(ctx.Err(), err))}
		}
	}()
	if err := c.netConn.SetDeadline(c.pool.config.Clock.Deadline(question.Deadline)); err != nil {
		return reply, err
	}
	if _, err := writeRequest(c, question); err != nil {
		return reply, err
	}
	answer, err := c.readUnnamed(question.Method)
	if err != nil {
		return reply, err
	}
	reply = Reply{Status: answer.Status, Header: answer.Header, Open: answer.reusable}
	reply.Body, err = answer.readWhole()
	return reply, err
}

// readUnnamed reads the status and header of the answer to a question. It discards answers
// that name a request. One that names none can only answer a question, this one or an earlier
// one on the connection: after any other, the connection is not used again.
func (c *Conn) readUnnamed(method string) (*Answer, error) {
	for range maxUnmatchedAnswers + 1 {
		answer, err := readHead(c, method)
		if err != nil {
			return nil, err
		}
		if c.pool.config.AnsweredID(answer.Header) == "" {
			// Only an error may be taken for the answer to the request that follows.
			c.heard = c.heard || answer.Status >= http.StatusBadRequest
			return answer, nil
		}
		c.heard = true
		strayAnswers.Add(anothers.String(), 1)
		if err := answer.discard(); err != nil {
			return nil, err
		}
	}
	return nil, errTooManyUnmatched
}

// readWhole reads the body of the answer to a question.
func (a *Answer) readWhole() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.body, MaxReplyBytes+1))
	if err == nil && len(body) > MaxReplyBytes {
		return nil, errReplyTooLong
	}
	return body, err
}
