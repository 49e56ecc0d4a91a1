package rest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// errNoList means that a response is not a JSON list.
var errNoList = errors.New("rest: the response is not a list")

// DecodeList decodes a JSON list whose elements other programs have written. Elements that
// cannot be decoded are left out and passed to unusable.
func DecodeList[T any](data []byte, unusable func(err error)) (elements []T, err error) {
	encoded, err := splitList(data)
	if err != nil {
		return nil, err
	}
	for n, raw := range encoded {
		var element T
		if err := json.Unmarshal(raw, &element); err != nil {
			unusable(fmt.Errorf("decode element %d: %.200s", n, err.Error()))
			continue
		}
		elements = append(elements, element)
	}
	return elements, nil
}

// splitList returns the elements of a list, which may be of any depth. The decoder of the
// standard library refuses the whole list for one that is nested deeply.
func splitList(data []byte) (elements [][]byte, err error) {
	data = bytes.TrimSpace(data)
	if string(data) == "null" {
		return nil, nil // An empty list in the encoding of Go.
	}
	if len(data) < len("[]") || data[0] != '[' || data[len(data)-1] != ']' {
		return nil, errNoList
	}
	data = bytes.TrimSpace(data[1 : len(data)-1])
	if len(data) == 0 {
		return nil, nil
	}
	start, depth, inText, escaped := 0, 0, false, false
	for n, char := range data {
		switch {
		case escaped:
			escaped = false
		case inText:
			escaped, inText = char == '\\', char != '"'
		case char == '"':
			inText = true
		case char == '[' || char == '{':
			depth++
		case char == ']' || char == '}':
			depth--
		case char == ',' && depth == 0:
			elements = append(elements, data[start:n])
			start = n + 1
		}
	}
	return append(elements, data[start:]), nil
}
