package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/standin/engine"
	"github.com/banyanshift/banyanshift/internal/standin/service"
)

const maxResponseBytes = 16 << 20

// send sends a call once and compares the response with the expected one.
func (l *Load) send(call *Call, flow Flow) Attempt {
	ctx, cancel := context.WithCancel(l.requestCtx)
	defer cancel()
	id, url := l.config.Balancer.pick()
	a := Attempt{Daemon: id, Sent: l.clock.Wall()}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := call.request(httptrace.WithClientTrace(ctx, trace), url, flow)
	if err == nil {
		var response *http.Response
		response, err = l.client.Do(request)
		if err == nil {
			l.verify(&a, call, flow, response)
			_ = response.Body.Close()
		}
	}
	if err != nil {
		a.Outcome, a.ConnectionBroken, a.Detail = Unknown, true, err.Error()
		if !connected.Load() {
			a.Outcome = NotSent
		}
	}
	if l.requestCtx.Err() != nil && a.Outcome == Unknown {
		a.Outcome, a.Detail = Cancelled, "the load ended"
	}
	a.Ended = l.clock.Wall()
	return a
}

// nonReplayableBody hides the type of the reader, so that http.Client cannot
// rewind the body and retry the request on its own.
type nonReplayableBody struct {
	io.Reader
}

// request builds the HTTP request of an attempt.
func (c *Call) request(ctx context.Context, base string, flow Flow) (*http.Request, error) {
	path, body := c.path, c.body
	if c.Type == entity.Model {
		path, body = c.modelBody(flow)
	}
	if flow.ForgeHeaders && c.Type == entity.Service {
		path += "&api_key=" + c.key.Secret
	}
	var reader io.Reader = http.NoBody
	if body != nil {
		reader = nonReplayableBody{bytes.NewReader(body)}
	}
	request, err := http.NewRequestWithContext(ctx, c.Method, base+path, reader)
	if err != nil {
		return nil, err
	}
	if body != nil {
		request.ContentLength = int64(len(body))
		request.Header.Set("Content-Type", "application/json")
	}
	c.setHeaders(request.Header, flow)
	return request, nil
}

func (c *Call) setHeaders(header http.Header, flow Flow) {
	if c.key.Secret != "" {
		header.Set("Authorization", "Bearer "+c.key.Secret)
	}
	if flow.Class != "" {
		header.Set("Class", flow.Class)
	}
	if c.IdempotencyKey != "" {
		header.Set("Idempotency-Key", c.IdempotencyKey)
	}
	if flow.ForgeHeaders {
		header.Set("Team", "forged")
		header.Set("Priority", "-5")
		header.Set("Request-Id", "forged")
		header.Set("X-Api-Key", c.key.Secret)
		header.Set("Cookie", "key="+c.key.Secret)
	}
}

// modelBody returns the path and body of a model request.
func (c *Call) modelBody(flow Flow) (path string, body []byte) {
	if flow.UseCompletionsAPI {
		return "/v1/completions", fmt.Appendf(nil, `{"model":%q,"prompt":%q,"stream":%v}`, c.Route, c.prompt, !flow.WholeAnswer)
	}
	return "/v1/chat/completions", fmt.Appendf(nil, `{"model":%q,"messages":[{"role":"user","content":%q}],"stream":%v}`,
		c.Route, c.prompt, !flow.WholeAnswer)
}

// verify sets the outcome of an attempt from its response.
func (l *Load) verify(a *Attempt, call *Call, flow Flow, response *http.Response) {
	a.Status = response.StatusCode
	a.RequestID = response.Header.Get("Request-Id")
	switch {
	case response.StatusCode >= 400:
		classifyRefusal(a, response)
	case call.Type == entity.Service:
		l.verifyService(a, call, flow, response)
	case flow.WholeAnswer:
		l.verifyWhole(a, call, response)
	default:
		l.verifyStream(a, call, response)
	}
}

// errorBody is an error in a response body or a stream event.
type errorBody struct {
	Error *struct {
		Message string `json:"message"`
		Code    any    `json:"code"`
	} `json:"error"`
}

// classifyRefusal reads the error response and its Run header, which states
// whether the request ran.
func classifyRefusal(a *Attempt, response *http.Response) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	a.ConnectionBroken = err != nil
	var body errorBody
	if json.Unmarshal(data, &body) == nil && body.Error != nil {
		a.Code, a.Detail = fmt.Sprint(body.Error.Code), body.Error.Message
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = clock.Millis(seconds * float64(clock.Second))
	}
	switch response.Header.Get("Run") {
	case "Not":
		a.Outcome = NotRun
	case "Unknown":
		a.Outcome = Unknown
	default:
		a.Outcome = Unknown
		a.MissingRunHeader = true
	}
}

func (l *Load) verifyService(a *Attempt, call *Call, flow Flow, response *http.Response) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	a.FirstTokenAt = l.clock.Wall()
	want := service.Answer(call.Method, flow.Path, call.Nonce, call.body)
	switch {
	case err != nil:
		a.Outcome, a.ConnectionBroken, a.Detail = Unknown, true, err.Error()
	case string(data) == want:
		a.Outcome = Completed
	case strings.HasPrefix(want, string(data)):
		a.Outcome, a.Detail = Truncated, string(data)
	default:
		a.Outcome, a.Detail = Wrong, "got "+excerpt(string(data))+" want "+want
	}
}

// completion is the part of a response or stream chunk that is compared.
type completion struct {
	Choices []struct {
		Text    string `json:"text"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	errorBody
}

// text returns the joined text and finish reasons of all choices.
func (c completion) text() (text, finish string) {
	for _, choice := range c.Choices {
		text += choice.Text + choice.Message.Content + choice.Delta.Content
		finish += choice.FinishReason
	}
	return text, finish
}

func (l *Load) verifyWhole(a *Attempt, call *Call, response *http.Response) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	a.FirstTokenAt = l.clock.Wall()
	if err != nil {
		a.Outcome, a.ConnectionBroken, a.Detail = Unknown, true, err.Error()
		return
	}
	var answer completion
	if err := json.Unmarshal(data, &answer); err != nil {
		a.Outcome, a.Detail = Wrong, err.Error()
		return
	}
	text, _ := answer.text()
	a.Tokens = len(strings.Fields(text))
	a.Outcome, a.Detail = compareText(text, engine.Answer(call.prompt, 0), true)
}

// compareText compares the received with the expected text. ended reports
// whether the response was marked as complete, by a finish reason for a stream.
func compareText(got, want string, ended bool) (Outcome, string) {
	switch {
	case got == want && ended:
		return Completed, ""
	case strings.HasPrefix(want, got):
		return Truncated, fmt.Sprintf("%d of %d tokens, ended: %v", len(strings.Fields(got)), len(strings.Fields(want)), ended)
	}
	at := 0
	for at < min(len(got), len(want)) && got[at] == want[at] {
		at++
	}
	return Wrong, fmt.Sprintf("differs after %d bytes: got %q want %q", at, excerpt(got[at:]), excerpt(want[at:]))
}

func excerpt(text string) string {
	const length = 60
	return text[:min(len(text), length)]
}

func (l *Load) verifyStream(a *Attempt, call *Call, response *http.Response) {
	events := NewEventReader(response.Body)
	want := engine.Answer(call.prompt, 0)
	var text strings.Builder
	ended, done := false, false
	for !done {
		data, err := events.Next()
		if err != nil {
			l.classifyStreamEnd(a, text.String(), want, ended, err)
			return
		}
		if string(data) == "[DONE]" {
			done = true
			continue
		}
		var chunk completion
		if err := json.Unmarshal(data, &chunk); err != nil {
			a.Outcome, a.Detail = Wrong, err.Error()
			return
		}
		if chunk.Error != nil {
			a.Outcome, a.Code, a.Detail = Unknown, fmt.Sprint(chunk.Error.Code), chunk.Error.Message
			if !strings.HasPrefix(want, text.String()) {
				a.Outcome, a.Detail = compareText(text.String(), want, false)
			}
			return
		}
		part, finish := chunk.text()
		text.WriteString(part)
		ended = ended || finish != ""
		if part != "" {
			a.recordToken(l.clock.Wall())
		}
		if call.cancelAfterTokens > 0 && a.Tokens >= call.cancelAfterTokens {
			a.Outcome = Cancelled
			return
		}
	}
	a.Outcome, a.Detail = compareText(text.String(), want, ended)
}

// recordToken records that a chunk of text arrived at now, counted as one token.
func (a *Attempt) recordToken(now clock.Millis) {
	a.Tokens++
	if a.FirstTokenAt == 0 {
		a.FirstTokenAt = now
	} else {
		a.LongestTokenGap = max(a.LongestTokenGap, now-a.LastTokenAt)
	}
	a.LastTokenAt = now
}

// classifyStreamEnd sets the outcome of a stream that ended without [DONE]. If
// the connection broke, it is unknown whether the request ran to its end; a
// regular end of the body is a truncated response.
func (l *Load) classifyStreamEnd(a *Attempt, got, want string, ended bool, err error) {
	outcome, detail := compareText(got, want, ended)
	if outcome == Wrong {
		a.Outcome, a.Detail = Wrong, detail
		return
	}
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		a.Outcome, a.Detail = Truncated, "the stream ended without [DONE], "+detail
		return
	}
	a.Outcome, a.ConnectionBroken, a.Detail = Unknown, true, err.Error()
}
