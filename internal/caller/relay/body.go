package relay

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
)

const (
	// leftBodyTime is how long the body of a request that is refused may take
	// to end, so that its connection can be kept.
	leftBodyTime = 20 * clock.Millisecond
	// leftBodyBytes is how much of it is read for that.
	leftBodyBytes = 256 << 10
)

// readBody reads the whole body, so that the request can be sent again.
func (x *exchange) readBody() bool {
	limit := x.configuration.Index.Limits().MaxBodyBytes
	if x.r.ContentLength > limit {
		x.refuse(http.StatusRequestEntityTooLarge, Refusal{Reason: "body too large"})
		return false
	}
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(x.handler.config.Clock.Deadline(x.deadline))
	body, err := readAll(http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength)
	if err != nil {
		x.refuseBody(err)
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	x.body, x.bodyEnded = body, true
	return true
}

// refuseBody refuses a request whose body could not be read.
func (x *exchange) refuseBody(err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, Refusal{Reason: "body too large"})
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.refuse(http.StatusRequestTimeout, Refusal{Reason: "body did not end within the time limit"})
	default:
		x.refuse(http.StatusBadRequest, Refusal{Reason: "body incomplete: " + err.Error()})
	}
}

// leaveBody prepares an answer to a request whose body was not read. The answer
// does not wait for a caller that is still sending; its connection is closed
// then, since what comes next on it cannot be told from the rest of the body.
func (x *exchange) leaveBody() {
	if x.bodyEnded || x.r.ContentLength == 0 {
		return
	}
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(leftBodyTime.Duration()))
	_, err := io.Copy(io.Discard, http.MaxBytesReader(x.w, x.r.Body, leftBodyBytes))
	if err != nil {
		x.w.Header().Set("Connection", "close")
		return
	}
	_ = control.SetReadDeadline(time.Time{})
	x.bodyEnded = true
}

// readAll reads a body of the announced length, or of an unknown one.
func readAll(body io.Reader, length int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	if length < 0 {
		return io.ReadAll(body)
	}
	whole := make([]byte, length)
	_, err := io.ReadFull(body, whole)
	if err != nil {
		return nil, err
	}
	// The end of the body has to be seen for the server to notice when the
	// caller leaves.
	_, err = body.Read(make([]byte, 1))
	if err != nil && err != io.EOF {
		return nil, err
	}
	return whole, nil
}
