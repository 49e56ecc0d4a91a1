package openai

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// postHalfClosing sends a request, closes its sending side once the answer has
// begun if the answer is a stream, else at once, and reads the answer to its end.
func (r *testServer) postHalfClosing(t *testing.T, body string) (status int, text string, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", ChatPath, secret, len(body), body)
	reader := bufio.NewReader(conn)
	if strings.Contains(body, `"stream":true`) {
		_, _ = reader.Peek(1)
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

func TestAnswerOfAHalfClosedCallerDoesNotLookComplete(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream=%v", stream), func(t *testing.T) {
			r := newTestServer(t, &fakeEngine{fault: hanging, tokensBeforeFault: 3, totalTokens: 8})
			status, text, err := r.postHalfClosing(t, fmt.Sprintf(chatBody, fmt.Sprintf(`,"stream":%v`, stream)))
			if err == nil {
				t.Errorf("got status %d and the complete body %q, want an answer that breaks off", status, text)
			}
		})
	}
}

func TestFailedStreamBreaksOffAfterItsError(t *testing.T) {
	r := newTestServer(t, &fakeEngine{fault: cut, tokensBeforeFault: 3, totalTokens: 8})
	resp := r.post(t, ChatPath, secret, fmt.Sprintf(chatBody, `,"stream":true`))
	data, err := io.ReadAll(resp.Body)
	if err == nil || !strings.Contains(string(data), `"error"`) {
		t.Errorf("got stream %q, error %v; want an error event, then a broken connection", data, err)
	}
}

func TestAnswerIsNotContinuedAfterItsFinishReason(t *testing.T) {
	const total = 8
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream=%v", stream), func(t *testing.T) {
			second := &fakeEngine{totalTokens: total + 1}
			r := newTestServer(t, &fakeEngine{fault: cutAfterFinish, totalTokens: total}, second)
			resp := r.post(t, ChatPath, secret, fmt.Sprintf(chatBody, fmt.Sprintf(`,"stream":%v`, stream)))
			var text, last string
			if stream {
				text, last = readStream(t, resp.Body)
			} else {
				text, last = readCompletion(t, resp.Body), "[DONE]"
			}
			if text != expectedText(total) || last != "[DONE]" {
				t.Errorf("got text %q and last event %q, want the text up to the finish reason and [DONE]", text, last)
			}
			if second.calls.Load() != 0 {
				t.Error("the answer was continued on another engine")
			}
		})
	}
}

func TestCallerThatGetsNoAnswerIsNotBilledForItsTokens(t *testing.T) {
	r := newTestServer(t, &fakeEngine{fault: cut, tokensBeforeFault: 3, totalTokens: 8})
	resp := r.post(t, ChatPath, secret, fmt.Sprintf(chatBody, ""))
	if resp.StatusCode == http.StatusOK {
		t.Fatal("got status 200, want a refusal")
	}
	if got := r.metered.Load(); got != 0 {
		t.Errorf("metered %d tokens, want 0", got)
	}
}

func TestAnswerIsNotJoinedFromTwoRuns(t *testing.T) {
	const total = 8
	tests := []struct {
		name          string
		first, second *fakeEngine
	}{
		{
			"tool calls",
			&fakeEngine{fault: cut, tokensBeforeFault: 3, totalTokens: total, toolCalls: true},
			&fakeEngine{totalTokens: total, toolCalls: true},
		},
		{
			"engine that cannot resume",
			&fakeEngine{fault: cut, tokensBeforeFault: 3, totalTokens: total},
			&fakeEngine{totalTokens: total, withoutResume: true},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestServer(t, tt.first, tt.second)
			resp := r.post(t, ChatPath, secret, fmt.Sprintf(chatBody, `,"stream":true`))
			data, err := io.ReadAll(resp.Body)
			if err == nil || !strings.Contains(string(data), `"error"`) {
				t.Errorf("got error %v, want an error event, then a broken connection", err)
			}
			if got := strings.Count(string(data), `"t0 "`); got != 1 {
				t.Errorf("got the first part %d times in %q, want once", got, data)
			}
		})
	}
}

func TestResumedStreamStatesItsRoleOnce(t *testing.T) {
	const total = 8
	r := newTestServer(t,
		&fakeEngine{fault: cut, tokensBeforeFault: 3, totalTokens: total, sendsRole: true},
		&fakeEngine{totalTokens: total, sendsRole: true})
	resp := r.post(t, ChatPath, secret, fmt.Sprintf(chatBody, `,"stream":true`))
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	text, last := readStream(t, strings.NewReader(string(data)))
	if text != expectedText(total) || last != "[DONE]" {
		t.Errorf("got text %q and last event %q, want the complete text and [DONE]", text, last)
	}
	if got := strings.Count(string(data), `"role"`); got != 1 {
		t.Errorf("got the role %d times, want once", got)
	}
}
