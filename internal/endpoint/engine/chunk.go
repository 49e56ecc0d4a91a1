package engine

import (
	"bytes"
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/mailru/easyjson/jlexer"
)

// Errors in an engine's stream, wrapped by *StreamError.
var (
	// ErrWrongRequest is returned for a stream or chunk that carries the ID
	// of another request.
	ErrWrongRequest = errors.New("chunk belongs to another request")
	// ErrMissingTokens is returned when the token index skips ahead.
	ErrMissingTokens = errors.New("tokens are missing")
	// ErrNoTokenIndex is returned for a token without an index in a stream that
	// resumes an answer, because the engine may have started from the beginning.
	ErrNoTokenIndex = errors.New("resumed stream has no token index")
	// ErrTruncated is returned when the stream fails or ends before its end
	// marker, or has an end marker but no finish reason.
	ErrTruncated = errors.New("stream ended before its end marker")
	// ErrMalformed is returned for a chunk that cannot be decoded.
	ErrMalformed = errors.New("malformed chunk")
)

// Usage holds the token counts that an engine reports with its last chunk.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Chunk is one event of an engine's stream.
type Chunk struct {
	// Data is the event's data as the engine sent it.
	Data []byte
	// Text is the text of the token, or empty if the event has none.
	Text string
	// HasOtherContent reports whether the event has content that is not text,
	// such as a tool call. Tokens don't count it, so that no other engine can
	// continue an answer after it.
	HasOtherContent bool
	// FinishReason is set in the last event with choices.
	FinishReason string
	// Usage is nil in events without token counts.
	Usage *Usage
	// Done reports whether the event is the end marker.
	Done bool
}

// errEngineError is returned for an event in which the engine reports an error.
var errEngineError = fmt.Errorf("%w: engine error in stream", ErrTruncated)

var errNotUTF8 = errors.New("not valid UTF-8")

// rawChunk holds the fields that the router reads from a chunk of the chat or
// the completion API.
type rawChunk struct {
	id              string
	text            string
	hasOtherContent bool
	finishReason    string
	token           int
	hasToken        bool
	hasError        bool
	usage           *Usage
}

// decodeChunk decodes the data of an event. The returned id aliases data.
func decodeChunk(data []byte) (raw rawChunk, err error) {
	if !utf8.Valid(data) {
		return raw, errNotUTF8
	}
	lexer := jlexer.Lexer{Data: data}
	decodeObject(&lexer, func(name string) bool {
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
		case "object":
			raw.hasError = raw.hasError || string(lexer.Raw()) == `"error"`
		default:
			return false
		}
		return true
	})
	lexer.Consumed()
	return raw, lexer.Error()
}

// decodeObject calls field for each non-null field of an object, with the
// lexer at the value. It skips the value if field returns false.
func decodeObject(lexer *jlexer.Lexer, field func(name string) (decoded bool)) {
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

// decodeChoices decodes the first choice and skips the others.
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
	decodeObject(lexer, func(name string) bool {
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
	decodeObject(lexer, func(name string) bool {
		switch name {
		case "role":
			return false
		case "content":
			r.text += lexer.String()
		default:
			r.hasOtherContent = r.hasOtherContent || !isEmptyValue(lexer.Raw())
		}
		return true
	})
}

// isEmptyValue reports whether a JSON value is an empty string, list or object.
func isEmptyValue(value []byte) bool {
	switch string(value) {
	case `""`, "[]", "{}":
		return true
	}
	return false
}

func decodeUsage(lexer *jlexer.Lexer) *Usage {
	usage := &Usage{}
	decodeObject(lexer, func(name string) bool {
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

var doneMarker = []byte("[DONE]")

// validator checks that the chunks of a stream belong to the request and that
// its tokens are complete and in order.
type validator struct {
	requestID string
	nextToken int
	// resumed reports whether the stream continues an answer.
	resumed bool
}

// errDuplicate is returned for a chunk whose token was received before. The
// chunk is skipped.
var errDuplicate = errors.New("duplicate chunk")

// validate decodes and checks the data of one event.
func (v *validator) validate(data []byte) (chunk Chunk, err error) {
	if bytes.Equal(data, doneMarker) {
		return Chunk{Data: data, Done: true}, nil
	}
	raw, err := decodeChunk(data)
	switch {
	case err != nil:
		return chunk, fmt.Errorf("%w: %w", ErrMalformed, err)
	case raw.hasError:
		return chunk, errEngineError
	case raw.id != v.requestID:
		return chunk, fmt.Errorf("%w: id %q instead of %q", ErrWrongRequest, raw.id, v.requestID)
	}
	chunk = Chunk{
		Data: data, Text: raw.text, HasOtherContent: raw.hasOtherContent, FinishReason: raw.finishReason, Usage: raw.usage,
	}
	if raw.text == "" {
		return chunk, nil
	}
	return chunk, v.checkToken(raw)
}

// checkToken checks the index of a token, which only a stream that starts an
// answer may lack, and counts the token.
func (v *validator) checkToken(raw rawChunk) error {
	switch {
	case !raw.hasToken && v.resumed:
		return ErrNoTokenIndex
	case raw.hasToken && raw.token < v.nextToken:
		return errDuplicate
	case raw.hasToken && raw.token > v.nextToken:
		return fmt.Errorf("%w: token %d instead of %d", ErrMissingTokens, raw.token, v.nextToken)
	}
	v.nextToken++
	return nil
}
