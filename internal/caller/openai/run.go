package openai

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/entry"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/endpoint/engine"
)

const (
	// maxAttempts bounds how often one request is dispatched.
	maxAttempts = 6
	// progressTokens is how many tokens are charged at a time.
	progressTokens = 16
	// retryAfterFailure is what a caller is told whose request failed.
	retryAfterFailure = 2 * clock.Second
)

// Causes that end an attempt from outside.
var (
	errPreempted = errors.New("slot taken back")
	errStalled   = errors.New("engine stalled")
)

// run is one request on its way through one or more engines.
type run struct {
	handler *Handler
	x       *entry.Exchange
	dialect dialect
	parsed  parsedBody

	text         strings.Builder
	tokens       int
	promptTokens int
	finishReason string
	firstTokenAt clock.Millis
	attempts     int
	failures     int
	mayHaveRun   bool
	exclude      []string
}

func newRun(h *Handler, x *entry.Exchange, d dialect, parsed parsedBody) *run {
	return &run{handler: h, x: x, dialect: d, parsed: parsed, promptTokens: x.Request.PromptTokens}
}

// serve runs the request to its end, on as many engines as it takes.
func (r *run) serve() error {
	deps := r.handler.deps
	defer r.meter()
	grant, err := deps.Scheduler.Acquire(r.x.Context, r.x.Request)
	for {
		if err != nil {
			return r.end(err)
		}
		err = r.attempt(grant)
		if err == nil {
			return r.finish()
		}
		if err := r.mayGoOn(grant, err); err != nil {
			return r.end(err)
		}
		grant, err = deps.Scheduler.Reacquire(r.x.Context, r.x.Request, r.exclude)
	}
}

// mayGoOn returns nil when the request may be dispatched again after err.
func (r *run) mayGoOn(grant *request.Grant, err error) error {
	var failure *engine.StreamError
	switch {
	case errors.Is(err, errPreempted):
		resumed.Add("Preempted", 1)
		return nil
	case errors.Is(err, errStalled):
	case !errors.As(err, &failure):
		return err
	case failure.Rejected:
		return entry.BadRequest("The engine refused the request: " + failure.Message)
	}
	r.failures++
	r.exclude = append(r.exclude, grant.Endpoint.ID)
	eventAttemptFailed.Log(r.handler.deps.Logger, logrus.Fields{
		"RequestId": r.x.Request.ID, "Endpoint": grant.Endpoint.ID, "Token": r.tokens, "Error": err.Error(),
	})
	if r.failures >= maxAttempts || !r.handler.deps.TakeRetry(r.x.Request) {
		return r.failed("The engines did not answer as they should.")
	}
	resumed.Add("Failed", 1)
	return nil
}

func (r *run) runState() request.RunState {
	if r.mayHaveRun {
		return request.RunUnknown
	}
	return request.RunNot
}

func (r *run) failed(message string) error {
	return &request.Refusal{
		Status: http.StatusBadGateway, Code: request.CodeEndpointFailed, Run: r.runState(),
		RetryAfter: retryAfterFailure, Message: message,
	}
}

// attempt runs the request on one engine until the end of the answer or an error.
func (r *run) attempt(grant *request.Grant) (err error) {
	deps := r.handler.deps
	started := deps.Clock.Now()
	tokensBefore := r.tokens
	r.attempts++
	ctx, cancel := context.WithCancelCause(r.x.Context)
	defer cancel(nil)
	g := newGuard(deps, r.x.Request, grant, cancel)
	go g.run(ctx)
	defer func() {
		deps.Scheduler.Release(grant, r.outcome(err, started, tokensBefore))
	}()
	stream, err := deps.Engine.Start(ctx, grant.Endpoint, engine.Call{
		RequestID:   r.x.Request.ID,
		Path:        r.dialect.path,
		Body:        r.parsed.fields,
		Priority:    grant.EnginePriority,
		ResumeToken: r.tokens,
		ResumeText:  r.text.String(),
	})
	if err != nil {
		r.noteRun(err)
		return cause(ctx, err)
	}
	defer stream.Close()
	r.mayHaveRun = true
	return cause(ctx, r.relay(stream, grant, g))
}

// noteRun remembers that the request may have run after a failed start.
func (r *run) noteRun(err error) {
	var failure *engine.StreamError
	if !errors.As(err, &failure) || !failure.NotRun {
		r.mayHaveRun = true
	}
}

// cause replaces an error by what ended the attempt from outside.
func cause(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// relay passes the stream on until its end.
func (r *run) relay(stream *engine.Stream, grant *request.Grant, g *guard) error {
	charged := r.tokens
	defer func() {
		if r.tokens > charged {
			r.handler.deps.Scheduler.ChargeTokens(grant, r.tokens-charged)
		}
	}()
	for {
		chunk, err := stream.Next()
		if err != nil {
			return err
		}
		g.touch()
		if chunk.Done {
			return nil
		}
		if err := r.take(chunk); err != nil {
			return err
		}
		if r.tokens-charged >= progressTokens {
			r.handler.deps.Scheduler.ChargeTokens(grant, r.tokens-charged)
			charged = r.tokens
		}
	}
}

// take adds a chunk to the answer and passes it on to a streaming caller.
func (r *run) take(chunk engine.Chunk) error {
	if chunk.Usage != nil {
		r.promptTokens = chunk.Usage.PromptTokens
	}
	if chunk.FinishReason != "" {
		r.finishReason = chunk.FinishReason
	}
	if r.parsed.stream {
		if err := r.send(chunk.Data); err != nil {
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
	r.text.WriteString(chunk.Text)
	return nil
}

// callerGoneError says that the answer could not be passed on.
type callerGoneError struct {
	err error
}

// Error implements error.
func (e *callerGoneError) Error() string { return "write to caller: " + e.err.Error() }

// Unwrap returns the cause.
func (e *callerGoneError) Unwrap() error { return e.err }

var (
	eventStart = []byte("data: ")
	eventEnd   = []byte("\n\n")
	doneEvent  = []byte("data: [DONE]\n\n")
)

func (r *run) send(data []byte) error {
	if !r.x.HeaderSent() {
		r.x.Header().Set("Content-Type", "text/event-stream")
		r.x.Header().Set("Cache-Control", "no-cache")
		r.x.SendHeader(http.StatusOK)
	}
	event := make([]byte, 0, len(data)+len(eventStart)+len(eventEnd))
	event = append(event, eventStart...)
	event = append(event, data...)
	event = append(event, eventEnd...)
	if err := r.x.Write(event); err != nil {
		return err
	}
	return r.x.Flush()
}

// outcome tells the scheduler how an attempt ended.
func (r *run) outcome(err error, started clock.Millis, tokensBefore int) request.Outcome {
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

// finish sends the end of the answer.
func (r *run) finish() error {
	observeCompletion(r.x.Request)
	if r.parsed.stream {
		if err := r.x.Write(doneEvent); err != nil {
			return &callerGoneError{err: err}
		}
		return nil
	}
	body, err := json.Marshal(wholeAnswer{
		ID:      r.x.Request.ID,
		Object:  r.dialect.object,
		Created: int64(r.handler.deps.Clock.Wall() / clock.Second),
		Model:   r.parsed.model,
		Choices: []any{r.dialect.choice(r.text.String(), r.finishReason)},
		Usage: engine.Usage{
			PromptTokens: r.promptTokens, CompletionTokens: r.tokens, TotalTokens: r.promptTokens + r.tokens,
		},
	})
	if err != nil {
		return err
	}
	r.x.Header().Set("Content-Type", "application/json")
	r.x.SendHeader(http.StatusOK)
	return r.x.Write(body)
}

// end tells a streaming caller what ended the request early.
func (r *run) end(err error) error {
	err = r.x.FinalError(err, r.mayHaveRun)
	var refusal *request.Refusal
	if errors.As(err, &refusal) && r.x.HeaderSent() {
		_ = r.send(entry.EncodeRefusal(refusal))
	}
	return err
}

// meter records what the caller was given.
func (r *run) meter() {
	if r.tokens > 0 {
		r.handler.deps.RecordUsage(r.x.Request, r.promptTokens, r.tokens)
	}
}
