package plain

import (
	"context"
	"errors"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/body"
	"github.com/banyanshift/banyanshift/internal/caller/entry"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/service"
)

const (
	// maxAttempts is the maximum number of dispatches of one call.
	maxAttempts = 4
	// callTimeout is the maximum duration of a call that may run only once. It
	// continues when the caller disconnects.
	callTimeout = 60 * clock.Second
	// maxAnswerBytes is the maximum size of an answer. Answers are buffered, so
	// that the caller never gets a partial one, unless there is no memory for that.
	maxAnswerBytes = 16 << 20
	// retryAfterFailure is the Retry-After of a failed call.
	retryAfterFailure = 2 * clock.Second
)

// call runs one request of a caller on one or more endpoints in turn.
type call struct {
	handler           *Handler
	x                 *entry.Exchange
	excludedEndpoints []string
	// memory is what the answer takes.
	memory memory.Reservation
}

func newCall(h *Handler, x *entry.Exchange) *call {
	return &call{handler: h, x: x, memory: x.ReserveAnswer(memory.Answer)}
}

// serveRepeatable sends the call until an endpoint answers it completely or the
// retries are used up.
func (c *call) serveRepeatable() error {
	mayHaveRun := false
	grant, err := c.acquire()
	for attempts := 1; ; attempts++ {
		if err != nil {
			return c.x.FinalError(err, mayHaveRun)
		}
		var answer callAnswer
		answer, err = c.attempt(c.x.Context, grant)
		if err == nil {
			c.recordUsage()
			return c.send(answer)
		}
		if c.x.HeaderSent() {
			c.recordFailure(grant, err)
			return err
		}
		if c.x.Context.Err() != nil {
			return c.x.FinalError(err, true)
		}
		mayHaveRun = mayHaveRun || !notRun(err)
		c.recordFailure(grant, err)
		if attempts >= maxAttempts || !c.handler.deps.TakeRetry(c.x.Request) {
			return c.x.FinalError(endpointFailedRefusal(), mayHaveRun)
		}
		grant, err = c.reacquire()
	}
}

// serveAtMostOnce runs the call at most once. It tries another endpoint only if
// the ones before certainly did not run the call.
func (c *call) serveAtMostOnce(claimed *callClaim) error {
	grant, err := c.acquire()
	for attempts := 1; err == nil; attempts++ {
		var done bool
		done, err = c.attemptAtMostOnce(grant, claimed)
		if done {
			return err
		}
		if attempts >= maxAttempts {
			err = endpointFailedRefusal()
			break
		}
		grant, err = c.reacquire()
	}
	claimed.release()
	return c.x.FinalError(err, false)
}

// attemptAtMostOnce claims the call if it is unclaimed and sends it. done
// is false when the call certainly did not run and may be sent to another
// endpoint.
func (c *call) attemptAtMostOnce(grant *request.Grant, claimed *callClaim) (done bool, err error) {
	replay, err := claimed.begin(c.x)
	if err != nil || replay != nil {
		c.handler.deps.Scheduler.Release(grant, request.Outcome{})
		if err != nil {
			return true, c.x.FinalError(err, false)
		}
		return true, c.send(callAnswer{Answer: *replay})
	}
	if c.x.Context.Err() != nil {
		c.handler.deps.Scheduler.Release(grant, request.Outcome{})
		claimed.release()
		return true, c.x.FinalError(context.Cause(c.x.Context), false)
	}
	ctx, cancel := detachContext(c.x.Context, callTimeout)
	defer cancel()
	answer, err := c.attempt(ctx, grant)
	if err == nil {
		claimed.finish(answer)
		c.recordUsage()
		return true, c.send(answer)
	}
	c.recordFailure(grant, err)
	if notRun(err) {
		return false, nil
	}
	claimed.markLost()
	if c.x.HeaderSent() {
		return true, err
	}
	return true, c.x.FinalError(endpointFailedRefusal(), true)
}

func (c *call) acquire() (*request.Grant, error) {
	return c.handler.deps.Scheduler.Acquire(c.x.Context, c.x.Request)
}

func (c *call) reacquire() (*request.Grant, error) {
	return c.handler.deps.Scheduler.Reacquire(c.x.Context, c.x.Request, c.excludedEndpoints)
}

func (c *call) recordFailure(grant *request.Grant, err error) {
	c.excludedEndpoints = append(c.excludedEndpoints, grant.Endpoint.ID)
	eventCallFailed.Log(c.handler.deps.Logger, logrus.Fields{
		"RequestId": c.x.Request.ID, "Endpoint": grant.Endpoint.ID, "NotRun": notRun(err), "Error": err.Error(),
	})
}

func notRun(err error) bool {
	var failure *service.CallError
	return errors.As(err, &failure) && failure.NotRun
}

// attempt sends the call to one endpoint and reads the complete answer, or forwards it if it does not
// fit into the memory that is left.
func (c *call) attempt(ctx context.Context, grant *request.Grant) (read callAnswer, err error) {
	deps := c.handler.deps
	started := deps.Clock.Now()
	defer func() {
		deps.Scheduler.Release(grant, request.Outcome{
			Failed: err != nil && c.x.Context.Err() == nil, PromptTokens: 1, Duration: deps.Clock.Now() - started,
		})
	}()
	got, err := deps.Service.Do(ctx, grant.Endpoint, c.serviceCall())
	if err != nil {
		return read, err
	}
	defer func() { _ = got.Body.Close() }()
	read, err = c.readAnswer(ctx, got)
	if errors.Is(err, body.ErrNoMemory) {
		err = c.forwardLong(got, read.Body)
		read = callAnswer{isSent: true}
	}
	if err != nil {
		return callAnswer{}, &service.CallError{Endpoint: grant.Endpoint.ID, Err: err}
	}
	return read, nil
}

func (c *call) serviceCall() service.Call {
	r := c.x.HTTP
	uri := r.URL.EscapedPath()
	if r.URL.RawQuery != "" {
		uri += "?" + r.URL.RawQuery
	}
	return service.Call{
		RequestID:  c.x.Request.ID,
		Method:     r.Method,
		URI:        uri,
		Header:     r.Header,
		Body:       c.x.Body,
		Team:       c.x.Request.Team,
		Class:      c.x.Request.Class,
		AtMostOnce: !c.x.Request.Repeatable,
	}
}

func (c *call) recordUsage() {
	c.handler.deps.RecordUsage(c.x.Request, 0, 0)
}

func endpointFailedRefusal() error {
	return &request.Refusal{
		Status: http.StatusBadGateway, Code: request.CodeEndpointFailed, Run: request.RunNot,
		RetryAfter: retryAfterFailure, Message: "The service did not answer as it should.",
	}
}
