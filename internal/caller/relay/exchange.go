package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/keepalive"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/decide/quarantine"
)

const (
	// defaultRetryAfter is the Retry-After of refusals without one from the
	// scheduler: the daemon doesn't know which configuration is in force, or
	// the attempts or the retry budget are used up.
	defaultRetryAfter = 500 * clock.Millisecond
	// answerMargin is how long after the deadline of a request its endpoint
	// may still answer, so that the caller gets the endpoint's own answer.
	answerMargin = 60 * clock.Millisecond
	// elsewhereRetryAfter is the Retry-After of a request that another daemon can take at once.
	elsewhereRetryAfter = 10 * clock.Millisecond
)

// shuttingDown is the refusal of a request that this daemon cannot answer before it ends.
var shuttingDown = Refusal{Reason: "daemon is shutting down", RetryAfter: elsewhereRetryAfter}

// exchange is one request of a caller and the answer to it.
type exchange struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	// ctx ends when the caller leaves, and when the daemon abandons its requests.
	ctx     context.Context
	arrived clock.Millis

	call Call
	// configuration is the one in force when the request arrived.
	configuration Configuration

	route *document.Route
	team  *document.Team
	body  []byte
	// bodyBytes is the length of the body, also after it was released.
	bodyBytes int
	// bodyReleased is set once the body was released, so that the request cannot be sent again.
	bodyReleased bool
	// bodyMemory and answerMemory are what the body and the buffered parts of answers take.
	bodyMemory, answerMemory memory.Reservation
	// bodyConsumed is true if the body was read to its end, whether it was
	// stored or discarded.
	bodyConsumed bool
	// backend is the name of the back end that the request goes to.
	backend  string
	deadline clock.Millis

	attempts attemptState
	stream   streamState
	// whole is set once the caller has been written a whole answer, whether it succeeds or not.
	whole        bool
	startCounted bool
	// knownDigests holds the result of digests.
	knownDigests []quarantine.Digest
	trace        trace
}

// serve answers the request. Unless the answer is whole, it closes the connection, since
// net/http would end the answer as if it were complete.
func (x *exchange) serve() {
	defer x.releaseMemory()
	x.handle()
	x.logEnd()
	if !x.whole {
		x.breakOff()
	}
}

// breakOff closes the caller's connection, so that the answer does not look complete. It does
// not return.
func (x *exchange) breakOff() {
	if !x.r.ProtoAtLeast(1, 1) {
		if err := x.resetConnection(); err != nil {
			eventNotReset.Log(x.handler.config.Logger, logrus.Fields{"Request": x.call.ID, "Error": err.Error()})
		}
	}
	panic(http.ErrAbortHandler)
}

// resetConnection resets the caller's connection. Answers of HTTP/1.0 have no chunks, so the
// proper end of the connection is the end of a complete answer.
func (x *exchange) resetConnection() (err error) {
	conn, _, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		return err
	}
	err = keepalive.Reset(conn)
	// The connection itself is closed already; this releases what wraps it.
	_ = conn.Close()
	return err
}

// handle runs the request through the filters and forwards it. A filter that
// returns false has answered the request.
func (x *exchange) handle() {
	for _, filter := range []func() bool{x.decodeHead, x.findRoute, x.authenticate, x.checkShutdown, x.readBody, x.findOrigin} {
		if !filter() {
			return
		}
	}
	x.forward()
}

// decodeHead decodes the request line and header.
func (x *exchange) decodeHead() bool {
	call, err := x.handler.config.Wire.DecodeCall(x.r)
	if err != nil {
		x.refuse(http.StatusBadRequest, Refusal{Reason: err.Error()})
		return false
	}
	x.call = call
	return true
}

// findRoute looks up the route in the configuration in force and chooses the
// back end.
func (x *exchange) findRoute() bool {
	config := x.handler.config.Configuration()
	x.configuration = config
	if config.Index == nil {
		x.refuse(http.StatusServiceUnavailable, Refusal{Reason: "no configuration is known yet", RetryAfter: defaultRetryAfter})
		return false
	}
	if config.Isolated {
		x.refuse(http.StatusServiceUnavailable, Refusal{Reason: "neither the store nor other daemons confirm the configuration", RetryAfter: defaultRetryAfter})
		return false
	}
	if limit := config.Index.Limits().MaxHeaderBytes; limit > 0 && x.call.HeaderBytes > limit {
		x.refuse(http.StatusRequestHeaderFieldsTooLarge, Refusal{Reason: "header too large"})
		return false
	}
	route, found := config.Index.Route(x.call.Host, x.call.Path)
	if !found {
		x.deny(http.StatusNotFound, "no route for host and path")
		return false
	}
	x.route = route
	x.backend = route.PickBackend(x.call.ID)
	x.setDeadline()
	x.trace.version, x.trace.versionAge = config.Index.Version(), config.Age
	return true
}

// setDeadline applies the shorter of the caller's and the route's time limits.
func (x *exchange) setDeadline() {
	limit := x.route.Timeout
	if limit <= 0 {
		limit = document.DefaultTimeout
	}
	if x.call.TimeLeft > 0 {
		limit = min(limit, x.call.TimeLeft)
	}
	x.deadline = x.arrived + limit
}

// deny refuses a request that the configuration does not allow. If a newer
// configuration might allow it, the status is 503 instead, so that the caller
// retries.
func (x *exchange) deny(status int, reason string) {
	if !x.configuration.Current {
		x.refuse(http.StatusServiceUnavailable, Refusal{Reason: "configuration may be outdated: " + reason, RetryAfter: defaultRetryAfter})
		return
	}
	x.refuse(status, Refusal{Reason: reason})
}

// authenticate finds the team that the key belongs to.
func (x *exchange) authenticate() bool {
	index := x.configuration.Index
	team, known := index.Team(x.call.Key)
	if known {
		x.team = team
		return true
	}
	if index.NeedsKey(x.route) {
		x.deny(http.StatusUnauthorized, "unknown key")
		return false
	}
	return true
}

// checkShutdown refuses a late request that may last longer than this daemon.
func (x *exchange) checkShutdown() bool {
	shutdown := x.handler.shutdown.Load()
	if shutdown == nil || x.arrived < shutdown.TakeAllUntil || x.deadline+answerMargin <= shutdown.End {
		return true
	}
	x.refuse(http.StatusServiceUnavailable, shuttingDown)
	return false
}

// findOrigin looks up the software version that began a stream which the caller takes up.
// Only endpoints of that version can continue it.
func (x *exchange) findOrigin() bool {
	if !x.takesUpStream() {
		return true
	}
	origin := x.handler.config.Streams.Find(x.ctx, x.call.ResumedID, x.backend)
	x.recordOrigin(origin)
	if !origin.Known {
		x.refuse(http.StatusServiceUnavailable, Refusal{Reason: "cannot resume: the software version that began the stream is unknown; request it from its start", RetryAfter: defaultRetryAfter})
		return false
	}
	x.stream.software = origin.Software
	if x.route.Resumable {
		x.stream.position.lastID = x.call.LastEventID
	}
	return true
}

// takesUpStream reports whether the caller has received events of the stream before.
func (x *exchange) takesUpStream() bool {
	return x.route.Kind == document.Streaming && x.call.LastEventID != ""
}

// teamName returns the name of the team. It is empty if a request on a public
// route has no known key.
func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// priority returns the team's priority if it has one, else the route's.
func (x *exchange) priority() int {
	if x.team != nil && x.team.HasPriority {
		return x.team.Priority
	}
	return x.route.Priority
}

// placeRequest describes the request to the scheduler.
func (x *exchange) placeRequest() balance.Request {
	request := balance.Request{
		Backend:       x.backend,
		FailureDomain: x.handler.config.FailureDomain,
		BodyBytes:     x.bodyBytes + x.call.HeaderBytes,
		Priority:      x.priority(),
		RoutePriority: x.route.Priority,
		EventGap:      x.route.EventGapTarget,
		Started:       x.stream.headSent || x.takesUpStream(),
		Software:      x.stream.software,
		Exclude:       x.attempts.exclude,
		AvoidDomains:  x.attempts.avoidDomains(),
	}
	if prompt := x.call.Prompt; prompt != nil {
		request.Parts = prompt.Parts
		request.Output = prompt.MaxOutput
		if prompt.ExpectedOutput > 0 {
			request.Output = prompt.ExpectedOutput
		}
	}
	return request
}

// refuse answers the request with a status and reason from this daemon.
func (x *exchange) refuse(status int, refusal Refusal) {
	header := x.w.Header()
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	x.trace.setResult(status, refusal.Reason)
	x.drainBody()
	x.writeHead(status)
	_, err := io.WriteString(x.w, refusal.Reason+"\n")
	x.whole = err == nil
}

// callerLeft reports whether the caller has disconnected.
func (x *exchange) callerLeft() bool {
	return x.r.Context().Err() != nil
}

// isAbandoned reports whether the daemon ends the request, though its caller waits.
func (x *exchange) isAbandoned() bool {
	return x.handler.abandoned.Err() != nil && !x.callerLeft()
}

// timeLeft returns the time until the deadline.
func (x *exchange) timeLeft() clock.Millis {
	return x.deadline - x.handler.config.Clock.Now()
}
