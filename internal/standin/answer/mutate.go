package answer

import (
	"math/rand/v2"
	"strings"
)

// oddBytes are those that a mutation puts into an answer.
const oddBytes = " \t\r\n\x00\x01\x7f\x80\xff:;,/.-+0129AaXx\"("

// maxMutations is the greatest number of changes to an answer.
const maxMutations = 4

// Mutate returns an answer with up to maxMutations changes, most of them in its head. The same random
// numbers give the same changes.
func Mutate(random *rand.Rand, text string) string {
	for range random.IntN(maxMutations + 1) {
		text = mutateOnce(random, text)
	}
	return text
}

// mutateOnce makes one change.
func mutateOnce(random *rand.Rand, text string) string {
	if text == "" {
		return text
	}
	end := len(text)
	if bodyAt := strings.Index(text, "\r\n\r\n"); bodyAt > 0 && random.IntN(8) > 0 {
		end = bodyAt + len("\r\n\r\n")
	}
	at := random.IntN(end)
	odd := string(oddBytes[random.IntN(len(oddBytes))])
	switch random.IntN(8) {
	case 0, 1:
		return text[:at] + odd + text[at:]
	case 2, 3:
		return text[:at] + odd + text[at+1:]
	case 4:
		return text[:at] + text[at+1:]
	case 5:
		return text[:at]
	case 6:
		return repeatLine(random, text)
	}
	return "HTTP/1.1 1" + odd + "2 Interim\r\n\r\n" + text
}

// repeatLine moves a copy of a line to the place of another one.
func repeatLine(random *rand.Rand, text string) string {
	lines := strings.SplitAfter(text, "\n")
	from, to := random.IntN(len(lines)), random.IntN(len(lines))
	return strings.Join(lines[:to], "") + lines[from] + strings.Join(lines[to:], "")
}
