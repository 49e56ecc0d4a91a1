package engine

import (
	"bytes"
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/mailru/easyjson/jlexer"
)

// Errors that say how an engine's answer is wrong, wrapped by *StreamError.
var (
	// ErrWrongRequest says that a chunk belongs to another request.
	ErrWrongRequest = errors.New("chunk of another request")
	// ErrMissingTokens says that tokens are missing.
	ErrMissingTokens = errors.New("tokens are missing")
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

var errNotUTF8 = errors.New("not valid UTF-8")

// rawChunk is what the router needs of a chunk of either interface.
type rawChunk struct {
	id           string
	text         string
	finishReason string
	token        int
	hasToken     bool
	hasError     bool
	usage        *Usage
}

// decodeChunk decodes the data of an event. The id refers to the data.
func decodeChunk(data []byte) (raw rawChunk, err error) {
	if !utf8.Valid(data) {
		return raw, errNotUTF8
	}
	lexer := jlexer.Lexer{Data: data}
	object(&lexer, func(name string) bool {
		switch name {
		case "id":
			raw.id = lexer.UnsafeString()
		case "choices":
			raw.decodeChoices(&lexer)
		case "token":
			raw.token, raw.hasToken = lexer.Int(), true
		case "usage":
			raw.usage = decodeUsage(&lexer)
		case "error":
			raw.hasError = true
			lexer.SkipRecursive()
		default:
			return false
		}
		return true
	})
	lexer.Consumed()
	return raw, lexer.Error()
}

// object calls field for each field of an object that is not null, with the
// lexer at its value. Fields that it does not decode are skipped.
func object(lexer *jlexer.Lexer, field func(name string) (decoded bool)) {
	if lexer.IsNull() {
		lexer.Skip()
		return
	}
	lexer.Delim('{')
	for lexer.Ok() && !lexer.IsDelim('}') {
		name := lexer.UnsafeFieldName(false)
		lexer.WantColon()
		if lexer.IsNull() {
			lexer.Skip()
		} else if !field(name) {
			lexer.SkipRecursive()
		}
		lexer.WantComma()
	}
	lexer.Delim('}')
}

// decodeChoices takes the first choice.
func (r *rawChunk) decodeChoices(lexer *jlexer.Lexer) {
	lexer.Delim('[')
	for first := true; lexer.Ok() && !lexer.IsDelim(']'); first = false {
		if first {
			r.decodeChoice(lexer)
		} else {
			lexer.SkipRecursive()
		}
		lexer.WantComma()
	}
	lexer.Delim(']')
}

func (r *rawChunk) decodeChoice(lexer *jlexer.Lexer) {
	object(lexer, func(name string) bool {
		switch name {
		case "text":
			r.text += lexer.String()
		case "delta":
			r.decodeDelta(lexer)
		case "finish_reason":
			r.finishReason = lexer.String()
		default:
			return false
		}
		return true
	})
}

func (r *rawChunk) decodeDelta(lexer *jlexer.Lexer) {
	object(lexer, func(name string) bool {
		if name != "content" {
			return false
		}
		r.text += lexer.String()
		return true
	})
}

func decodeUsage(lexer *jlexer.Lexer) *Usage {
	usage := &Usage{}
	object(lexer, func(name string) bool {
		switch name {
		case "prompt_tokens":
			usage.PromptTokens = lexer.Int()
		case "completion_tokens":
			usage.CompletionTokens = lexer.Int()
		case "total_tokens":
			usage.TotalTokens = lexer.Int()
		default:
			return false
		}
		return true
	})
	return usage
}

var doneMark = []byte("[DONE]")

// checker follows a stream and finds what is wrong with it.
type checker struct {
	requestID string
	next      int
}

// errDuplicate marks a chunk whose token was seen before; it is skipped.
var errDuplicate = errors.New("duplicate chunk")

// check decodes the data of one event.
func (c *checker) check(data []byte) (chunk Chunk, err error) {
	if bytes.Equal(data, doneMark) {
		return Chunk{Data: data, Done: true}, nil
	}
	raw, err := decodeChunk(data)
	switch {
	case err != nil:
		return chunk, fmt.Errorf("%w: %w", ErrMalformed, err)
	case raw.hasError:
		return chunk, fmt.Errorf("%w: engine error in stream", ErrTruncated)
	case raw.id != c.requestID:
		return chunk, fmt.Errorf("%w: id %q instead of %q", ErrWrongRequest, raw.id, c.requestID)
	}
	chunk = Chunk{Data: data, Text: raw.text, FinishReason: raw.finishReason, Usage: raw.usage}
	if raw.text == "" {
		return chunk, nil
	}
	return chunk, c.advance(raw)
}

// advance checks the index of a token, where the engine sends it.
func (c *checker) advance(raw rawChunk) error {
	switch {
	case raw.hasToken && raw.token < c.next:
		return errDuplicate
	case raw.hasToken && raw.token > c.next:
		return fmt.Errorf("%w: token %d instead of %d", ErrMissingTokens, raw.token, c.next)
	}
	c.next++
	return nil
}
