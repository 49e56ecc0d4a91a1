package http1

import (
	"errors"
	"fmt"
	"net"
	"net/http"
)

// maxHeadBytes limits the status line and header of an answer, together with the interim
// answers before it.
const maxHeadBytes = 64 << 10

// ErrHeadTooLarge means that an answer had not begun within maxHeadBytes, so that the
// endpoint may send bytes without end that are no answer.
var ErrHeadTooLarge = errors.New("the head of the answer is too large")

// headReader reads from a connection, and fails if a head is longer than maxHeadBytes.
type headReader struct {
	conn net.Conn
	// inHead is set while a head is read, and left is how many bytes may follow then.
	inHead bool
	left   int
}

// Read implements io.Reader.
func (r *headReader) Read(buf []byte) (n int, err error) {
	if !r.inHead {
		return r.conn.Read(buf)
	}
	if r.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err = r.conn.Read(buf[:min(len(buf), r.left)])
	r.left -= n
	return n, err
}

// readHead reads the status and header of the next answer and skips interim (1xx)
// answers.
func readHead(c *Conn, method string) (answer *Answer, err error) {
	defer func() {
		c.limiter.inHead = false
		if err != nil && c.limiter.left <= 0 {
			err = fmt.Errorf("%w: more than %d bytes", ErrHeadTooLarge, maxHeadBytes)
		}
	}()
	c.limiter.inHead, c.limiter.left = true, maxHeadBytes
	for {
		isOld := isOldAnswer(c.reader)
		reader := c.reader
		if isOld {
			if reader, err = checkOldHead(c.reader); err != nil {
				return nil, err
			}
		}
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if isOld && response.StatusCode < http.StatusOK {
			_ = response.Body.Close()
			return nil, errOldInterim
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			_ = response.Body.Close()
			return nil, errors.New("the endpoint switches protocols")
		}
		if response.StatusCode < http.StatusOK {
			_ = response.Body.Close()
			continue
		}
		ending := endingOf(response)
		return &Answer{
			Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Ending: ending,
			body: response.Body, reusable: ending != EndsWithConnection && !response.Close && !isOld,
		}, nil
	}
}
