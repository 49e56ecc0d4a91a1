package plain

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/claim"
	"github.com/banyanshift/banyanshift/internal/caller/entry"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/endpoint/service"
)

const (
	// maxAttempts bounds how often one call is dispatched.
	maxAttempts = 4
	// callTimeout bounds one call of a service.
	callTimeout = 60 * clock.Second
	// maxAnswerBytes is the largest answer; answers are held whole, so that
	// none is passed on in part.
	maxAnswerBytes = 16 << 20
	// retryAfterFailure is what a caller is told whose call failed.
	retryAfterFailure = 2 * clock.Second
)

var errAnswerTooLarge = errors.New("answer too large")

// call is one caller's call on its way through one or more endpoints.
type call struct {
	handler *Handler
	x       *entry.Exchange
	exclude []string
}

func newCall(h *Handler, x *entry.Exchange) *call {
	return &call{handler: h, x: x}
}

// serveRepeatable sends the call until an endpoint answers it whole.
func (c *call) serveRepeatable() error {
	mayHaveRun := false
	grant, err := c.acquire()
	for attempts := 1; ; attempts++ {
		if err != nil {
			return c.x.FinalError(err, mayHaveRun)
		}
		var answer claim.Answer
		answer, err = c.attempt(c.x.Context, grant)
		if err == nil {
			c.meter()
			return c.send(answer)
		}
		if c.x.Context.Err() != nil {
			return c.x.FinalError(err, true)
		}
		mayHaveRun = mayHaveRun || !notRun(err)
		c.failed(grant, err)
		if attempts >= maxAttempts || !c.handler.deps.TakeRetry(c.x.Request) {
			return c.x.FinalError(endpointFailed(), mayHaveRun)
		}
		grant, err = c.reacquire()
	}
}

// serveOnce hands the call to an endpoint at most once. Only while no endpoint
// can have run it, another one is tried.
func (c *call) serveOnce(claimed *claimant) error {
	grant, err := c.acquire()
	for attempts := 1; err == nil; attempts++ {
		var done bool
		done, err = c.attemptOnce(grant, claimed)
		if done {
			return err
		}
		if attempts >= maxAttempts {
			err = endpointFailed()
			break
		}
		grant, err = c.reacquire()
	}
	claimed.abandon()
	return c.x.FinalError(err, false)
}

// attemptOnce claims the call if that is not done yet and hands it over. done
// is false when the call surely did not run and may be tried elsewhere.
func (c *call) attemptOnce(grant *request.Grant, claimed *claimant) (done bool, err error) {
	replay, err := claimed.begin(c.x)
	if err != nil || replay != nil {
		c.handler.deps.Scheduler.Release(grant, request.Outcome{})
		if err != nil {
			return true, c.x.FinalError(err, false)
		}
		return true, c.send(*replay)
	}
	if c.x.Context.Err() != nil {
		c.handler.deps.Scheduler.Release(grant, request.Outcome{})
		claimed.abandon()
		return true, c.x.FinalError(context.Cause(c.x.Context), false)
	}
	ctx, cancel := detached(c.x.Context, callTimeout)
	defer cancel()
	answer, err := c.attempt(ctx, grant)
	if err == nil {
		claimed.finish(answer)
		c.meter()
		return true, c.send(answer)
	}
	c.failed(grant, err)
	if notRun(err) {
		return false, nil
	}
	claimed.lose()
	return true, c.x.FinalError(endpointFailed(), true)
}

func (c *call) acquire() (*request.Grant, error) {
	return c.handler.deps.Scheduler.Acquire(c.x.Context, c.x.Request)
}

func (c *call) reacquire() (*request.Grant, error) {
	return c.handler.deps.Scheduler.Reacquire(c.x.Context, c.x.Request, c.exclude)
}

func (c *call) failed(grant *request.Grant, err error) {
	c.exclude = append(c.exclude, grant.Endpoint.ID)
	eventCallFailed.Log(c.handler.deps.Logger, logrus.Fields{
		"RequestId": c.x.Request.ID, "Endpoint": grant.Endpoint.ID, "NotRun": notRun(err), "Error": err.Error(),
	})
}

func notRun(err error) bool {
	var failure *service.CallError
	return errors.As(err, &failure) && failure.NotRun
}

// attempt sends the call to one endpoint and reads the whole answer.
func (c *call) attempt(ctx context.Context, grant *request.Grant) (answer claim.Answer, err error) {
	deps := c.handler.deps
	started := deps.Clock.Now()
	defer func() {
		deps.Scheduler.Release(grant, request.Outcome{
			Failed: err != nil && c.x.Context.Err() == nil, PromptTokens: 1, Duration: deps.Clock.Now() - started,
		})
	}()
	got, err := deps.Service.Do(ctx, grant.Endpoint, c.outgoing())
	if err != nil {
		return answer, err
	}
	return readWhole(grant.Endpoint, got)
}

func (c *call) outgoing() service.Call {
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

// readWhole reads the whole body of an answer. An end before its length is an
// error.
func readWhole(endpoint entity.Endpoint, got service.Answer) (answer claim.Answer, err error) {
	defer func() { _ = got.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(got.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errAnswerTooLarge
	}
	if err != nil {
		return answer, &service.CallError{Endpoint: endpoint.ID, Err: err}
	}
	return claim.Answer{Status: got.Status, Header: got.Header, Body: body}, nil
}

// send passes an answer to the caller.
func (c *call) send(answer claim.Answer) error {
	header := c.x.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set("Request-Id", c.x.Request.ID)
	c.x.SendHeader(answer.Status)
	if len(answer.Body) == 0 {
		return nil
	}
	return c.x.Write(answer.Body)
}

func (c *call) meter() {
	c.handler.deps.RecordUsage(c.x.Request, 0, 0)
}

func endpointFailed() error {
	return &request.Refusal{
		Status: http.StatusBadGateway, Code: request.CodeEndpointFailed, Run: request.RunNot,
		RetryAfter: retryAfterFailure, Message: "The service did not answer as it should.",
	}
}
