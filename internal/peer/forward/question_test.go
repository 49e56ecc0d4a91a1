package forward_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

// TestRequestFollowsAQuestionOnTheSameConnection guards against a request that reaches another
// process than the one that answered the question before it.
func TestRequestFollowsAQuestionOnTheSameConnection(t *testing.T) {
	for _, closes := range []bool{false, true} {
		var asked, ran atomic.Pointer[string]
		p := startPeer(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/report" {
				asked.Store(&r.RemoteAddr)
				if closes {
					w.Header().Set("Connection", "close")
				}
				_, _ = io.WriteString(w, "7")
				return
			}
			ran.Store(&r.RemoteAddr)
			w.Header().Set("Id", "r")
			_, _ = io.WriteString(w, "answer")
		})
		p.useIDs()
		conn, err := p.client.Open(t.Context(), p.address, p.target())
		if err != nil {
			t.Fatal(err)
		}
		reply, err := conn.Ask(t.Context(), http1.Request{
			Method: http.MethodGet, Head: []byte("GET /report HTTP/1.1\r\nHost: e\r\n"), Deadline: clock.System().Now() + clock.Second,
		})
		if err != nil || reply.Status != http.StatusOK || string(reply.Body) != "7" || reply.Open == closes {
			t.Fatalf("got %+v, error %v", reply, err)
		}
		if closes {
			continue
		}
		answer, err := conn.Do(t.Context(), newRequest(nil, clock.Second))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(answer)
		answer.Close()
		if err != nil || string(body) != "answer" || *asked.Load() != *ran.Load() {
			t.Errorf("got %q, error %v; the question came from %s, the request from %s", body, err, *asked.Load(), *ran.Load())
		}
	}
}

// TestQuestionThatGetsNoAnswerRunsNothing checks that the way is given up.
func TestQuestionThatGetsNoAnswerRunsNothing(t *testing.T) {
	p := startPeer(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	p.useIDs()
	conn, err := p.client.Open(t.Context(), p.address, p.target())
	if err != nil {
		t.Fatal(err)
	}
	question := http1.Request{Method: http.MethodGet, Head: []byte("GET /report HTTP/1.1\r\nHost: e\r\n"), Deadline: clock.System().Now() + clock.Second}
	if reply, err := conn.Ask(t.Context(), question); err == nil || reply.Open || reply.Status != 0 {
		t.Errorf("got %+v, error %v; want an error", reply, err)
	}
}

// useIDs makes the peer's connections tell answers to requests from those to questions.
func (p *peer) useIDs() {
	p.ids.Store(true)
}
