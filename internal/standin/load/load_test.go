package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/standin/engine"
)

func FuzzEventReader(f *testing.F) {
	for _, seed := range []string{"data: a\n\n", "data:a\ndata: b\r\n\r\n", ": comment\n\ndata: x", "\n\n\n", "data", "id: 1\ndata: y\n\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		reader := NewEventReader(bytes.NewReader(input))
		total := 0
		for {
			data, err := reader.Next()
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, ErrEventTooLong) {
					t.Errorf("got error %v, want io.EOF or ErrEventTooLong", err)
				}
				return
			}
			total += len(data)
			if total > len(input) {
				t.Errorf("the events hold more bytes than the input")
			}
		}
	})
}

func TestEventReader(t *testing.T) {
	reader := NewEventReader(strings.NewReader(": hi\ndata: a\ndata: b\n\nevent: x\ndata:c\r\n\r\ndata: lost"))
	for _, want := range []string{"a\nb", "c"} {
		if got, err := reader.Next(); err != nil || string(got) != want {
			t.Errorf("got %q, %v; want %q", got, err, want)
		}
	}
	if _, err := reader.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("got error %v, want io.EOF", err)
	}
}

const testPrompt = "id=n1 len=3"

func chunk(text, finish string) string {
	return fmt.Sprintf(`data: {"choices":[{"delta":{"content":%q},"finish_reason":%s}]}`+"\n\n", text, finish)
}

func TestVerifyStream(t *testing.T) {
	whole := ""
	for i := range 3 {
		whole += chunk(engine.AnswerToken(testPrompt, i), "null")
	}
	end := chunk("", `"stop"`) + "data: [DONE]\n\n"
	half := chunk(engine.AnswerToken(testPrompt, 0), "null")
	tests := []struct {
		name   string
		status int
		run    string
		body   string
		broken bool
		want   Outcome
	}{
		{"whole", 200, "", whole + end, false, Completed},
		{"no finish reason", 200, "", whole + "data: [DONE]\n\n", false, Truncated},
		{"ended early", 200, "", half + end, false, Truncated},
		{"no end mark", 200, "", half, false, Truncated},
		{"broken", 200, "", half, true, Unknown},
		{"typed error", 200, "", half + `data: {"error":{"code":"key_withdrawn"}}` + "\n\n", false, Unknown},
		{"repeated token", 200, "", half + half + end, false, Wrong},
		{"other answer", 200, "", chunk("w1 ", "null") + end, false, Wrong},
		{"refused", 429, "Not", `{"error":{"message":"x","code":"overloaded"}}`, false, NotRun},
		{"failed", 502, "Unknown", ``, false, Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if test.run != "" {
					w.Header().Set("Run", test.run)
				}
				w.WriteHeader(test.status)
				io.WriteString(w, test.body)
				if test.broken {
					http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			l := New(Config{Balancer: NewBalancer("/", clock.System()), MaxInFlight: 1}, clock.System())
			l.config.Balancer.Put("d", server.URL)
			got := l.send(&Call{Nonce: "n1", Type: entity.Model, Method: "POST", prompt: testPrompt}, Flow{})
			if got.Outcome != test.want {
				t.Errorf("got %+v, want %s", got, test.want)
			}
		})
	}
}

// A call whose outcome is unknown must be retried with the same idempotency
// key; a new key would let it run twice.
func TestUnknownIsRepeatedUnderTheSameKey(t *testing.T) {
	var mu sync.Mutex
	keys := make(map[string]int)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		keys[r.Header.Get("Idempotency-Key")]++
		mu.Unlock()
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	l := New(Config{Balancer: NewBalancer("/", clock.System()), MaxInFlight: 1, Keys: NewKeyring(), DrainTimeout: clock.Minute, RetryDelay: 1}, clock.System())
	l.config.Balancer.Put("d", server.URL)
	flow := Flow{Type: entity.Service, Method: "POST", Path: "/pay", Idempotent: true, PerSecond: 50}
	ctx, cancel := context.WithCancel(context.Background())
	l.config.Flows = []Flow{flow}
	go func() {
		for l.Progress().Sent == 0 {
			l.clock.Sleep(ctx, 1)
		}
		cancel()
	}()
	l.Run(ctx)
	call := l.Calls()[0]
	if call.Outcome() != Unknown || len(call.Attempts()) != maxAttempts {
		t.Errorf("got outcome %s after %d attempts, want Unknown after maxAttempts", call.Outcome(), len(call.Attempts()))
	}
	mu.Lock()
	defer mu.Unlock()
	if keys[call.IdempotencyKey] != maxAttempts {
		t.Errorf("got %d attempts with the idempotency key %q, want %d", keys[call.IdempotencyKey], call.IdempotencyKey, maxAttempts)
	}
}
