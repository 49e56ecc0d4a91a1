package entry

import (
	"bytes"
	"errors"
	"net/http"
	"time"

	"github.com/banyanshift/banyanshift/internal/caller/body"
	"github.com/banyanshift/banyanshift/internal/caller/keepalive"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
)

// ReadBody reads the whole body into Body. It refuses a body that is too large, for which there is no
// memory, or that contains the caller's key.
func (x *Exchange) ReadBody() error {
	limit := x.server.deps.Settings.MaxBodyBytes
	if x.HTTP.ContentLength > limit {
		return bodyTooLarge()
	}
	content := body.Buffer{Context: x.Context, Memory: &x.memory, Wait: body.MemoryWait}
	var err error
	if x.HTTP.ContentLength != 0 {
		err = content.Read(http.MaxBytesReader(x.writer, x.HTTP.Body, limit), x.HTTP.ContentLength)
	}
	if err != nil {
		return x.unreadable(err)
	}
	if !keepalive.MarkReceived(x.HTTP.Context()) {
		return noMemory()
	}
	if x.secret != "" && bytes.Contains(content.Data, []byte(x.secret)) {
		return BadRequest("The body holds the key. Keys belong in the header Authorization only.")
	}
	x.Body = content.Data
	// The read deadline covers only the request; the answer may take longer.
	_ = x.controller.SetReadDeadline(time.Time{})
	return nil
}

// unreadable returns the refusal of a request whose body could not be read.
func (x *Exchange) unreadable(err error) error {
	var overLimit *http.MaxBytesError
	switch {
	case errors.As(err, &overLimit):
		return bodyTooLarge()
	case errors.Is(err, body.ErrNoMemory) || keepalive.Yielded(x.HTTP.Context()):
		x.memory.Release()
		body.Discard(x.writer, x.HTTP, body.FullTimeout, x.server.deps.Settings.MaxBodyBytes)
		return noMemory()
	}
	return BadRequest("The request's body did not arrive whole.")
}

// ReserveAnswer returns a reservation of no bytes for what is kept of an answer, for a use. The caller
// must release it.
func (x *Exchange) ReserveAnswer(use memory.Use) memory.Reservation {
	return x.server.deps.Memory.Reserve(use)
}

// Reserve reserves memory for copies of the whole body, until the exchange ends.
func (x *Exchange) Reserve(copies int) error {
	if !x.memory.Grow(x.Context, copies*len(x.Body), body.MemoryWait) {
		return noMemory()
	}
	return nil
}

func noMemory() error {
	return &request.Refusal{
		Status: http.StatusServiceUnavailable, Code: request.CodeOverloaded, Run: request.RunNot,
		RetryAfter: body.RetryAfter, Message: "This daemon has no memory left for the request.",
	}
}

func bodyTooLarge() error {
	return &request.Refusal{
		Status: http.StatusRequestEntityTooLarge, Code: request.CodeBodyTooLarge, Run: request.RunNot,
		Message: "The request's body is too large.",
	}
}
