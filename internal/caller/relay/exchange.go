package relay

import (
	"io"
	"net/http"
	"strconv"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
)

const (
	// staleRetry is the Retry-After of a daemon that cannot tell which
	// configuration is in force.
	staleRetry = 500 * clock.Millisecond
	// answerMargin is how long after its deadline a request still waits for
	// the endpoint's own answer.
	answerMargin = 60 * clock.Millisecond
)

// exchange is one request of a caller from its head to the end of its answer.
type exchange struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	arrived clock.Millis

	call Call
	// configuration is what was in force when the request came.
	configuration Configuration

	route *document.Route
	team  *document.Team
	body  []byte
	// bodyEnded says that the body was read to its end, whether it is kept
	// or not.
	bodyEnded bool
	// backend is the name of the back end that the request goes to.
	backend  string
	deadline clock.Millis

	attempts attempts
	stream   streamState
	began    bool
	trace    trace
}

// serve passes the request through the filters; each ends it or lets it pass.
func (x *exchange) serve() {
	defer x.finish()
	for _, filter := range []func() bool{x.read, x.find, x.authenticate, x.readBody} {
		if !filter() {
			return
		}
	}
	x.forward()
}

// read decodes the head of the request.
func (x *exchange) read() bool {
	call, err := x.handler.config.Wire.DecodeCall(x.r)
	if err != nil {
		x.refuse(http.StatusBadRequest, Refusal{Reason: err.Error()})
		return false
	}
	x.call = call
	return true
}

// find looks up the route.
func (x *exchange) find() bool {
	config := x.handler.config.Configuration()
	x.configuration = config
	if config.Index == nil {
		x.refuse(http.StatusServiceUnavailable, Refusal{Reason: "no configuration is known yet", RetryAfter: staleRetry})
		return false
	}
	if config.Isolated {
		x.refuse(http.StatusServiceUnavailable, Refusal{Reason: "neither the store nor other daemons confirm the configuration", RetryAfter: staleRetry})
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
	x.backend = route.Pick(x.call.ID)
	x.setDeadline()
	x.trace.version = config.Index.Version()
	return true
}

// setDeadline takes the caller's and the route's limit, whichever is nearer.
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

// deny refuses for good what the configuration does not allow; a daemon that
// cannot tell whether a newer configuration does, refuses for now.
func (x *exchange) deny(status int, reason string) {
	if !x.configuration.Current {
		x.refuse(http.StatusServiceUnavailable, Refusal{Reason: "configuration may be outdated: " + reason, RetryAfter: staleRetry})
		return
	}
	x.refuse(status, Refusal{Reason: reason})
}

// authenticate finds the team of the key.
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

// teamName returns the name of the team, empty on public routes without one.
func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// priority is the team's where it has one, else the route's.
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
		BodyBytes:     len(x.body) + x.call.HeaderBytes,
		Priority:      x.priority(),
		Started:       x.stream.started,
		Exclude:       x.attempts.tried,
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

// refuse ends the request with a status of our own.
func (x *exchange) refuse(status int, refusal Refusal) {
	header := x.w.Header()
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	x.trace.end(status, refusal.Reason)
	x.leaveBody()
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, refusal.Reason+"\n")
}

// timeLeft returns the time until the deadline.
func (x *exchange) timeLeft() clock.Millis {
	return x.deadline - x.handler.config.Clock.Now()
}
