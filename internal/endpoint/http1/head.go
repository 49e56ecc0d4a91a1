package http1

import (
	"errors"
	"io"
	"net/http"

	"github.com/banyanshift/banyanshift/internal/wire/response"
)

// ErrHeadTooLarge means that an answer had not begun within response.MaxHeadBytes.
var ErrHeadTooLarge = response.ErrHeadTooLarge

// readHead reads the status and header of the next answer and skips interim (1xx)
// answers.
func readHead(c *Conn, method string) (answer *Answer, err error) {
	c.strict.Expect(method)
	for {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, c.readError(err)
		}
		if answer.StatusCode < http.StatusOK {
			_ = answer.Body.Close()
			continue
		}
		ending := endingOf(answer)
		return &Answer{
			Status: answer.StatusCode, Header: answer.Header, Length: answer.ContentLength, Ending: ending, body: answer.Body,
			reusable: ending != EndsWithConnection && !answer.Close && answer.ProtoAtLeast(1, 1),
		}, nil
	}
}

// readError returns why no head was read, of which err is what net/http tells.
func (c *Conn) readError(err error) error {
	if cause := c.strict.Err(); cause != nil && !errors.Is(cause, io.EOF) {
		return cause
	}
	return err
}
