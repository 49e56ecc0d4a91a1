package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanshift/banyanshift/internal/caller/request"
)

// PrefixDigests returns one digest for each full block of
// request.PrefixBlockTokens words of the prompt. Each digest covers all words
// from the start of the prompt, joined by single spaces.
func PrefixDigests(prompt string) []uint64 {
	digests, _ := MeasurePrompt(prompt)
	return digests
}

// MeasurePrompt returns the prefix digests of the prompt and its number of
// words, which serves as an estimate of its number of tokens.
func MeasurePrompt(prompt string) (digests []uint64, words int) {
	hash := xxhash.New()
	for word := range strings.FieldsSeq(prompt) {
		if words > 0 {
			_, _ = hash.WriteString(" ")
		}
		_, _ = hash.WriteString(word)
		words++
		if words%request.PrefixBlockTokens == 0 {
			digests = append(digests, hash.Sum64())
		}
	}
	return digests, words
}
