package relay

import "bytes"

// byteOrderMark may stand at the start of a stream.
var byteOrderMark = []byte("\ufeff")

// lineKind is what a line of a stream of server-sent events is.
type lineKind int

const (
	// blankLine ends an event.
	blankLine lineKind = iota
	// commentLine belongs to no event.
	commentLine
	// retryLine concerns the connection only.
	retryLine
	// eventLine holds a standard field of an event.
	eventLine
	// extraLine holds another field. Clients ignore it.
	extraLine
	// invalidLine is no line of an event.
	invalidLine
)

// classifyLine returns the kind of a line. Fields that are not standard have a name of letters,
// digits and hyphens and a colon, unlike the status line of an answer, JSON, HTML and most text.
func classifyLine(line []byte) lineKind {
	line = bytes.TrimPrefix(bytes.TrimRight(line, "\r\n"), byteOrderMark)
	if len(line) == 0 {
		return blankLine
	}
	name, _, hasColon := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "":
		return commentLine
	case "retry":
		return retryLine
	case "id", "event", "data":
		return eventLine
	}
	if hasColon && bytes.IndexFunc(name, isNoNameRune) < 0 {
		return extraLine
	}
	return invalidLine
}

func isNoNameRune(r rune) bool {
	isLetter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
	return !isLetter && (r < '0' || r > '9') && r != '-' && r != '_'
}

// isEvent reports whether complete lines up to a blank one are an event or comments. Fields that
// are not standard occur in an event that has standard ones.
func isEvent(lines []byte) bool {
	counts := countLines(lines)
	return counts[invalidLine] == 0 && (counts[extraLine] == 0 || counts[eventLine] > 0)
}

// hasContent reports whether an event is more than comments and the time to reconnect after.
func hasContent(event []byte) bool {
	return countLines(event)[eventLine] > 0
}

// hasEventLines reports whether there are lines that belong to an event, complete or not. Blank
// lines and comments belong to none.
func hasEventLines(data []byte) bool {
	counts := countLines(data)
	return counts[retryLine]+counts[eventLine]+counts[extraLine]+counts[invalidLine] > 0
}

// countLines returns the number of lines of each kind.
func countLines(data []byte) (counts [invalidLine + 1]int) {
	for line := range bytes.Lines(data) {
		counts[classifyLine(line)]++
	}
	return counts
}
