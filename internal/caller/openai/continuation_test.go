package openai

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestErrorOfAnotherEngineIsNotJoined guards against the text of an error in the middle of a
// stream that another engine continues.
func TestErrorOfAnotherEngineIsNotJoined(t *testing.T) {
	const total = 8
	for name, second := range map[string]struct {
		status            int
		contentType, body string
	}{
		"BadRequest":          {http.StatusBadRequest, "application/json", `{"error":{"message":"overloaded"}}`},
		"Unprocessable":       {http.StatusUnprocessableEntity, "application/json", `{"error":{"message":"overloaded"}}`},
		"NotFound":            {http.StatusNotFound, "text/html", "overloaded"},
		"ServerError":         {http.StatusInternalServerError, "text/plain", "overloaded"},
		"NoContent":           {http.StatusNoContent, "", ""},
		"JSON":                {http.StatusOK, "application/json", `{"error":{"message":"overloaded"}}`},
		"HTML":                {http.StatusOK, "text/html", "<h1>overloaded</h1>\n\n"},
		"Nothing":             {http.StatusOK, "text/event-stream", ""},
		"OnlyTheEnd":          {http.StatusOK, "text/event-stream", "data: [DONE]\n\n"},
		"Head":                {http.StatusOK, "text/event-stream", "HTTP/1.1 500 overloaded\r\nContent-Type: text/plain\r\n\r\noverloaded"},
		"ErrorInEvent":        {http.StatusOK, "text/event-stream", `data: {"error":{"message":"overloaded"}}` + "\n\ndata: [DONE]\n\n"},
		"ErrorEvent":          {http.StatusOK, "text/event-stream", "event: error\ndata: {\"message\":\"overloaded\"}\n\ndata: [DONE]\n\n"},
		"ErrorEventOfRequest": {http.StatusOK, "text/event-stream", "event: error\ndata: {\"id\":\"ID\",\"message\":\"overloaded\"}\n\ndata: [DONE]\n\n"},
		"ErrorObject":         {http.StatusOK, "text/event-stream", "data: {\"id\":\"ID\",\"object\":\"error\",\"message\":\"overloaded\"}\n\ndata: [DONE]\n\n"},
		"TextInEvent":         {http.StatusOK, "text/event-stream", "data: overloaded\n\ndata: [DONE]\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestServer(t, &fakeEngine{fault: cut, tokensBeforeFault: 3, totalTokens: total}, &fakeEngine{}, &fakeEngine{totalTokens: total})
			r.engines[1].server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				w.Header().Set("Content-Type", second.contentType)
				w.WriteHeader(second.status)
				_, _ = io.WriteString(w, strings.ReplaceAll(second.body, "ID", req.Header.Get("Request-Id")))
			})
			resp := r.post(t, ChatPath, secret, fmt.Sprintf(chatBody, `,"stream":true`))
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			text, last := readStream(t, strings.NewReader(string(body)))
			if text != expectedText(total) || last != "[DONE]" || strings.Contains(string(body), "overloaded") {
				t.Errorf("got stream %q, want the complete text and [DONE], and no error", body)
			}
		})
	}
}
