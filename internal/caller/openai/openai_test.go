package openai

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/entry"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/config/state"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/engine"
	"github.com/banyanshift/banyanshift/internal/endpoint/transport"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
)

const (
	secret          = "bs_k1_0123456789abcdef"
	otherTeamSecret = "bs_k2_0123456789abcdef"
)

// fault is the way in which a fakeEngine fails.
type fault string

const (
	none           fault = ""
	cut            fault = "cut"
	wrongRequestID fault = "crossed"
	gap            fault = "gap"
	duplicate      fault = "duplicate"
	truncated      fault = "truncated"
	rejecting      fault = "refusing"
	invalidJSON    fault = "garbage"
	hanging        fault = "hanging"
	cutAfterFinish fault = "cut after the finish reason"
	raw            fault = "raw"
	stalled        fault = "raw, and then stands still"
)

// fakeEngine responds with totalTokens tokens "t0 t1 ...". It fails after
// tokensBeforeFault tokens.
type fakeEngine struct {
	fault             fault
	tokensBeforeFault int
	totalTokens       int
	// toolCalls makes the engine send tool calls, which have no token index, in
	// place of text.
	toolCalls bool
	// sendsRole makes the engine send the role in a chunk of its own.
	sendsRole bool
	// withoutResume makes the engine ignore that a call resumes an answer, and
	// send no token indexes.
	withoutResume bool
	// raw is what the engine sends in place of an answer, with fault raw.
	raw         func(id string) string
	calls       atomic.Int64
	resumeToken atomic.Int64
	headers     sync.Map
	server      *httptest.Server
}

func (f *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.calls.Add(1)
	f.headers.Store(r.Header.Get("Request-Id"), r.Header.Clone())
	var body struct {
		ResumeToken int    `json:"resume_token"`
		ResumeText  string `json:"resume_text"`
		Stream      bool   `json:"stream"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	f.resumeToken.Store(int64(body.ResumeToken))
	if f.fault == rejecting {
		w.Header().Set("Run", "Not")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get("Request-Id")
	if f.fault == raw || f.fault == stalled {
		conn, _, _ := http.NewResponseController(w).Hijack()
		_, _ = io.WriteString(conn, f.raw(id))
		if f.fault == stalled {
			_, _ = io.Copy(io.Discard, conn)
		}
		_ = conn.Close()
		return
	}
	w.Header().Set("Request-Id", id)
	first := body.ResumeToken
	if f.withoutResume {
		first = 0
	}
	if f.sendsRole {
		_, _ = fmt.Fprintf(w, `data: {"id":%q,"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}`+"\n\n", id)
	}
	for i := first; i < f.totalTokens; i++ {
		if i == f.tokensBeforeFault && f.injectFault(w, r, id, i) {
			return
		}
		f.writePart(w, id, i)
	}
	if f.fault == cutAfterFinish {
		panic(http.ErrAbortHandler)
	}
	if f.fault != truncated {
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
}

// injectFault fails in the configured way and reports whether the response ends.
func (f *fakeEngine) injectFault(w http.ResponseWriter, r *http.Request, id string, i int) bool {
	switch f.fault {
	case cut:
		panic(http.ErrAbortHandler)
	case wrongRequestID:
		// A token of another request.
		_, _ = fmt.Fprintf(w, `data: {"id":"another","choices":[{"index":0,"delta":{"content":"wrong "},"finish_reason":null}],"token":%d}`+"\n\n", i)
	case gap:
		writeToken(w, id, i+1, false)
	case duplicate:
		writeToken(w, id, i-1, false)
	case invalidJSON:
		_, _ = io.WriteString(w, "data: {\"id\":\n\n")
	case truncated:
		return true
	case hanging:
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		return true
	}
	return false
}

// writePart writes the i-th part of the answer.
func (f *fakeEngine) writePart(w http.ResponseWriter, id string, i int) {
	last := i == f.totalTokens-1
	if !f.toolCalls && !f.withoutResume {
		writeToken(w, id, i, last)
		return
	}
	delta := fmt.Sprintf(`{"content":"t%d "}`, i)
	if f.toolCalls {
		delta = fmt.Sprintf(`{"tool_calls":[{"index":0,"function":{"arguments":"t%d "}}]}`, i)
	}
	finish := "null"
	if last {
		finish = `"stop"`
	}
	_, _ = fmt.Fprintf(w, `data: {"id":%q,"choices":[{"index":0,"delta":%s,"finish_reason":%s}]}`+"\n\n", id, delta, finish)
	_ = http.NewResponseController(w).Flush()
}

func writeToken(w http.ResponseWriter, id string, i int, last bool) {
	finish := "null"
	if last {
		finish = `"stop"`
	}
	_, _ = fmt.Fprintf(w, `data: {"id":%q,"choices":[{"index":0,"delta":{"content":"t%d "},"text":"","finish_reason":%s}],"token":%d}`+"\n\n", id, i, finish, i)
	_ = http.NewResponseController(w).Flush()
}

// expectedText is the text of a complete response of total tokens.
func expectedText(total int) string {
	var text strings.Builder
	for i := range total {
		fmt.Fprintf(&text, "t%d ", i)
	}
	return text.String()
}

// testServer serves the API over fake engines; each attempt uses the next one.
type testServer struct {
	engines  []*fakeEngine
	next     atomic.Int64
	preempt  chan struct{}
	released []request.Outcome
	metered  atomic.Int64
	mu       sync.Mutex
	state    *state.State
	memory   *memory.Budget
	address  string
}

func (r *testServer) grant(context.Context, *request.Request) (*request.Grant, error) {
	i := int(r.next.Add(1)) - 1
	if i >= len(r.engines) {
		return nil, &request.Refusal{Status: http.StatusServiceUnavailable, Code: request.CodeNoEndpoint, Run: request.RunNot}
	}
	address := r.engines[i].server.Listener.Addr().String()
	return &request.Grant{Endpoint: entity.Endpoint{ID: fmt.Sprintf("e%d", i), Address: address}}, nil
}

func (r *testServer) scheduler() request.Scheduler {
	return request.Scheduler{
		Acquire: r.grant,
		Reacquire: func(ctx context.Context, req *request.Request, _ []string) (*request.Grant, error) {
			return r.grant(ctx, req)
		},
		ChargeTokens: func(*request.Grant, int) {},
		Preempted: func(grant *request.Grant) <-chan struct{} {
			if grant.Endpoint.ID == "e0" {
				return r.preempt
			}
			return nil
		},
		Release: func(_ *request.Grant, outcome request.Outcome) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.released = append(r.released, outcome)
		},
	}
}

func seededState(t *testing.T) *state.State {
	t.Helper()
	s := state.New()
	entities := []any{
		entity.Team{Name: "halvorsen", Weight: 1},
		entity.Team{Name: "outsider", Weight: 1},
		entity.Key{ID: "k1", Team: "halvorsen", Hash: sha256.Sum256([]byte(secret))},
		entity.Key{ID: "k2", Team: "outsider", Hash: sha256.Sum256([]byte(otherTeamSecret))},
		entity.Class{Name: "quick", FirstTokenTarget: 780, MaxWait: 5000},
		entity.Backend{Name: "m", Type: entity.Model, Model: "banyan-7b", Slots: 4},
		entity.Route{Name: "diary", Backend: "m", Classes: []string{"quick"}, Teams: []string{"halvorsen"}},
	}
	for i, e := range entities {
		write, err := state.PutWrite(e)
		if err != nil {
			t.Fatal(err)
		}
		change := changelog.Change{Sequence: uint64(i + 1), Writes: []changelog.EntityWrite{{Entity: write.Entity, Value: write.Value}}}
		if err := s.Apply(change); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func newTestServer(t *testing.T, engines ...*fakeEngine) *testServer {
	t.Helper()
	r := &testServer{engines: engines, preempt: make(chan struct{}), state: seededState(t), memory: memory.New(64 << 20)}
	for _, e := range engines {
		e.server = httptest.NewServer(e)
		t.Cleanup(e.server.Close)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	settings := ini.Caller{
		Listen: "127.0.0.1:0", MaxBodyBytes: 1 << 16, MaxHeaderBytes: 1 << 14,
		ReadTimeout: 5 * clock.Second, WriteStallTimeout: 5 * clock.Second, IdleTimeout: clock.Minute,
	}
	var ids atomic.Int64
	server := entry.New(entry.Dependencies{
		Settings: settings, Clock: clock.System(), Logger: logger, State: r.state,
		Ready: func() error { return nil }, Memory: r.memory,
		NewID: func() string { return fmt.Sprintf("r%d", ids.Add(1)) },
	})
	handler := New(Dependencies{
		Clock: clock.System(), Logger: logger, State: r.state,
		Engine: engine.New(transport.New(transport.Config{Memory: r.memory})), Scheduler: r.scheduler(),
		TakeRetry:   func(*request.Request) bool { return true },
		RecordUsage: func(_ *request.Request, _, output int) { r.metered.Add(int64(output)) },
	})
	server.Handle(http.MethodPost, ChatPath, handler.Chat)
	server.Handle(http.MethodPost, CompletionPath, handler.Completion)
	server.Handle(http.MethodGet, ModelsPath, handler.Models)
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	r.address = server.Address()
	return r
}

func (r *testServer) post(t *testing.T, path, key, body string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+r.address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

const chatBody = `{"model":"diary","messages":[{"role":"user","content":"how much grain"}]%s}`

// readStream returns the text of a stream and the last event.
func readStream(t *testing.T, body io.Reader) (text, last string) {
	t.Helper()
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		last = data
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	return text, last
}

func TestAnswersAreWholeWhateverTheFirstEngineDoes(t *testing.T) {
	const total = 8
	faults := []fault{none, cut, wrongRequestID, gap, duplicate, truncated, rejecting, invalidJSON}
	for _, f := range faults {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s stream=%v", f, stream), func(t *testing.T) {
				r := newTestServer(t, &fakeEngine{fault: f, tokensBeforeFault: 3, totalTokens: total}, &fakeEngine{totalTokens: total})
				resp := r.post(t, ChatPath, secret, fmt.Sprintf(chatBody, fmt.Sprintf(`,"stream":%v`, stream)))
				if resp.StatusCode != http.StatusOK {
					t.Fatalf("got status %d, want 200", resp.StatusCode)
				}
				var text, last string
				if stream {
					text, last = readStream(t, resp.Body)
				} else {
					text, last = readCompletion(t, resp.Body), "[DONE]"
				}
				if text != expectedText(total) || last != "[DONE]" {
					t.Errorf("got text %q and last event %q, want the complete text and [DONE]", text, last)
				}
				if got := r.metered.Load(); got != total {
					t.Errorf("metered %d tokens, want %d", got, total)
				}
			})
		}
	}
}

func readCompletion(t *testing.T, body io.Reader) string {
	t.Helper()
	var answer struct {
		Choices []chatChoice
		Usage   engine.Usage
	}
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return answer.Choices[0].Message.Content
}

func TestPreemptedStreamsGoOnElsewhere(t *testing.T) {
	first := &fakeEngine{fault: hanging, tokensBeforeFault: 3, totalTokens: 8}
	second := &fakeEngine{totalTokens: 8}
	r := newTestServer(t, first, second)
	resp := r.post(t, ChatPath, secret, fmt.Sprintf(chatBody, `,"stream":true`))
	reader := bufio.NewReader(resp.Body)
	var seen strings.Builder
	for strings.Count(seen.String(), "data: ") < 3 {
		line, err := reader.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		seen.WriteString(line)
	}
	close(r.preempt)
	rest, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	text, last := readStream(t, strings.NewReader(seen.String()+string(rest)))
	if text != expectedText(8) || last != "[DONE]" || second.resumeToken.Load() != 3 {
		t.Errorf("got text %q, last event %q, resumed at token %d; want the complete text, [DONE], 3", text, last, second.resumeToken.Load())
	}
}

func TestWithdrawnKeyEndsOpenStream(t *testing.T) {
	r := newTestServer(t, &fakeEngine{fault: hanging, tokensBeforeFault: 3, totalTokens: 8}, &fakeEngine{totalTokens: 8})
	resp := r.post(t, ChatPath, secret, fmt.Sprintf(chatBody, `,"stream":true`))
	r.state.Deny("k1")
	_, last := readStream(t, resp.Body)
	var refused struct{ Error struct{ Code, Run string } }
	if err := json.Unmarshal([]byte(last), &refused); err != nil || refused.Error.Code != string(request.CodeKeyWithdrawn) {
		t.Errorf("got last event %q, want the refusal of a withdrawn key", last)
	}
	if refused.Error.Run != string(request.RunUnknown) {
		t.Errorf("got run %q, want Unknown", refused.Error.Run)
	}
	again := r.post(t, ChatPath, secret, fmt.Sprintf(chatBody, ""))
	if again.StatusCode != http.StatusUnauthorized || again.Header.Get("Run") != "Not" {
		t.Errorf("got status %d, run %q; want 401, Not", again.StatusCode, again.Header.Get("Run"))
	}
}

func TestRefusalsSayTrulyWhetherItRan(t *testing.T) {
	tests := []struct {
		name    string
		engines []*fakeEngine
		run     string
	}{
		{"no engine", nil, "Not"},
		{"engine rejects without running", []*fakeEngine{{fault: rejecting}}, "Not"},
		{"engine fails before the first token", []*fakeEngine{{fault: cut, tokensBeforeFault: 0, totalTokens: 3}}, "Unknown"},
		{"engine fails after the first token", []*fakeEngine{{fault: cut, tokensBeforeFault: 1, totalTokens: 3}}, "Unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestServer(t, tt.engines...)
			resp := r.post(t, ChatPath, secret, fmt.Sprintf(chatBody, ""))
			if resp.StatusCode < 500 || resp.Header.Get("Run") != tt.run {
				t.Errorf("got status %d, run %q; want a 5xx status, run %q", resp.StatusCode, resp.Header.Get("Run"), tt.run)
			}
		})
	}
}

func TestBadInputIsRefusedBeforeAnyEngine(t *testing.T) {
	deep := strings.Repeat("[", 20000)
	tests := []struct {
		name   string
		path   string
		key    string
		body   string
		status int
	}{
		{"no key", ChatPath, "", fmt.Sprintf(chatBody, ""), http.StatusUnauthorized},
		{"unknown key", ChatPath, "bs_k1_ffffffffffff", fmt.Sprintf(chatBody, ""), http.StatusUnauthorized},
		{"key of another team", ChatPath, otherTeamSecret, fmt.Sprintf(chatBody, ""), http.StatusForbidden},
		{"not JSON", ChatPath, secret, "{", http.StatusBadRequest},
		{"no object", ChatPath, secret, "[]", http.StatusBadRequest},
		{"empty", ChatPath, secret, "", http.StatusBadRequest},
		{"deep", ChatPath, secret, `{"model":` + deep, http.StatusBadRequest},
		{"bad UTF-8", ChatPath, secret, "{\"model\":\"\xff\"}", http.StatusBadRequest},
		{"model is a number", ChatPath, secret, `{"model":3}`, http.StatusBadRequest},
		{"no messages", ChatPath, secret, `{"model":"diary"}`, http.StatusBadRequest},
		{"messages are text", ChatPath, secret, `{"model":"diary","messages":"x"}`, http.StatusBadRequest},
		{"stream is text", ChatPath, secret, fmt.Sprintf(chatBody, `,"stream":"yes"`), http.StatusBadRequest},
		{"max_tokens negative", ChatPath, secret, fmt.Sprintf(chatBody, `,"max_tokens":-1`), http.StatusBadRequest},
		{"more than one choice", ChatPath, secret, fmt.Sprintf(chatBody, `,"n":2`), http.StatusBadRequest},
		{"unknown model", ChatPath, secret, `{"model":"x","messages":[{"role":"user","content":"a"}]}`, http.StatusNotFound},
		{"too large", ChatPath, secret, strings.Repeat("x", 1<<17), http.StatusRequestEntityTooLarge},
		{"key in the body", ChatPath, secret, fmt.Sprintf(chatBody, `,"user":"`+secret+`"`), http.StatusBadRequest},
		{"key in the URL", ChatPath + "?key=" + secret, secret, fmt.Sprintf(chatBody, ""), http.StatusBadRequest},
		{"no prompt", CompletionPath, secret, `{"model":"diary"}`, http.StatusBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &fakeEngine{totalTokens: 3}
			r := newTestServer(t, e)
			resp := r.post(t, tt.path, tt.key, tt.body)
			body, _ := io.ReadAll(resp.Body)
			if resp.StatusCode != tt.status || resp.Header.Get("Run") != "Not" {
				t.Errorf("got status %d, run %q, body: %s; want the status of the case and run Not", resp.StatusCode, resp.Header.Get("Run"), body)
			}
			if e.calls.Load() != 0 {
				t.Error("the request reached an engine")
			}
		})
	}
}

func TestEnginesSeeNoKeyAndNoForgedHeader(t *testing.T) {
	e := &fakeEngine{totalTokens: 2}
	r := newTestServer(t, e)
	req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+r.address+ChatPath, strings.NewReader(fmt.Sprintf(chatBody, "")))
	req.Header.Set("Authorization", "Bearer "+secret)
	req.Header.Set("Request-Id", "forged")
	req.Header.Set("Priority", "-9")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	seen, found := e.headers.Load(resp.Header.Get("Request-Id"))
	if !found {
		t.Fatal("the engine received no request with the ID that the caller got")
	}
	header := seen.(http.Header)
	if header.Get("Authorization") != "" || header.Get("Priority") == "-9" || header.Get("Request-Id") == "forged" {
		t.Errorf("engine received header %v, want no key and no forged ID or priority", header)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(fmt.Sprintf(chatBody, `,"stream":true,"max_tokens":3`)))
	f.Add([]byte(`{"model":"m","prompt":["a"],"n":1}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, d := range []apiVariant{chatAPI, completionAPI} {
			parsed, err := parseBody(body, d)
			if err == nil && (parsed.model == "" || parsed.maxTokens < 0) {
				t.Errorf("parseBody accepted %q as %+v", body, parsed)
			}
		}
	})
}
