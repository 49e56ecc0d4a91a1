package plain

import (
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/banyanshift/banyanshift/internal/standin/answer"
)

// TestCallerGetsNoMalformedAnswer guards against answers whose status or fields are none, and bodies
// of another length, which the parser of the standard library takes for sound ones.
func TestCallerGetsNoMalformedAnswer(t *testing.T) {
	const body = "run 1 of it"
	r := newTestCluster(t, 1)
	for _, call := range []struct {
		name, method, key string
		mayRun            int64
	}{
		{"repeatable", http.MethodGet, "", maxAttempts},
		{"at most once", http.MethodPost, "", 1},
		{"with a key", http.MethodPost, "key of ", 1},
	} {
		send := func(a answer.Answer) (status int, run, text string, runs int64) {
			before := r.service.runs.Load()
			r.service.answer(a, body)
			key := call.key
			if key != "" {
				key += a.Name
			}
			status, run, text = r.call(t, 0, call.method, "/certificates", key, "")
			return status, run, text, r.service.runs.Load() - before
		}
		for _, a := range answer.Malformed() {
			if status, run, text, runs := send(a); status != http.StatusBadGateway || run != "Unknown" || runs > call.mayRun {
				t.Errorf("%s, %s: got status %d, run %q, body %q after %d runs, want 502 and Unknown", call.name, a.Name, status, run, text, runs)
			}
		}
		for _, a := range answer.Sound() {
			if status, _, text, runs := send(a); status != http.StatusOK || text != body || runs != 1 {
				t.Errorf("%s, %s: got status %d, body %q after %d runs, want the answer", call.name, a.Name, status, text, runs)
			}
		}
	}
}

// TestMalformedAnswerOnAUsedConnectionIsNotAskedForAgain guards against net/http, which sends a
// repeatable call again by itself if a connection that was used before fails without a byte.
func TestMalformedAnswerOnAUsedConnectionIsNotAskedForAgain(t *testing.T) {
	r := newTestCluster(t, 1)
	for _, a := range answer.Malformed()[:8] {
		r.service.mode.Store("")
		if status, _, _ := r.call(t, 0, http.MethodGet, "/certificates", "", ""); status != http.StatusCreated {
			t.Fatalf("got status %d of a sound answer", status)
		}
		before := r.service.runs.Load()
		r.service.answer(a, "x")
		status, _, _ := r.call(t, 0, http.MethodGet, "/certificates", "", "")
		if runs := r.service.runs.Load() - before; status != http.StatusBadGateway || runs != maxAttempts {
			t.Errorf("%s: got status %d after %d runs, want 502 after %d", a.Name, status, runs, maxAttempts)
		}
	}
}

// TestRandomAnswersReachCallersOnlyIfSound checks with random changes to answers, of which each seed
// gives the same, that no caller gets one whose head is none by the grammar of HTTP.
func TestRandomAnswersReachCallersOnlyIfSound(t *testing.T) {
	const count, body = 600, "run 1 of it"
	r := newTestCluster(t, 1)
	answers := append(answer.Sound(), answer.Malformed()...)
	served := 0
	for seed := range count {
		var sent string
		r.service.raw = func(id string) string {
			sent = answer.Mutate(rand.New(rand.NewPCG(uint64(seed), 3)), answers[seed%len(answers)].Text("Request-Id: "+id+"\r\n", body))
			return sent
		}
		r.service.mode.Store("raw")
		if status, _, text := r.call(t, 0, http.MethodPost, "/certificates", "", ""); status < 500 && !answer.HasSoundHead(sent) {
			t.Errorf("seed %d: got status %d, body %q of %q", seed, status, text, sent)
		} else if status == http.StatusOK {
			served++
		}
	}
	if served < count/20 || r.service.runs.Load() != count {
		t.Errorf("%d of %d answers reached their callers, %d runs", served, count, r.service.runs.Load())
	}
}
