package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanshift/banyanshift/internal/caller/request"
)

// PrefixDigests returns one digest for each whole block of
// request.PrefixBlockTokens words of the prompt; each covers the prompt from
// its start, words joined by one space.
func PrefixDigests(prompt string) []uint64 {
	digests, _ := MeasurePrompt(prompt)
	return digests
}

// MeasurePrompt returns the prefix digests of the prompt and its length in words,
// the estimate of its length in tokens.
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
