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
	// unreadBodyTimeout limits how long the body of a refused request is read
	// and discarded, so that the connection can be reused.
	unreadBodyTimeout = 20 * clock.Millisecond
	// maxUnreadBodyBytes limits how much of that body is read.
	maxUnreadBodyBytes = 256 << 10
)

// readBody reads the whole body into memory, so that the request can be
// retried.
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
	x.body, x.bodyConsumed = body, true
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

// drainBody discards the body of a request that is refused before its body was
// read. If the caller is still sending after unreadBodyTimeout, or the body is
// longer than maxUnreadBodyBytes, the connection is closed after the answer,
// because the next request on it can't be distinguished from the rest of the body.
func (x *exchange) drainBody() {
	if x.bodyConsumed || x.r.ContentLength == 0 {
		return
	}
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(unreadBodyTimeout.Duration()))
	_, err := io.Copy(io.Discard, http.MaxBytesReader(x.w, x.r.Body, maxUnreadBodyBytes))
	if err != nil {
		x.w.Header().Set("Connection", "close")
		return
	}
	_ = control.SetReadDeadline(time.Time{})
	x.bodyConsumed = true
}

// readAll reads a body of the given length; a negative length means unknown.
func readAll(body io.Reader, length int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	if length < 0 {
		return io.ReadAll(body)
	}
	data := make([]byte, length)
	_, err := io.ReadFull(body, data)
	if err != nil {
		return nil, err
	}
	// net/http detects that the caller disconnects only after the end of the
	// body has been read.
	_, err = body.Read(make([]byte, 1))
	if err != nil && err != io.EOF {
		return nil, err
	}
	return data, nil
}
