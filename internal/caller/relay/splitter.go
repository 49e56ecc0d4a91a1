package relay

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
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
	// pending holds the bytes after the last complete event.
	pending []byte
	// searching is set until the first event after the position at which the stream is
	// resumed has arrived. The events before it are dropped, because the caller has them.
	searching bool
	// foundID is the last ID that was found while searching, empty if there was none.
	foundID string
	// undecided holds the events without an ID that were found after it. Whether the caller
	// has them shows at the next event with one.
	undecided [][]byte
}

// newEventSplitter returns a splitter for a stream that is resumed, or starts, at a position.
func newEventSplitter(position streamPosition) *eventSplitter {
	return &eventSplitter{position: position, searching: position.isNumbered()}
}

// add appends data to the stream and returns the events that are complete now. They are to be
// forwarded also if it returns an error, which is about the bytes after them.
func (s *eventSplitter) add(data []byte) (ready []byte, err error) {
	s.pending = append(s.pending, data...)
	used := 0
	for err == nil {
		length := firstEventLength(s.pending[used:])
		if length == 0 {
			break
		}
		var next []byte
		next, err = s.take(s.pending[used : used+length])
		ready = append(ready, next...)
		used += length
	}
	s.pending = s.pending[:copy(s.pending, s.pending[used:])]
	if err == nil && len(s.remainder()) > maxEventBytes {
		err = errEventTooLong
	}
	return ready, err
}

// take returns what is to be forwarded now that an event is complete.
func (s *eventSplitter) take(event []byte) (ready []byte, err error) {
	if !isEvent(event) {
		return nil, fmt.Errorf("%w: it has bytes that are no event", errWrongEvents)
	}
	id, found := lastEventID(event)
	switch {
	case s.searching && found:
		return s.takeFound(event, id)
	case s.searching:
		s.undecided = append(s.undecided, bytes.Clone(event))
		return nil, nil
	case found:
		return s.takeNumbered(event, id)
	case hasContent(event):
		s.position.unnumbered++
	}
	return event, nil
}

// takeNumbered returns an event that is in its place. IDs that are numbers increase.
func (s *eventSplitter) takeNumbered(event []byte, id string) (ready []byte, err error) {
	distance, numbered := idDistance(s.position.lastID, id)
	if numbered && distance <= 0 {
		return nil, fmt.Errorf("%w: event %s comes after %s", errWrongEvents, id, s.position.lastID)
	}
	s.position = streamPosition{lastID: id}
	return event, nil
}

// takeFound drops an event that the caller has. It returns the first event that the caller
// does not have, together with those before it, and an error if others are missing.
func (s *eventSplitter) takeFound(event []byte, id string) (ready []byte, err error) {
	distance, numbered := idDistance(s.position.lastID, id)
	switch {
	case !numbered || distance > 1:
		return nil, fmt.Errorf("%w: it is resumed at event %s after %s", errWrongEvents, id, s.position.lastID)
	case distance <= 0:
		s.foundID, s.undecided = id, nil
		return nil, nil
	}
	ready = append(s.undecidedAfter(s.position.unnumbered), event...)
	s.searching, s.undecided = false, nil
	s.position = streamPosition{lastID: id}
	return ready, nil
}

// undecidedAfter returns the undecided events without the first ones, as many as the caller
// has.
func (s *eventSplitter) undecidedAfter(received int) (events []byte) {
	for _, event := range s.undecided {
		if hasContent(event) && received > 0 {
			received--
			continue
		}
		events = append(events, event...)
	}
	return events
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
	if len(s.undecided) == 0 {
		return s.pending
	}
	return append(bytes.Join(s.undecided, nil), s.pending...)
}

// checkEnd returns an error if the end of the answer, whose last events have arrived, cannot be
// that of the stream. explicit is set if the answer says where it ends.
func (s *eventSplitter) checkEnd(explicit bool) error {
	switch {
	case hasEventLines(s.pending):
		return errEndsInsideEvent
	case !s.searching:
		return nil
	case slices.ContainsFunc(s.undecided, hasContent):
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

// eventTerminators are the blank lines that can end an event.
var eventTerminators = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// firstEventLength returns the length of the first event of data, 0 if it is not complete.
func firstEventLength(data []byte) (length int) {
	for _, blank := range eventTerminators {
		if at := bytes.Index(data, blank); at >= 0 && (length == 0 || at+len(blank) < length) {
			length = at + len(blank)
		}
	}
	return length
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
