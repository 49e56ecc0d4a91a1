package openai

import (
	"encoding/json"

	"github.com/banyanshift/banyanshift/internal/endpoint/engine"
)

// apiVariant describes how chat completions and completions differ.
type apiVariant struct {
	path           string
	responseObject string
	// prompt returns the text of the prompt.
	prompt func(fields map[string]json.RawMessage) (string, error)
	// choice returns the single choice of a non-streaming response.
	choice func(text, finishReason string) any
}

var chatAPI = apiVariant{
	path:           ChatPath,
	responseObject: "chat.completion",
	prompt:         chatPrompt,
	choice: func(text, finishReason string) any {
		return chatChoice{Message: responseMessage{Role: "assistant", Content: text}, FinishReason: finishReason}
	},
}

var completionAPI = apiVariant{
	path:           CompletionPath,
	responseObject: "text_completion",
	prompt:         completionPrompt,
	choice: func(text, finishReason string) any {
		return textChoice{Text: text, FinishReason: finishReason}
	},
}

type responseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatChoice struct {
	Index        int             `json:"index"`
	Message      responseMessage `json:"message"`
	FinishReason string          `json:"finish_reason"`
}

type textChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

// completionResponse is the body of a non-streaming response.
type completionResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []any        `json:"choices"`
	Usage   engine.Usage `json:"usage"`
}
