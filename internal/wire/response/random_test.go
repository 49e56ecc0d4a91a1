package response_test

import (
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"testing"

	"github.com/banyanshift/banyanshift/internal/standin/answer"
)

// TestRandomAnswers checks that whatever is passed on of a random answer has a head that is one by the
// grammar, and that an answer which was not changed is passed on whole. RANDOM_ANSWERS is their number.
func TestRandomAnswers(t *testing.T) {
	count := 20000
	if n, err := strconv.Atoi(os.Getenv("RANDOM_ANSWERS")); err == nil {
		count = n
	}
	answers := append(answer.Sound(), answer.Malformed()...)
	whole := 0
	for seed := range count {
		a := answers[seed%len(answers)]
		sent := a.Text("Id: a\r\n", body)
		text := answer.Mutate(rand.New(rand.NewPCG(uint64(seed), 1)), sent)
		got, content, _, err := read(text, seed%2 == 0, http.MethodGet)
		isSound := seed%len(answers) < len(answer.Sound())
		switch {
		case err == nil && !answer.HasSoundHead(text):
			t.Errorf("seed %d: passed on as %d with body %q: %q", seed, got.StatusCode, content, text[:min(len(text), 200)])
		case text == sent && isSound != (err == nil && content == body):
			t.Errorf("seed %d, %s: got body %q, %v", seed, a.Name, content, err)
		case err == nil:
			whole++
		}
	}
	if whole < count/20 {
		t.Errorf("%d of %d answers were passed on", whole, count)
	}
}
