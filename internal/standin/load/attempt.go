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

const maxAnswerBytes = 16 << 20

// attempt sends a call once and judges the answer.
func (l *Load) attempt(call *Call, flow Flow) Attempt {
	ctx, cancel := context.WithCancel(l.done)
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
			l.judge(&a, call, flow, response)
			_ = response.Body.Close()
		}
	}
	if err != nil {
		a.Outcome, a.ConnectionBroken, a.Detail = Unknown, true, err.Error()
		if !connected.Load() {
			a.Outcome = NotSent
		}
	}
	if l.done.Err() != nil && a.Outcome == Unknown {
		a.Outcome, a.Detail = Cancelled, "the load ended"
	}
	a.Ended = l.clock.Wall()
	return a
}

// onceReader keeps the client from sending a body again by itself.
type onceReader struct {
	io.Reader
}

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
		reader = onceReader{bytes.NewReader(body)}
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

func (l *Load) judge(a *Attempt, call *Call, flow Flow, response *http.Response) {
	a.Status = response.StatusCode
	a.RequestID = response.Header.Get("Request-Id")
	switch {
	case response.StatusCode >= 400:
		judgeRefusal(a, response)
	case call.Type == entity.Service:
		l.judgeService(a, call, flow, response)
	case flow.WholeAnswer:
		l.judgeWhole(a, call, response)
	default:
		l.judgeStream(a, call, response)
	}
}

// errorBody is the form of an error in a body or an event.
type errorBody struct {
	Error *struct {
		Message string `json:"message"`
		Code    any    `json:"code"`
	} `json:"error"`
}

func judgeRefusal(a *Attempt, response *http.Response) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
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

func (l *Load) judgeService(a *Attempt, call *Call, flow Flow, response *http.Response) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
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

// completion is the part of an answer that is judged, whole or as a chunk.
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

func (c completion) text() (text, finish string) {
	for _, choice := range c.Choices {
		text += choice.Text + choice.Message.Content + choice.Delta.Content
		finish += choice.FinishReason
	}
	return text, finish
}

func (l *Load) judgeWhole(a *Attempt, call *Call, response *http.Response) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
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
	a.Outcome, a.Detail = compare(text, engine.Answer(call.prompt, 0), true)
}

// compare judges the text of an answer; ended says that it claims to be whole.
func compare(got, want string, ended bool) (Outcome, string) {
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

func (l *Load) judgeStream(a *Attempt, call *Call, response *http.Response) {
	events := NewEventReader(response.Body)
	want := engine.Answer(call.prompt, 0)
	var text strings.Builder
	ended, done := false, false
	for !done {
		data, err := events.Next()
		if err != nil {
			l.judgeEnd(a, text.String(), want, ended, err)
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
				a.Outcome, a.Detail = compare(text.String(), want, false)
			}
			return
		}
		part, finish := chunk.text()
		text.WriteString(part)
		ended = ended || finish != ""
		if part != "" {
			a.token(l.clock.Wall())
		}
		if call.cancelAt > 0 && a.Tokens >= call.cancelAt {
			a.Outcome = Cancelled
			return
		}
	}
	a.Outcome, a.Detail = compare(text.String(), want, ended)
}

// token counts a token that came now.
func (a *Attempt) token(now clock.Millis) {
	a.Tokens++
	if a.FirstTokenAt == 0 {
		a.FirstTokenAt = now
	} else {
		a.LongestTokenGap = max(a.LongestTokenGap, now-a.LastTokenAt)
	}
	a.LastTokenAt = now
}

// judgeEnd judges a stream that ended without its mark. A connection that
// broke is an open error; a proper end is a truncated answer.
func (l *Load) judgeEnd(a *Attempt, got, want string, ended bool, err error) {
	outcome, detail := compare(got, want, ended)
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
