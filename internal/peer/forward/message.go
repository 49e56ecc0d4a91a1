package forward

import (
	"errors"
	"net/http"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

// Target is the endpoint that a request is to reach.
type Target struct {
	// Endpoint is its ID.
	Endpoint string
	Address  string
	// BodyBytes is the length of the request's body. A daemon of the last release does not
	// tell.
	BodyBytes int
}

// RefusalCode is why a daemon does not forward a request. None of the request has been
// sent to the endpoint.
type RefusalCode string

// Refusal codes.
const (
	// Unreachable: the daemon does not reach the endpoint either.
	Unreachable RefusalCode = "Unreachable"
	// Unsuitable: the endpoint is to get no requests, as far as the daemon knows.
	Unsuitable RefusalCode = "Unsuitable"
	// Unavailable: the daemon is shutting down or forwards as much as it can.
	Unavailable RefusalCode = "Unavailable"
)

// Refusal is the error of a daemon that does not forward a request.
type Refusal struct {
	Code   RefusalCode
	Reason string
}

// Error implements error.
func (r *Refusal) Error() string {
	return "the peer does not forward the request: " + r.Reason
}

// open asks whether the receiver reaches an endpoint, and reserves a connection to it.
type open struct {
	Target Target
}

// opened answers open. Code is empty if a request may follow.
type opened struct {
	Code   RefusalCode
	Reason string
}

// requestHead begins a request. Its body follows, BodyBytes long, in messages of
// ForwardBody.
type requestHead struct {
	ID     string
	Method string
	// Head holds the request line and the header fields for the endpoint.
	Head      []byte
	BodyBytes int
	// TimeLeft is how long the sender waits for the whole answer.
	TimeLeft clock.Millis
	// Question is set if this is no request but a question that runs none. A request may follow
	// on the same connection to the endpoint if the answer says so. A daemon of the last
	// release passes the question on like a request.
	Question bool
}

// answerHead begins the endpoint's answer. Its body follows in messages of ForwardBody, and
// ends with ForwardEnd.
type answerHead struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if it is not known.
	Length int64
	// Explicit is set if the endpoint says where the body ends. A daemon of the last release
	// does not tell.
	Explicit bool
	// Open is set in the answer to a question if a request may follow.
	Open bool
}

// ending returns how the endpoint's answer shows its end, as far as the peer tells.
func (h answerHead) ending() http1.Ending {
	switch {
	case !h.Explicit:
		return http1.EndsByPeer
	case h.Length >= 0:
		return http1.EndsByLength
	}
	return http1.EndsByChunks
}

// end ends an answer. Error is empty if the answer is complete, as far as the endpoint's
// connection shows. Without an answerHead before it, no answer arrived.
type end struct {
	Error string
}

// errProtocol means that a daemon sent a message out of order.
var errProtocol = errors.New("forward: unexpected message")
