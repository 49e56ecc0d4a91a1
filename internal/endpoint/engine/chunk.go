package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// Errors that say how an engine's answer is wrong, wrapped by *StreamError.
var (
	// ErrCrossed says that a chunk belongs to another request.
	ErrCrossed = errors.New("chunk of another request")
	// ErrGap says that tokens are missing.
	ErrGap = errors.New("tokens are missing")
	// ErrTruncated says that the stream ended before its end mark.
	ErrTruncated = errors.New("stream ended before its end mark")
	// ErrMalformed says that a chunk could not be read.
	ErrMalformed = errors.New("malformed chunk")
)

// Usage is the count of tokens that an engine reports with its last chunk.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Chunk is one event of an engine's stream.
type Chunk struct {
	// Data is the event's data as the engine sent it.
	Data []byte
	// Text is the text of the token; empty in events without one.
	Text string
	// FinishReason is set in the last event with choices.
	FinishReason string
	// Usage is set in the event that carries it.
	Usage *Usage
	// Done says that this is the end mark.
	Done bool
}

// rawChunk is the wire form of a chunk of either interface.
type rawChunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Token *int            `json:"token"`
	Usage *Usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

var doneMark = []byte("[DONE]")

// checker follows a stream and finds what is wrong with it.
type checker struct {
	requestID string
	next      int
	raw       rawChunk
}

// errDuplicate marks a chunk whose token was seen before; it is skipped.
var errDuplicate = errors.New("duplicate chunk")

// check decodes the data of one event.
func (c *checker) check(data []byte) (chunk Chunk, err error) {
	if bytes.Equal(data, doneMark) {
		return Chunk{Data: data, Done: true}, nil
	}
	c.raw = rawChunk{Choices: c.raw.Choices[:0]}
	if err := json.Unmarshal(data, &c.raw); err != nil {
		return chunk, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(c.raw.Error) > 0 {
		return chunk, fmt.Errorf("%w: engine error in stream", ErrTruncated)
	}
	if c.raw.ID != c.requestID {
		return chunk, fmt.Errorf("%w: id %q instead of %q", ErrCrossed, c.raw.ID, c.requestID)
	}
	chunk = Chunk{Data: data, Usage: c.raw.Usage}
	if len(c.raw.Choices) == 0 {
		return chunk, nil
	}
	choice := c.raw.Choices[0]
	chunk.Text = choice.Text + choice.Delta.Content
	if choice.FinishReason != nil {
		chunk.FinishReason = *choice.FinishReason
	}
	if chunk.Text == "" {
		return chunk, nil
	}
	return chunk, c.advance()
}

// advance checks the index of a token, where the engine sends it.
func (c *checker) advance() error {
	if c.raw.Token == nil {
		c.next++
		return nil
	}
	switch index := *c.raw.Token; {
	case index < c.next:
		return errDuplicate
	case index > c.next:
		return fmt.Errorf("%w: token %d instead of %d", ErrGap, index, c.next)
	}
	c.next++
	return nil
}
