package engine

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanshift/banyanshift/internal/caller/request"
)

// Words in a prompt that control the answer. Each is followed by its value.
const (
	// lengthDirective sets the number of tokens of the answer.
	lengthDirective = "len="
	// nonceDirective identifies the request in the record.
	nonceDirective = "id="
)

const (
	minAnswerTokens   = 16
	maxAnswerTokens   = 1 << 20
	answerLengthRange = 64
)

// AnswerToken returns token i of the answer to prompt.
func AnswerToken(prompt string, i int) string {
	sum := xxhash.Sum64String(prompt + "#" + strconv.Itoa(i))
	return "w" + strconv.FormatUint(sum&0xffffff, 36) + " "
}

// AnswerLength returns how many tokens the answer to prompt has.
func AnswerLength(prompt string) int {
	if n, err := strconv.Atoi(directive(prompt, lengthDirective)); err == nil && n > 0 {
		return min(n, maxAnswerTokens)
	}
	return minAnswerTokens + int(xxhash.Sum64String(prompt)%answerLengthRange)
}

// Answer returns the whole answer to prompt, cut to maxTokens unless maxTokens
// is 0.
func Answer(prompt string, maxTokens int) string {
	var text strings.Builder
	for i := range limitedAnswerLength(prompt, maxTokens) {
		text.WriteString(AnswerToken(prompt, i))
	}
	return text.String()
}

// Nonce returns the nonce that the load generator put into prompt, or "".
func Nonce(prompt string) string {
	return directive(prompt, nonceDirective)
}

func limitedAnswerLength(prompt string, maxTokens int) int {
	length := AnswerLength(prompt)
	if maxTokens > 0 {
		return min(length, maxTokens)
	}
	return length
}

func directive(prompt, name string) string {
	_, rest, found := strings.Cut(" "+prompt, " "+name)
	if !found {
		return ""
	}
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return ""
	}
	return fields[0]
}

// prefixDigests returns one digest for each full block of the prompt. Each
// digest covers the prompt from its start to the end of the block.
func prefixDigests(prompt string) []uint64 {
	words := strings.Fields(prompt)
	var digests []uint64
	for end := request.PrefixBlockTokens; end <= len(words); end += request.PrefixBlockTokens {
		digests = append(digests, xxhash.Sum64String(strings.Join(words[:end], " ")))
	}
	return digests
}

// requestBody holds the fields of a request body that the engine uses.
type requestBody struct {
	Model    string `json:"model"`
	Messages []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Prompt      json.RawMessage `json:"prompt"`
	MaxTokens   int             `json:"max_tokens"`
	ResumeToken int             `json:"resume_token"`
	ResumeText  string          `json:"resume_text"`
}

func (b requestBody) promptText() string {
	if len(b.Messages) == 0 {
		return plainText(b.Prompt)
	}
	parts := make([]string, 0, len(b.Messages))
	for _, message := range b.Messages {
		parts = append(parts, plainText(message.Content))
	}
	return strings.Join(parts, "\n")
}

// plainText extracts the text from JSON that is a string, a list of strings or
// a list of typed parts. It joins list items with line breaks.
func plainText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	var texts []string
	if json.Unmarshal(raw, &texts) == nil {
		return strings.Join(texts, "\n")
	}
	var parts []struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal(raw, &parts)
	texts = nil
	for _, part := range parts {
		texts = append(texts, part.Text)
	}
	return strings.Join(texts, "\n")
}
