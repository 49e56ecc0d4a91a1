package openai

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/internal/standin/hostile"
)

// longEngine returns an engine that sends a number of tokens of a length.
func longEngine(tokens, tokenBytes int) *fakeEngine {
	return &fakeEngine{fault: raw, raw: func(id string) string {
		var text strings.Builder
		for n := range tokens {
			fmt.Fprintf(&text, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}],\"token\":%d}\n\n", id, strings.Repeat("t", tokenBytes), n)
		}
		fmt.Fprintf(&text, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, text.Len(), text.String())
	}}
}

// TestTextOfAnswersIsCounted guards against answers with tokens without end, whose text is kept so that
// another engine could continue them. A stream goes on without it; an answer as a whole is refused.
func TestTextOfAnswersIsCounted(t *testing.T) {
	const tokens, tokenBytes = 400, 100 << 10
	for _, stream := range []bool{true, false} {
		r := newTestServer(t, longEngine(tokens, tokenBytes))
		resp := r.post(t, ChatPath, secret, fmt.Sprintf(chatBody, fmt.Sprintf(`,"stream":%v`, stream)))
		data, err := io.ReadAll(resp.Body)
		switch {
		case stream && (err != nil || strings.Count(string(data), "data: ") != tokens+2):
			t.Errorf("got %d events, %v, want all of the stream", strings.Count(string(data), "data: "), err)
		case !stream && resp.StatusCode != http.StatusBadGateway:
			t.Errorf("got status %d and %d bytes for an answer that does not fit", resp.StatusCode, len(data))
		}
		if held := r.memory.State().Held; held != 0 {
			t.Errorf("%d bytes are counted after the answer", held)
		}
	}
}

// TestLinesThatDoNotEndAreCounted guards against engines that stop within a line, for as many callers as
// there are.
func TestLinesThatDoNotEndAreCounted(t *testing.T) {
	const callers, lineBytes = 30, 200 << 10
	engines := make([]*fakeEngine, callers)
	for n := range engines {
		engines[n] = &fakeEngine{fault: stalled, raw: func(string) string {
			return "HTTP/1.1 200 OK\r\n\r\ndata: " + strings.Repeat("x", lineBytes)
		}}
	}
	r := newTestServer(t, engines...)
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", ChatPath, secret, len(fmt.Sprintf(chatBody, "")))
	clients := hostile.Start(r.address, callers, hostile.Reading(request+fmt.Sprintf(chatBody, "")))
	r.waitForMemory(t, func(held int64) bool { return held >= callers*lineBytes })
	clients.Stop()
	r.waitForMemory(t, func(held int64) bool { return held == 0 })
}

// waitForMemory waits until what is counted fulfils a condition.
func (r *testServer) waitForMemory(t *testing.T, holds func(held int64) bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(r.memory.State().Held); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are counted", r.memory.State().Held)
		}
	}
}
