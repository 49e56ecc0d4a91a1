package relay

import (
	"fmt"
	"strings"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/endpoint/connect"
)

// reportPatience is how long an endpoint may take to say what it is before it continues a
// stream. It leaves time for another endpoint before callers give a silent stream up.
const reportPatience = 500 * clock.Millisecond

// connectChecked finds a way to the endpoint. If the request continues a stream, it leads to the
// incarnation of the endpoint whose software version is known, as far as the endpoint says.
func (x *exchange) connectChecked(placement Placement) (connect.Connection, error) {
	connection, err := x.connect(placement)
	if err != nil || !x.continuesStream() || placement.Incarnation == 0 {
		return connection, err
	}
	isOpen, err := x.checkIncarnation(placement, connection)
	if err != nil || isOpen {
		return connection, err
	}
	return x.connect(placement)
}

// continuesStream reports whether only one software version may run the rest of a stream.
func (x *exchange) continuesStream() bool {
	return x.stream.software.Limited && x.resumeAfter() != ""
}

// checkIncarnation asks the endpoint for its incarnation. It returns an error if it is another
// one, or if no answer arrives. An answer without an incarnation proves nothing. The connection
// may be used if it is open then.
func (x *exchange) checkIncarnation(placement Placement, connection connect.Connection) (isOpen bool, err error) {
	incarnationQuestions.Add(1)
	config := &x.handler.config
	deadline := config.Clock.Now() + min(reportPatience, x.timeLeft())
	report, err := config.Wire.Report.Send(x.ctx, connection.Ask, placement.Address, deadline)
	if err != nil && (report.Status == 0 || x.ctx.Err() != nil) {
		return false, fmt.Errorf("%w: %w", connect.ErrNoReport, err)
	}
	if !report.Known || report.Incarnation == placement.Incarnation {
		return report.Open, nil
	}
	if report.Open {
		connection.Cancel()
	}
	return false, fmt.Errorf("%w: incarnation %d, known is %d", connect.ErrRestarted, report.Incarnation, placement.Incarnation)
}

// recordStart records which endpoint has begun the stream.
func (x *exchange) recordStart(placement Placement) {
	x.stream.software = balance.SoftwareLimit{Limited: true, Version: placement.SoftwareVersion}
	x.stream.start = StreamStart{
		RequestID: x.call.ID, Backend: x.backend, Endpoint: placement.Endpoint, Incarnation: placement.Incarnation,
		SoftwareVersion: placement.SoftwareVersion, OpenedAt: x.attempts.openedAt,
	}
	x.stream.startAt = placement
	x.handler.config.Streams.Record(x.stream.start)
}

// proveStart reports whether the software version that began the stream is certain, so that an
// endpoint of that version may go on. Unless it is known by now, it asks the endpoint: one
// that is still of the known incarnation was so when the stream began.
func (x *exchange) proveStart() bool {
	if x.stream.start.Endpoint == "" || x.stream.startProved {
		return true
	}
	streams := x.handler.config.Streams
	check := streams.Check(x.stream.start, x.stream.openUntil)
	if check == StartUnproved && x.askStart() {
		check = StartProved
		streams.Prove(x.stream.start)
	}
	x.stream.startProved = check == StartProved
	if !x.stream.startProved {
		streams.Doubt(x.stream.start)
		x.attempts.lastReason = "cannot resume: the endpoint may have been of another software version: " + x.attempts.lastReason
	}
	return x.stream.startProved
}

// askStart asks the endpoint that began the stream whether it is still of the known incarnation.
func (x *exchange) askStart() bool {
	connection, err := x.connect(x.stream.startAt)
	if err != nil {
		return false
	}
	isOpen, err := x.checkIncarnation(x.stream.startAt, connection)
	if isOpen {
		connection.Cancel()
	}
	return err == nil
}

// handleUnchecked records an attempt to continue a stream at an endpoint whose incarnation is
// another one or not known. Nothing of the request was sent, and the endpoint may run others.
func (x *exchange) handleUnchecked(placement Placement, err error) result {
	x.handler.config.Scheduler.RecordEnd(placement, balance.Canceled)
	if x.callerLeft() {
		x.trace.setResult(0, "caller left")
		return callerGone
	}
	x.attempts.lastReason = err.Error()
	reason, _, _ := strings.Cut(x.attempts.lastReason, ":")
	x.recordFailure(reason, placement, err)
	return notSent
}
