package engine

import (
	"encoding/json"
	"strings"
	"testing"

	endpointengine "github.com/banyanshift/banyanshift/internal/endpoint/engine"
)

func FuzzRequestBody(f *testing.F) {
	for _, seed := range []string{
		`{"prompt":"a len=3"}`, `{"prompt":["a","b"],"max_tokens":2}`, `{"messages":[{"content":"x"}]}`,
		`{"messages":[{"content":[{"type":"text","text":"y"}]}],"resume_token":4}`,
		`{"prompt":"len=-1"}`, `{"prompt":"len=99999999999999999999"}`, `{"prompt":{}}`, `{"max_tokens":-5}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		var in requestBody
		if json.Unmarshal(input, &in) != nil {
			return
		}
		text := in.promptText()
		if length := limitedAnswerLength(text, in.MaxTokens); length < 1 {
			t.Errorf("got an answer of %d tokens, want at least 1", length)
		}
		if strings.ContainsAny(Nonce(text), " \n") {
			t.Errorf("got nonce %q, want one without white space", Nonce(text))
		}
	})
}

// The router finds cached prefixes only if it splits prompts into the same
// blocks as the engine.
func TestPrefixDigestsAgreeWithTheRouter(t *testing.T) {
	for _, words := range []int{0, 1, 63, 64, 65, 128, 200} {
		prompt := strings.Repeat("some\nwords  ", words/2) + strings.Repeat("x", words%2)
		got, want := prefixDigests(prompt), endpointengine.PrefixDigests(prompt)
		if len(got) != len(want) {
			t.Fatalf("%d words: got %d digests, want %d", words, len(got), len(want))
		}
		for i := range got {
			if got[i] != want[i] {
				t.Errorf("%d words: digest %d differs from that of the router", words, i)
			}
		}
	}
}
