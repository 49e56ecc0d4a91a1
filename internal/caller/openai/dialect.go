package openai

import (
	"encoding/json"

	"github.com/banyanshift/banyanshift/internal/endpoint/engine"
)

// dialect is what differs between chat completions and completions.
type dialect struct {
	path   string
	object string
	// prompt returns the text of the prompt.
	prompt func(fields map[string]json.RawMessage) (string, error)
	// choice returns the only choice of a whole answer.
	choice func(text, finishReason string) any
}

var chatDialect = dialect{
	path:   ChatPath,
	object: "chat.completion",
	prompt: chatPrompt,
	choice: func(text, finishReason string) any {
		return chatChoice{Message: answerMessage{Role: "assistant", Content: text}, FinishReason: finishReason}
	},
}

var completionDialect = dialect{
	path:   CompletionPath,
	object: "text_completion",
	prompt: completionPrompt,
	choice: func(text, finishReason string) any {
		return textChoice{Text: text, FinishReason: finishReason}
	},
}

type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatChoice struct {
	Index        int           `json:"index"`
	Message      answerMessage `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

type textChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

// wholeAnswer is the answer to a request without streaming.
type wholeAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []any        `json:"choices"`
	Usage   engine.Usage `json:"usage"`
}
