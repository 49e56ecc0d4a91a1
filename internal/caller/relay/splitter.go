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

// errNoEvent means that a stream has ended before its first event.
var errNoEvent = errors.New("stream ends without an event")

// eventSplitter splits a stream of server-sent events into complete events. Only
// complete events are forwarded, so that the stream can be resumed after the
// last one.
type eventSplitter struct {
	pending []byte
	// lastID is the ID of the last event that add returned.
	lastID string
	// skipThroughID is the ID after which the stream is resumed. Events up to
	// and including it are dropped, because the caller has them. It is empty
	// for a new stream and once an event after it has arrived.
	skipThroughID string
}

func newEventSplitter(resumedAfter string) *eventSplitter {
	return &eventSplitter{lastID: resumedAfter, skipThroughID: resumedAfter}
}

// add appends data to the stream and returns the events that are complete now.
// The result is valid until the next call.
func (s *eventSplitter) add(data []byte) (ready []byte, err error) {
	s.pending = append(s.pending, data...)
	end := wholeEventsLength(s.pending)
	if end == 0 {
		if len(s.pending) > maxEventBytes {
			return nil, errEventTooLong
		}
		return nil, nil
	}
	ready = s.pending[:end:end]
	s.pending = append([]byte(nil), s.pending[end:]...)
	if s.skipThroughID != "" {
		var undecided []byte
		ready, undecided, err = s.skipSentEvents(ready)
		s.pending = append(append([]byte(nil), undecided...), s.pending...)
		if err == nil && len(s.pending) > maxEventBytes {
			err = errEventTooLong
		}
		if err != nil {
			return nil, err
		}
	}
	if id, found := lastEventID(ready); found {
		s.lastID = id
	}
	return ready, nil
}

// skipSentEvents drops the events that the caller has and returns the others. Whether the
// caller has an event without an ID shows at the next event with one; those at the end are
// returned as undecided. It returns an error if the events after the dropped ones are
// missing.
func (s *eventSplitter) skipSentEvents(events []byte) (ready, undecided []byte, err error) {
	undecided = events
	for at := 0; at < len(events); {
		end := at + firstEventLength(events[at:])
		id, found := lastEventID(events[at:end])
		at = end
		if !found {
			continue
		}
		gap, numbered := idDistance(s.skipThroughID, id)
		if !numbered || gap == 1 {
			s.skipThroughID = ""
			return undecided, nil, nil
		}
		if gap > 1 {
			return nil, nil, fmt.Errorf("resumed stream goes on at event %s after %s", id, s.skipThroughID)
		}
		undecided = events[end:]
	}
	return nil, undecided, nil
}

// idDistance returns next minus have. numbered is false if one of the IDs is not
// a number.
func idDistance(have, next string) (gap int64, numbered bool) {
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

// remainder returns the bytes after the last complete event.
func (s *eventSplitter) remainder() []byte {
	return s.pending
}

// insideEvent reports whether the stream has begun an event that is not complete. Blank lines
// and comments belong to no event.
func (s *eventSplitter) insideEvent() bool {
	for line := range bytes.Lines(s.pending) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// eventTerminators are the blank lines that can end an event.
var eventTerminators = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// wholeEventsLength returns the length of the complete events at the start of
// data.
func wholeEventsLength(data []byte) int {
	end := 0
	for _, blank := range eventTerminators {
		if at := bytes.LastIndex(data, blank); at >= 0 {
			end = max(end, at+len(blank))
		}
	}
	return end
}

// firstEventLength returns the length of the first event of data, which must
// hold complete events only.
func firstEventLength(data []byte) int {
	end := len(data)
	for _, blank := range eventTerminators {
		if at := bytes.Index(data, blank); at >= 0 {
			end = min(end, at+len(blank))
		}
	}
	return end
}

// lastEventID returns the last ID in the events.
func lastEventID(events []byte) (id string, found bool) {
	at := len(events)
	for at > 0 {
		start := bytes.LastIndexByte(events[:at-1], '\n') + 1
		line := bytes.TrimRight(events[start:at], "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimPrefix(value, []byte(" "))), true
		}
		at = start
	}
	return "", false
}
