package connect

import (
	"context"
	"errors"
	"net/http"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

var (
	// ErrRestarted means that an endpoint is of another incarnation than the known one.
	ErrRestarted = errors.New("endpoint has started again")
	// ErrNoReport means that an endpoint has not said of which incarnation it is.
	ErrNoReport = errors.New("endpoint does not say whether it has started again")
)

// ReportCall translates the call that asks an endpoint what it says of itself. Both fields must
// be set.
type ReportCall struct {
	// Encode returns the request line and header of the GET call to the endpoint at an address.
	Encode func(address string) []byte
	// Decode returns the incarnation of the endpoint that answered. It is not known if the
	// answer does not state it.
	Decode func(status int, body []byte) (incarnation int64, known bool)
}

// Report is what an endpoint says of itself.
type Report struct {
	// Status is 0 if no answer arrived.
	Status int
	// Incarnation is that of the endpoint if Known is set.
	Incarnation int64
	Known       bool
	// Open is set if the connection may carry a request now.
	Open bool
}

// Send asks the endpoint at an address with the function Ask of a connection to it. If an error
// comes with a status, the body of the answer did not arrive whole.
func (c ReportCall) Send(ctx context.Context, ask func(context.Context, http1.Request) (http1.Reply, error), address string, deadline clock.Millis) (Report, error) {
	reply, err := ask(ctx, http1.Request{Method: http.MethodGet, Head: c.Encode(address), Deadline: deadline})
	report := Report{Status: reply.Status, Open: reply.Open}
	report.Incarnation, report.Known = c.Decode(reply.Status, reply.Body)
	return report, err
}
