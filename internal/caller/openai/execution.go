package openai

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/entry"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/engine"
)

const (
	// maxAttempts limits how many failed attempts one request may have.
	maxAttempts = 6
	// chargeBatchTokens is the number of tokens that are charged at a time.
	chargeBatchTokens = 16
	// retryAfterFailure is the Retry-After of a failed request.
	retryAfterFailure = 2 * clock.Second
)

// Causes with which the attemptMonitor cancels an attempt.
var (
	errPreempted = errors.New("slot was preempted")
	errStalled   = errors.New("engine stalled")
)

// execution runs one request on one or more engines in turn.
type execution struct {
	handler *Handler
	x       *entry.Exchange
	api     apiVariant
	parsed  parsedBody

	text              keptText
	tokens            int
	promptTokens      int
	finishReason      string
	firstTokenAt      clock.Millis
	attempts          int
	failures          int
	mayHaveRun        bool
	answerSent        bool
	sentOtherContent  bool
	excludedEndpoints []string
}

func newExecution(h *Handler, x *entry.Exchange, api apiVariant, parsed parsedBody) *execution {
	return &execution{
		handler: h, x: x, api: api, parsed: parsed, promptTokens: x.Request.PromptTokens,
		text: keptText{memory: x.ReserveAnswer(memory.Answer)},
	}
}

// serve runs the request until it completes or may not be retried.
func (r *execution) serve() error {
	deps := r.handler.deps
	defer r.text.memory.Release()
	defer r.recordUsage()
	grant, err := deps.Scheduler.Acquire(r.x.Context, r.x.Request)
	for {
		if err != nil {
			return r.fail(err)
		}
		err = r.ignoreLateFailure(grant, r.attempt(grant))
		if err == nil {
			return r.finish()
		}
		if err := r.checkRetry(grant, err); err != nil {
			return r.fail(err)
		}
		grant, err = deps.Scheduler.Reacquire(r.x.Context, r.x.Request, r.excludedEndpoints)
	}
}

// ignoreLateFailure returns nil if err is the failure of an engine that had sent
// its finish reason, because the answer is whole then. Otherwise it returns err.
func (r *execution) ignoreLateFailure(grant *request.Grant, err error) error {
	if r.finishReason == "" || !isEngineFailure(err) {
		return err
	}
	r.logFailure(grant, err)
	return nil
}

// isEngineFailure reports whether an attempt failed because of its engine or slot.
func isEngineFailure(err error) bool {
	var failure *engine.StreamError
	return errors.Is(err, errPreempted) || errors.Is(err, errStalled) || errors.As(err, &failure)
}

func (r *execution) logFailure(grant *request.Grant, err error) {
	eventAttemptFailed.Log(r.handler.deps.Logger, logrus.Fields{
		"RequestId": r.x.Request.ID, "Endpoint": grant.Endpoint.ID, "Token": r.tokens, "Error": err.Error(),
	})
}

// checkRetry returns nil when the request may be dispatched again after err.
func (r *execution) checkRetry(grant *request.Grant, err error) error {
	var failure *engine.StreamError
	switch {
	case (r.sentOtherContent || r.text.dropped) && isEngineFailure(err):
		r.logFailure(grant, err)
		return r.failureRefusal("The engine broke off an answer that no other engine can continue.")
	case errors.Is(err, errPreempted):
		resumedStreams.Add("Preempted", 1)
		return nil
	case errors.Is(err, errStalled):
	case !errors.As(err, &failure):
		return err
	case failure.Rejected && !r.hasBegun():
		return entry.BadRequest("The engine refused the request: " + failure.Message)
	}
	r.failures++
	r.excludedEndpoints = append(r.excludedEndpoints, grant.Endpoint.ID)
	r.logFailure(grant, err)
	if r.failures >= maxAttempts || !r.handler.deps.TakeRetry(r.x.Request) {
		return r.failureRefusal("The engines did not answer as they should.")
	}
	resumedStreams.Add("Failed", 1)
	return nil
}

// hasBegun reports whether an engine has accepted the request and sent a part of
// the response, so that one that refuses to continue it says nothing of the caller.
func (r *execution) hasBegun() bool {
	return r.tokens > 0 || r.x.HeaderSent()
}

func (r *execution) runState() request.RunState {
	if r.mayHaveRun {
		return request.RunUnknown
	}
	return request.RunNot
}

func (r *execution) failureRefusal(message string) error {
	return &request.Refusal{
		Status: http.StatusBadGateway, Code: request.CodeEndpointFailed, Run: r.runState(),
		RetryAfter: retryAfterFailure, Message: message,
	}
}

// attempt runs the request on one engine until the response ends or fails.
func (r *execution) attempt(grant *request.Grant) (err error) {
	deps := r.handler.deps
	started := deps.Clock.Now()
	tokensBefore := r.tokens
	r.attempts++
	ctx, cancel := context.WithCancelCause(r.x.Context)
	defer cancel(nil)
	monitor := newAttemptMonitor(deps, r.x.Request, grant, cancel)
	go monitor.run(ctx)
	defer func() {
		deps.Scheduler.Release(grant, r.outcome(err, started, tokensBefore))
	}()
	stream, err := deps.Engine.Start(ctx, grant.Endpoint, engine.Call{
		RequestID:   r.x.Request.ID,
		Path:        r.api.path,
		Body:        r.parsed.fields,
		Priority:    grant.EnginePriority,
		ResumeToken: r.tokens,
		ResumeText:  r.text.String(),
	})
	if err != nil {
		r.recordStartFailure(err)
		return cause(ctx, err)
	}
	defer stream.Close()
	r.mayHaveRun = true
	return cause(ctx, r.relay(stream, grant, monitor))
}

// recordStartFailure records that the request may have run, unless the engine
// reported that it did not.
func (r *execution) recordStartFailure(err error) {
	var failure *engine.StreamError
	if !errors.As(err, &failure) || !failure.NotRun {
		r.mayHaveRun = true
	}
}

// cause returns the cause of ctx's cancellation instead of err when ctx was
// canceled, because err is then only a consequence of it.
func cause(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// relay forwards the stream to the caller until it ends.
func (r *execution) relay(stream *engine.Stream, grant *request.Grant, monitor *attemptMonitor) error {
	charged := r.tokens
	defer func() {
		if r.tokens > charged {
			r.handler.deps.Scheduler.ChargeTokens(grant, r.tokens-charged)
		}
	}()
	for {
		monitor.awaitEngine()
		chunk, err := stream.Next()
		if err != nil {
			return err
		}
		monitor.recordActivity()
		if chunk.Done {
			return nil
		}
		if err := r.handleChunk(chunk); err != nil {
			return err
		}
		if r.tokens-charged >= chargeBatchTokens {
			r.handler.deps.Scheduler.ChargeTokens(grant, r.tokens-charged)
			charged = r.tokens
		}
	}
}

// handleChunk adds a chunk to the response and forwards it to a streaming caller.
func (r *execution) handleChunk(chunk engine.Chunk) error {
	if chunk.Usage != nil {
		r.promptTokens = chunk.Usage.PromptTokens
	}
	if chunk.FinishReason != "" {
		r.finishReason = chunk.FinishReason
	}
	if r.parsed.stream && !r.repeatsStart(chunk) {
		r.sentOtherContent = r.sentOtherContent || chunk.HasOtherContent
		if err := r.sendEvent(chunk.Data); err != nil {
			return &callerGoneError{err: err}
		}
	}
	if chunk.Text == "" {
		return nil
	}
	if r.tokens == 0 {
		r.firstTokenAt = r.handler.deps.Clock.Now()
		observeFirstToken(r.x.Request, r.firstTokenAt-r.x.Request.Arrived)
	}
	r.tokens++
	r.text.add(r.x.Context, chunk.Text)
	if r.text.dropped && !r.parsed.stream {
		return r.failureRefusal("This daemon has no memory left for the answer.")
	}
	return nil
}

// repeatsStart reports whether a chunk has no content and was sent by an engine
// that continues the stream. Engines send such a chunk, which states the role, at
// the start.
func (r *execution) repeatsStart(chunk engine.Chunk) bool {
	continues := r.attempts > 1 && r.x.HeaderSent()
	return continues && chunk.Text == "" && !chunk.HasOtherContent && chunk.FinishReason == "" && chunk.Usage == nil
}

// callerGoneError reports that the response could not be written to the caller.
type callerGoneError struct {
	err error
}

// Error implements error.
func (e *callerGoneError) Error() string { return "write to caller: " + e.err.Error() }

// Unwrap returns the cause.
func (e *callerGoneError) Unwrap() error { return e.err }

var (
	eventPrefix = []byte("data: ")
	eventSuffix = []byte("\n\n")
	doneEvent   = []byte("data: [DONE]\n\n")
)

func (r *execution) sendEvent(data []byte) error {
	if !r.x.HeaderSent() {
		r.x.Header().Set("Content-Type", "text/event-stream")
		r.x.Header().Set("Cache-Control", "no-cache")
		r.x.SendHeader(http.StatusOK)
	}
	event := make([]byte, 0, len(data)+len(eventPrefix)+len(eventSuffix))
	event = append(event, eventPrefix...)
	event = append(event, data...)
	event = append(event, eventSuffix...)
	if err := r.x.Write(event); err != nil {
		return err
	}
	return r.x.Flush()
}

// outcome returns the result of an attempt for the scheduler.
func (r *execution) outcome(err error, started clock.Millis, tokensBefore int) request.Outcome {
	now := r.handler.deps.Clock.Now()
	outcome := request.Outcome{
		PromptTokens: r.promptTokens,
		OutputTokens: r.tokens - tokensBefore,
		Duration:     now - started,
		Preempted:    errors.Is(err, errPreempted),
	}
	if r.firstTokenAt >= started && tokensBefore == 0 && r.tokens > 0 {
		outcome.TimeToFirstToken = r.firstTokenAt - started
	}
	var failure *engine.StreamError
	if errors.As(err, &failure) {
		outcome.Failed = !failure.Rejected
	}
	if errors.Is(err, errStalled) {
		outcome.Failed = true
	}
	return outcome
}

// finish ends the stream, or sends the complete response to a caller that does
// not stream.
func (r *execution) finish() error {
	observeCompletion(r.x.Request)
	if r.parsed.stream {
		if err := r.x.Write(doneEvent); err != nil {
			return &callerGoneError{err: err}
		}
		return nil
	}
	body, err := json.Marshal(completionResponse{
		ID:      r.x.Request.ID,
		Object:  r.api.responseObject,
		Created: int64(r.handler.deps.Clock.Wall() / clock.Second),
		Model:   r.parsed.model,
		Choices: []any{r.api.choice(r.text.String(), r.finishReason)},
		Usage: engine.Usage{
			PromptTokens: r.promptTokens, CompletionTokens: r.tokens, TotalTokens: r.promptTokens + r.tokens,
		},
	})
	if err != nil {
		return err
	}
	r.x.Header().Set("Content-Type", "application/json")
	if err := r.x.SendAnswer(http.StatusOK, body); err != nil {
		return &callerGoneError{err: err}
	}
	r.answerSent = true
	return nil
}

// fail returns the final error. When the response has started, it also sends
// the error as the last event of the stream.
func (r *execution) fail(err error) error {
	err = r.x.FinalError(err, r.mayHaveRun)
	var refusal *request.Refusal
	if errors.As(err, &refusal) && r.x.HeaderSent() {
		_ = r.sendEvent(entry.EncodeRefusal(refusal))
	}
	return err
}

// recordUsage records the tokens that were sent to the caller for billing. A
// caller that does not stream gets all tokens or none.
func (r *execution) recordUsage() {
	sent := r.parsed.stream || r.answerSent
	if sent && r.tokens > 0 {
		r.handler.deps.RecordUsage(r.x.Request, r.promptTokens, r.tokens)
	}
}
