package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

var (
	errTooMany = errors.New("too many elements")
	errNoValue = errors.New("not a value of the expected kind")
)

// decodeObject decodes the fields of a JSON object. It stops with errTooMany at more than a number of
// fields, before it has stored them, since a field takes many times its bytes.
func decodeObject(raw []byte, maxFields int) (fields map[string]json.RawMessage, err error) {
	fields = make(map[string]json.RawMessage)
	count := 0
	err = decodeElements(raw, '{', func(decoder *json.Decoder) error {
		if count++; count > maxFields {
			return errTooMany
		}
		name, err := decoder.Token()
		if err != nil {
			return err
		}
		text, isText := name.(string)
		if !isText {
			return errNoValue
		}
		var value json.RawMessage
		err = decoder.Decode(&value)
		fields[text] = value
		return err
	})
	return fields, err
}

// decodeElements decodes one JSON array or object, of which open is the first character. decode decodes
// one element.
func decodeElements(raw []byte, open json.Delim, decode func(decoder *json.Decoder) error) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	first, err := decoder.Token()
	if err != nil {
		return err
	}
	if first != open {
		return errNoValue
	}
	for decoder.More() {
		if err := decode(decoder); err != nil {
			return err
		}
	}
	if _, err := decoder.Token(); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errNoValue
	}
	return nil
}
