package relay

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("event of the stream is too long")

// errEndsInsideEvent means that a stream has broken off, though its connection or its body
// ended properly.
var errEndsInsideEvent = errors.New("stream ends inside an event")

// errNoEvent means that a stream has ended before its first event, and may have broken off.
var errNoEvent = errors.New("stream ends without an event")

// errWrongEvents means that an answer does not go on with the stream that the caller has
// begun to receive. It is wrapped by errors that say why.
var errWrongEvents = errors.New("answer does not go on with the stream")

// streamPosition is how far the caller has received a stream.
type streamPosition struct {
	// lastID is the ID of the last event that has one, empty if none has.
	lastID string
	// unnumbered is the number of events without an ID after that one.
	unnumbered int
}

// isNumbered reports whether an endpoint can be asked to go on after this position, and its
// answer can be checked.
func (p streamPosition) isNumbered() bool {
	_, err := strconv.ParseInt(p.lastID, 10, 64)
	return err == nil
}

// eventSplitter splits a stream of server-sent events into complete events. Only
// complete events are forwarded, so that the stream can be resumed after the
// last one. It returns an error for bytes that are no events or that do not go on with the
// stream.
type eventSplitter struct {
	// position is that of the caller after the events that add returned.
	position streamPosition
	// buffer holds what the last call of add returned or dropped, taken bytes, then the undecided
	// events up to parsed, and then the bytes after the last complete event. The first scanned ones of
	// these do not end an event.
	buffer                 eventBuffer
	taken, parsed, scanned int
	// searching is set until the first event after the position at which the stream is
	// resumed has arrived. The events before it are dropped, because the caller has them.
	// Whether it has those without an ID that stand after the last one found, the undecided ones,
	// shows at the next event with one.
	searching bool
	// foundID is the last ID that was found while searching, empty if there was none.
	foundID string
}

// newEventSplitter returns a splitter for a stream that is resumed, or starts, at a position. What
// it holds is counted by reserve.
func newEventSplitter(position streamPosition, reserve func(bytes int) bool) *eventSplitter {
	return &eventSplitter{position: position, searching: position.isNumbered(), buffer: eventBuffer{reserve: reserve}}
}

// add appends data to the stream and returns the events that are complete now, which are valid until
// the next call. They are to be forwarded also if it returns an error, which is about the bytes after
// them.
func (s *eventSplitter) add(data []byte) (ready []byte, err error) {
	s.buffer.drop(s.taken)
	s.parsed, s.taken = s.parsed-s.taken, 0
	if err := s.buffer.add(data); err != nil {
		return nil, err
	}
	from := 0
	for err == nil {
		length := firstEventLength(s.buffer.data[s.parsed:], s.scanned)
		if length == 0 {
			s.scanned = len(s.buffer.data) - s.parsed
			break
		}
		if from, err = s.take(from, s.parsed+length); err == nil {
			s.parsed, s.scanned = s.parsed+length, 0
		}
	}
	s.taken = from
	if !s.searching {
		s.taken = s.parsed
	}
	if err == nil && len(s.remainder()) > maxEventBytes {
		err = errEventTooLong
	}
	return s.buffer.data[from:s.taken], err
}

// take takes the next event, which ends at end. It returns where the events begin that are undecided
// or to be forwarded, which is from unless events are dropped.
func (s *eventSplitter) take(from, end int) (int, error) {
	event := s.buffer.data[s.parsed:end]
	if !isEvent(event) {
		return from, fmt.Errorf("%w: it has bytes that are no event", errWrongEvents)
	}
	id, found := lastEventID(event)
	switch {
	case s.searching && found:
		return s.takeFound(from, end, id)
	case s.searching:
	case found:
		return from, s.takeNumbered(id)
	case hasContent(event):
		s.position.unnumbered++
	}
	return from, nil
}

// takeNumbered takes an event that is in its place. IDs that are numbers increase.
func (s *eventSplitter) takeNumbered(id string) error {
	distance, numbered := idDistance(s.position.lastID, id)
	if numbered && distance <= 0 {
		return fmt.Errorf("%w: event %s comes after %s", errWrongEvents, id, s.position.lastID)
	}
	s.position = streamPosition{lastID: id}
	return nil
}

// takeFound drops an event that the caller has. It takes the first event that the caller
// does not have, together with those before it, and returns an error if others are missing.
func (s *eventSplitter) takeFound(from, end int, id string) (int, error) {
	distance, numbered := idDistance(s.position.lastID, id)
	switch {
	case !numbered || distance > 1:
		return from, fmt.Errorf("%w: it is resumed at event %s after %s", errWrongEvents, id, s.position.lastID)
	case distance <= 0:
		s.foundID = id
		return end, nil
	}
	from += receivedLength(s.buffer.data[from:s.parsed], s.position.unnumbered)
	s.searching = false
	s.position = streamPosition{lastID: id}
	return from, nil
}

// receivedLength returns the length of the first events up to the last one that the caller has, of
// which it has a number with content.
func receivedLength(events []byte, received int) (length int) {
	for received > 0 && length < len(events) {
		next := firstEventLength(events[length:], 0)
		if hasContent(events[length : length+next]) {
			received--
		}
		length += next
	}
	return length
}

// idDistance returns next minus have. numbered is false if one of the IDs is not
// a number.
func idDistance(have, next string) (distance int64, numbered bool) {
	from, err := strconv.ParseInt(have, 10, 64)
	if err != nil {
		return 0, false
	}
	to, err := strconv.ParseInt(next, 10, 64)
	if err != nil {
		return 0, false
	}
	return to - from, true
}

// remainder returns the bytes after the last event that add returned or dropped.
func (s *eventSplitter) remainder() []byte {
	return s.buffer.data[s.taken:]
}

// checkEnd returns an error if the end of the answer, whose last events have arrived, cannot be
// that of the stream. explicit is set if the answer says where it ends.
func (s *eventSplitter) checkEnd(explicit bool) error {
	switch {
	case hasEventLines(s.buffer.data[s.parsed:]):
		return errEndsInsideEvent
	case !s.searching:
		return nil
	case hasContent(s.buffer.data[s.taken:s.parsed]):
		return fmt.Errorf("%w: it ends with events without an ID", errWrongEvents)
	case s.foundID == "" && !explicit:
		return errNoEvent
	case s.foundID == "":
		return nil
	}
	if distance, _ := idDistance(s.position.lastID, s.foundID); distance < 0 {
		return fmt.Errorf("%w: it ends with event %s before %s", errWrongEvents, s.foundID, s.position.lastID)
	}
	return nil
}

// firstEventLength returns the length of the first event of data, 0 if it is not complete. A blank
// line ends it, and none ends in the first scanned bytes.
func firstEventLength(data []byte, scanned int) (length int) {
	const longestEnd = len("\r\n\r\n")
	for at := max(scanned-longestEnd, 0); ; {
		next := bytes.IndexByte(data[at:], '\n')
		if next < 0 {
			return 0
		}
		at += next + 1
		switch {
		case bytes.HasPrefix(data[at:], []byte("\n")):
			return at + len("\n")
		case bytes.HasSuffix(data[:at], []byte("\r\n")) && bytes.HasPrefix(data[at:], []byte("\r\n")):
			return at + len("\r\n")
		}
	}
}

// lastEventID returns the last ID in the events. An empty one counts as none.
func lastEventID(events []byte) (id string, found bool) {
	at := len(events)
	for at > 0 {
		start := bytes.LastIndexByte(events[:at-1], '\n') + 1
		line := bytes.TrimRight(events[start:at], "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
			return id, id != ""
		}
		at = start
	}
	return "", false
}
