package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"unicode/utf8"

	"github.com/banyanshift/banyanshift/internal/caller/entry"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
)

// Limits of a request body.
const (
	maxOutputTokens = 1 << 20
	maxMessages     = 4096
	maxParts        = 4096
	maxFields       = 64
)

// parsedBody holds the values of a request body that the router uses.
type parsedBody struct {
	fields       map[string]json.RawMessage
	model        string
	stream       bool
	includeUsage bool
	maxTokens    int
	prompt       string
}

// parseBody validates a body and extracts the values that the router uses. All
// other fields are forwarded unchanged.
func parseBody(body []byte, api apiVariant) (parsed parsedBody, err error) {
	if !utf8.Valid(body) {
		return parsed, entry.BadRequest("The body is not valid UTF-8.")
	}
	if trimmed := bytes.TrimLeft(body, " \t\r\n"); len(trimmed) == 0 || trimmed[0] != '{' {
		return parsed, entry.BadRequest("The body must be a JSON object.")
	}
	parsed.fields, err = decodeObject(body, maxFields)
	if errors.Is(err, errTooMany) {
		return parsed, entry.BadRequest("The body has too many fields.")
	}
	if err != nil {
		return parsed, entry.BadRequest("The body is not valid JSON: " + err.Error() + ".")
	}
	if err := parseCommon(&parsed); err != nil {
		return parsed, err
	}
	parsed.prompt, err = api.prompt(parsed.fields)
	return parsed, err
}

func parseCommon(parsed *parsedBody) error {
	if err := decodeField(parsed.fields, "model", &parsed.model, "a string"); err != nil {
		return err
	}
	if parsed.model == "" || len(parsed.model) > entity.MaxNameLength {
		return entry.BadRequest(`The field "model" must name a model.`)
	}
	if err := decodeField(parsed.fields, "stream", &parsed.stream, "true or false"); err != nil {
		return err
	}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if err := decodeField(parsed.fields, "stream_options", &options, "an object"); err != nil {
		return err
	}
	parsed.includeUsage = options.IncludeUsage
	if err := checkChoiceCount(parsed); err != nil {
		return err
	}
	return parseMaxTokens(parsed)
}

// checkChoiceCount rejects requests for more than one choice.
func checkChoiceCount(parsed *parsedBody) error {
	count := 1
	if err := decodeField(parsed.fields, "n", &count, "a number"); err != nil {
		return err
	}
	if count != 1 {
		return entry.BadRequest(`The field "n" must be 1.`)
	}
	return nil
}

func parseMaxTokens(parsed *parsedBody) error {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		value, present := parsed.fields[name]
		if !present || string(value) == "null" {
			continue
		}
		if err := decodeField(parsed.fields, name, &parsed.maxTokens, "a whole number"); err != nil {
			return err
		}
		if parsed.maxTokens < 1 || parsed.maxTokens > maxOutputTokens {
			return entry.BadRequest(`The field "` + name + `" is out of range.`)
		}
	}
	return nil
}

// decodeField decodes a field that may be absent or null.
func decodeField(fields map[string]json.RawMessage, name string, into any, want string) error {
	value, present := fields[name]
	if !present {
		return nil
	}
	if err := json.Unmarshal(value, into); err != nil {
		return entry.BadRequest(`The field "` + name + `" must be ` + want + ".")
	}
	return nil
}

// chatPrompt joins the text of all messages.
func chatPrompt(fields map[string]json.RawMessage) (string, error) {
	texts, err := messageTexts(fields["messages"])
	var refusal *request.Refusal
	switch {
	case errors.As(err, &refusal):
		return "", err
	case err != nil && !errors.Is(err, errTooMany):
		return "", entry.BadRequest(`The field "messages" must be a list of messages.`)
	case err != nil || len(texts) == 0:
		return "", entry.BadRequest(`The field "messages" must hold from 1 to 4096 messages.`)
	}
	return strings.Join(texts, "\n"), nil
}

// messageTexts returns the texts of the messages in a JSON list, which may be missing or null.
func messageTexts(list json.RawMessage) (texts []string, err error) {
	if len(list) == 0 || string(list) == "null" {
		return nil, nil
	}
	err = decodeElements(list, '[', func(decoder *json.Decoder) error {
		if len(texts) == maxMessages {
			return errTooMany
		}
		var message chatMessage
		if err := decoder.Decode(&message); err != nil {
			return err
		}
		if message.Role == "" {
			return entry.BadRequest("Each message needs a role.")
		}
		text, err := message.text()
		texts = append(texts, text)
		return err
	})
	return texts, err
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns the content, which is a string, a list of parts, or null.
func (m chatMessage) text() (string, error) {
	if len(m.Content) == 0 || string(m.Content) == "null" {
		return "", nil
	}
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text, nil
	}
	texts, err := partTexts(m.Content)
	if errors.Is(err, errTooMany) {
		return "", entry.BadRequest("The content of a message has too many parts.")
	}
	if err != nil {
		return "", entry.BadRequest("The content of a message must be a string or a list of parts.")
	}
	return strings.Join(texts, "\n"), nil
}

// partTexts returns the texts of the parts in a JSON list.
func partTexts(list json.RawMessage) (texts []string, err error) {
	err = decodeElements(list, '[', func(decoder *json.Decoder) error {
		if len(texts) == maxParts {
			return errTooMany
		}
		var part struct {
			Type string `json:"type"`
			Text string `json:"text"`
		}
		err := decoder.Decode(&part)
		texts = append(texts, part.Text)
		return err
	})
	return texts, err
}

// completionPrompt returns the prompt, which is a string or a list with one
// string.
func completionPrompt(fields map[string]json.RawMessage) (string, error) {
	value, present := fields["prompt"]
	if !present {
		return "", entry.BadRequest(`The field "prompt" is missing.`)
	}
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text, nil
	}
	var texts []string
	if json.Unmarshal(value, &texts) != nil || len(texts) != 1 {
		return "", entry.BadRequest(`The field "prompt" must be a string or a list with one string.`)
	}
	return texts[0], nil
}
