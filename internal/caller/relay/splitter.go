package relay

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("event of the stream is too long")

// splitter cuts a stream into whole events, so that nothing incomplete is
// passed on and the stream can be resumed after the last whole one.
type splitter struct {
	pending []byte
	// lastID is the ID of the last event that was handed out.
	lastID string
	// resumed is the ID after which the stream was resumed, empty at the
	// beginning. Events up to it are left out.
	resumed string
}

func newSplitter(resumedAfter string) *splitter {
	return &splitter{lastID: resumedAfter, resumed: resumedAfter}
}

// add takes in what was read and returns the events that are whole now. The
// result is valid until the next call.
func (s *splitter) add(data []byte) (ready []byte, err error) {
	s.pending = append(s.pending, data...)
	end := wholeEvents(s.pending)
	if end == 0 {
		if len(s.pending) > maxEventBytes {
			return nil, errEventTooLong
		}
		return nil, nil
	}
	ready = s.pending[:end:end]
	s.pending = append([]byte(nil), s.pending[end:]...)
	if s.resumed != "" {
		ready, err = s.checkResumed(ready)
		if err != nil {
			return nil, err
		}
	}
	if id, found := lastEventID(ready); found {
		s.lastID = id
	}
	return ready, nil
}

// checkResumed leaves out events that the caller has, and finds out whether one
// is missing.
func (s *splitter) checkResumed(ready []byte) ([]byte, error) {
	for len(ready) > 0 {
		end := firstEvent(ready)
		id, found := lastEventID(ready[:end])
		if !found {
			return ready, nil
		}
		gap, numbered := distance(s.resumed, id)
		if !numbered || gap == 1 {
			s.resumed = ""
			return ready, nil
		}
		if gap > 1 {
			return nil, fmt.Errorf("resumed stream goes on at event %s after %s", id, s.resumed)
		}
		ready = ready[end:]
	}
	return nil, nil
}

// distance returns by how much the event next lies after have; numbered is false
// where their IDs are no numbers.
func distance(have, next string) (gap int64, numbered bool) {
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

// rest returns what follows the last whole event.
func (s *splitter) rest() []byte {
	return s.pending
}

// blankLines end an event.
var blankLines = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// wholeEvents returns the length of the whole events that data begins with.
func wholeEvents(data []byte) int {
	end := 0
	for _, blank := range blankLines {
		if at := bytes.LastIndex(data, blank); at >= 0 {
			end = max(end, at+len(blank))
		}
	}
	return end
}

// firstEvent returns the length of the first event of data, which holds whole
// events only.
func firstEvent(data []byte) int {
	end := len(data)
	for _, blank := range blankLines {
		if at := bytes.Index(data, blank); at >= 0 {
			end = min(end, at+len(blank))
		}
	}
	return end
}

// lastEventID returns the last ID that the events state.
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
