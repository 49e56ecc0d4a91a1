package response

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Errors of an answer that is not whole or sound.
var (
	// ErrMalformed means that the bytes of an answer are none by the grammar of HTTP/1. Errors that
	// say why wrap it.
	ErrMalformed = errors.New("malformed answer")
	// ErrUnexpected means that bytes arrived while no answer was expected.
	ErrUnexpected = errors.New("bytes of the server belong to no request")
	// ErrHeadTooLarge means that an answer had not begun within MaxHeadBytes, so that the server may
	// send bytes without end that are no answer.
	ErrHeadTooLarge = errors.New("the head of the answer is too large")
	// ErrNoMemory means that the head of an answer does not fit into the memory that is left.
	ErrNoMemory = errors.New("no memory left for the head of the answer")
)

// Valid status codes.
const (
	minStatus = 100
	maxStatus = 599
)

const (
	fieldLength = "Content-Length"
	fieldCoding = "Transfer-Encoding"
)

// framing is how the end of a body is found.
type framing int

const (
	// noBody: the head is the whole answer.
	noBody framing = iota
	// byLength: the head tells the length.
	byLength
	// byChunks: the body is sent in chunks.
	byChunks
	// byClose: the body ends with the connection.
	byClose
)

// head is what the lines of a head tell of the rest of the answer.
type head struct {
	status int
	// isOld is set if the answer is of HTTP/1.0.
	isOld bool
	// lengths and codings are the values of Content-Length and Transfer-Encoding.
	lengths, codings []string
	// folded is the value that a folded line continues, nil if it is not needed. hasField is set once
	// there is a field to continue.
	folded   *string
	hasField bool
}

// malformed returns an error about a line of an answer.
func malformed(reason string, line []byte) error {
	const shown = 80
	return fmt.Errorf("%w: %s: %q", ErrMalformed, reason, line[:min(len(line), shown)])
}

// addLine checks a line of a head without its end. The first one is the status line.
func (h *head) addLine(line []byte) error {
	switch {
	case h.status == 0:
		return h.addStatusLine(line)
	case line[0] == ' ' || line[0] == '\t':
		return h.addFolded(line)
	}
	return h.addField(line)
}

// addStatusLine checks a status line: a version of HTTP/1, a blank, a status, and a reason after
// another blank, which may be missing.
func (h *head) addStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.isOld = true
	default:
		return malformed("no version of HTTP/1 in the status line", line)
	}
	status, err := strconv.ParseUint(string(code), 10, 16)
	if err != nil || len(code) != len("200") {
		return malformed("no status in the status line", line)
	}
	if status < minStatus || status > maxStatus {
		return malformed("status out of range", line)
	}
	if !httpguts.ValidHeaderFieldValue(string(reason)) {
		return malformed("control byte in the status line", line)
	}
	h.status = int(status)
	return nil
}

// addField checks a field: a name, a colon directly after it, and a value.
func (h *head) addField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return malformed("no field name before a colon", line)
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return malformed("control byte in a field", line)
	}
	h.hasField, h.folded = true, nil
	switch {
	case strings.EqualFold(string(name), fieldLength):
		h.folded = appendValue(&h.lengths, value)
	case strings.EqualFold(string(name), fieldCoding):
		h.folded = appendValue(&h.codings, value)
	}
	return nil
}

// appendValue adds the value of a field and returns it.
func appendValue(values *[]string, value []byte) *string {
	*values = append(*values, trim(value))
	return &(*values)[len(*values)-1]
}

// addFolded checks a line that continues the value of the field before it.
func (h *head) addFolded(line []byte) error {
	if !h.hasField {
		return malformed("folded line without a field", line)
	}
	if !httpguts.ValidHeaderFieldValue(string(line)) {
		return malformed("control byte in a field", line)
	}
	if h.folded != nil {
		*h.folded = strings.Trim(*h.folded+" "+trim(line), " ")
	}
	return nil
}

// trim returns a value without the blanks around it.
func trim(value []byte) string {
	return string(bytes.Trim(value, " \t"))
}

// isInterim reports whether another answer to the same request follows.
func (h *head) isInterim() bool {
	return h.status < http.StatusOK
}

// bodyFraming checks that the head tells in one way where the answer ends, and returns it with the
// length of the body. method is that of the request.
func (h *head) bodyFraming(method string) (framing framing, length int64, err error) {
	length, err = h.length()
	if err != nil {
		return noBody, 0, err
	}
	if err := h.checkCoding(); err != nil {
		return noBody, 0, err
	}
	switch {
	case h.status == http.StatusSwitchingProtocols:
		return noBody, 0, fmt.Errorf("%w: it switches protocols, which nobody asked for", ErrMalformed)
	case h.isInterim() && h.isOld:
		return noBody, 0, fmt.Errorf("%w: an interim status, which HTTP/1.0 does not have", ErrMalformed)
	case h.isInterim(), h.status == http.StatusNoContent, h.status == http.StatusNotModified, method == http.MethodHead:
		return noBody, 0, nil
	case len(h.codings) > 0:
		return byChunks, 0, nil
	case len(h.lengths) > 0:
		return byLength, length, nil
	}
	return byClose, 0, nil
}

// length returns the length that the head tells. Equal ones count as one.
func (h *head) length() (length int64, err error) {
	for _, value := range h.lengths {
		if value != h.lengths[0] {
			return 0, fmt.Errorf("%w: two lengths, %.20q and %.20q", ErrMalformed, h.lengths[0], value)
		}
	}
	if len(h.lengths) == 0 {
		return 0, nil
	}
	parsed, err := strconv.ParseUint(h.lengths[0], 10, 63)
	if err != nil {
		return 0, fmt.Errorf("%w: length %.20q", ErrMalformed, h.lengths[0])
	}
	return int64(parsed), nil
}

// checkCoding returns an error unless the answer has no transfer coding, or that in chunks alone.
func (h *head) checkCoding() error {
	switch {
	case len(h.codings) == 0:
		return nil
	case h.isOld:
		return fmt.Errorf("%w: a transfer coding, which HTTP/1.0 does not have", ErrMalformed)
	case len(h.codings) > 1 || !strings.EqualFold(h.codings[0], "chunked"):
		return fmt.Errorf("%w: transfer codings %.60q", ErrMalformed, h.codings)
	case len(h.lengths) > 0:
		return fmt.Errorf("%w: a length and chunks", ErrMalformed)
	}
	return nil
}

// CheckHead returns an error unless the status and header of an answer, of which another program has
// read the head, are those of a final answer.
func CheckHead(status int, header http.Header) error {
	if status < http.StatusOK || status > maxStatus {
		return fmt.Errorf("%w: status %d", ErrMalformed, status)
	}
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %.80q", ErrMalformed, name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("%w: control byte in field %.80q", ErrMalformed, name)
			}
		}
	}
	return nil
}
