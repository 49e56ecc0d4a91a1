package load

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// ErrEventTooLong is returned for an event longer than MaxEventBytes.
var ErrEventTooLong = errors.New("load: event is too long")

// MaxEventBytes is the maximum size of one event.
const MaxEventBytes = 1 << 20

// EventReader reads the data of server-sent events.
type EventReader struct {
	lines *bufio.Reader
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{lines: bufio.NewReader(r)}
}

// Next returns the data of the next event, its lines joined by newlines.
// It returns io.EOF at the end. An event that is not terminated by an empty line
// is dropped, as the server-sent events standard requires.
func (e *EventReader) Next() ([]byte, error) {
	var data []byte
	found := false
	for {
		line, err := e.line(MaxEventBytes - len(data))
		if err != nil {
			return nil, err
		}
		if len(line) == 0 && found {
			return data, nil
		}
		value, isData := bytes.CutPrefix(line, []byte("data:"))
		if !isData {
			continue
		}
		if found {
			data = append(data, '\n')
		}
		found = true
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
	}
}

// line returns the next line without its line ending.
func (e *EventReader) line(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := e.lines.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit {
			return nil, ErrEventTooLong
		}
		if err == nil {
			return bytes.TrimRight(line, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}
