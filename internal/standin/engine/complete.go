package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/banyanshift/banyanshift/internal/standin/record"
)

const maxBodyBytes = 16 << 20

// complete serves a completion as a stream of server-sent events.
func (e *engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	received := e.clock.Wall()
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var in requestBody
	if err != nil || json.Unmarshal(raw, &in) != nil {
		writeRefusal(w, http.StatusBadRequest)
		return
	}
	s := newSequence(in)
	s.run.Received = received
	s.run.RequestID = r.Header.Get("Request-Id")
	s.run.IdempotencyKey = r.Header.Get("Idempotency-Key")
	s.run.Method, s.run.Path = r.Method, r.URL.Path
	s.run.Priority, _ = strconv.Atoi(r.Header.Get("Priority"))
	if s.nextToken >= s.length {
		writeRefusal(w, http.StatusBadRequest)
		return
	}
	if !e.enqueue(s) {
		writeRefusal(w, http.StatusServiceUnavailable)
		return
	}
	defer e.cancelSequence(s)
	e.stream(w, r, s, chunkWriter{model: in.Model, chat: chat})
}

func writeRefusal(w http.ResponseWriter, status int) {
	w.Header().Set("Run", "Not")
	http.Error(w, `{"error":{"message":"refused by the engine"}}`, status)
}

func newSequence(in requestBody) *sequence {
	prompt := in.promptText()
	s := &sequence{
		prompt:        prompt,
		digests:       prefixDigests(prompt),
		length:        limitedAnswerLength(prompt, in.MaxTokens),
		nextToken:     max(0, in.ResumeToken),
		resumedTokens: max(0, in.ResumeToken),
		run:           &record.Run{Nonce: Nonce(prompt), End: record.Running},
	}
	s.run.FirstToken = s.nextToken
	s.run.PromptTokens = len(strings.Fields(prompt))
	s.tokens = make(chan int, max(1, s.length-s.nextToken))
	return s
}

// stream sends tokens as they are produced. It aborts the connection when the
// engine crashes.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, chunks chunkWriter) {
	source := s
	if s.fault.cross {
		source = e.otherRunning(s)
	}
	chunks.id = source.run.RequestID
	chunks.prompt = source.prompt
	chunks.usage = fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d}`, s.run.PromptTokens, s.length)
	_ = e.clock.Sleep(r.Context(), s.fault.pause)
	w.Header().Set("Request-Id", chunks.id)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	for {
		select {
		case <-r.Context().Done():
			return
		case index, more := <-s.tokens:
			if !more {
				e.abortUnlessFinished(s)
				return
			}
			if index == s.fault.truncateAt {
				return
			}
			chunks.write(w, s, index)
			if index == s.fault.repeatAt {
				chunks.write(w, s, index)
			}
			if flush() != nil || index == s.length-1 {
				return
			}
		}
	}
}

func (e *engine) abortUnlessFinished(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.run.End != record.Finished {
		panic(http.ErrAbortHandler)
	}
}

// chunkWriter formats the server-sent events of one answer.
type chunkWriter struct {
	id     string
	model  string
	prompt string
	usage  string
	chat   bool
}

func (c chunkWriter) write(w io.Writer, s *sequence, index int) {
	text := quote(AnswerToken(c.prompt, index))
	object, content := "text_completion", `"text":`+text
	if c.chat {
		object, content = "chat.completion.chunk", `"delta":{"content":`+text+`}`
	}
	finish, usage, done := "null", "", ""
	if index == s.length-1 {
		finish = `"length"`
		if s.length == AnswerLength(s.prompt) {
			finish = `"stop"`
		}
		usage = `,"usage":` + c.usage
		done = "data: [DONE]\n\n"
	}
	_, _ = fmt.Fprintf(w, `data: {"id":%s,"object":"%s","model":%s,"choices":[{"index":0,%s,"finish_reason":%s}],"token":%d%s}`+"\n\n%s",
		quote(c.id), object, quote(c.model), content, finish, index, usage, done)
}

func quote(text string) string {
	data, _ := json.Marshal(text)
	return string(data)
}
