package engine

import (
	"encoding/json"
	"strings"
	"testing"

	endpointengine "github.com/banyanshift/banyanshift/internal/endpoint/engine"
)

func FuzzBody(f *testing.F) {
	for _, seed := range []string{
		`{"prompt":"a len=3"}`, `{"prompt":["a","b"],"max_tokens":2}`, `{"messages":[{"content":"x"}]}`,
		`{"messages":[{"content":[{"type":"text","text":"y"}]}],"resume_token":4}`,
		`{"prompt":"len=-1"}`, `{"prompt":"len=99999999999999999999"}`, `{"prompt":{}}`, `{"max_tokens":-5}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		var in body
		if json.Unmarshal(input, &in) != nil {
			return
		}
		text := in.text()
		if length := limitedAnswerLength(text, in.MaxTokens); length < 1 {
			t.Errorf("answer of %d tokens", length)
		}
		if strings.ContainsAny(Nonce(text), " \n") {
			t.Errorf("nonce %q", Nonce(text))
		}
	})
}

// The router and the engine have to cut prompts into the same blocks.
func TestPrefixDigestsAgreeWithTheRouter(t *testing.T) {
	for _, words := range []int{0, 1, 63, 64, 65, 128, 200} {
		prompt := strings.Repeat("some\nwords  ", words/2) + strings.Repeat("x", words%2)
		ours, theirs := prefixDigests(prompt), endpointengine.PrefixDigests(prompt)
		if len(ours) != len(theirs) {
			t.Fatalf("%d words: %d and %d digests", words, len(ours), len(theirs))
		}
		for i := range ours {
			if ours[i] != theirs[i] {
				t.Errorf("%d words: digest %d differs", words, i)
			}
		}
	}
}
