package hostile

import (
	"fmt"
	"io"
	"net"
	"strings"
)

const (
	// endlessPiece is the size of the pieces of an answer that does not end.
	endlessPiece = 16 << 10
	// stalledBytes is how much of an answer arrives that then stands still.
	stalledBytes = 1<<20 - 1<<10
)

// Answers returns what servers do with a connection on which a request has arrived, by name: answers
// that do not end, or that stand still. fields are the header fields that name the request.
func Answers(fields string) map[string]Behavior {
	const ok = "HTTP/1.1 200 OK\r\n"
	chunked := ok + fields + "Transfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("x", endlessPiece)
	whole := func(status string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(long), long)
	}
	return map[string]Behavior{
		"bytes that are no answer":   endless("", []byte(long)),
		"status line":                endless("HTTP/1.1 200 O", []byte(long)),
		"fields":                     endless(ok+fields, []byte(strings.Repeat("X-Note: 1\r\n", 1000))),
		"one field":                  endless(ok+fields+"X-Note: ", []byte(long)),
		"interim answers":            endless("", []byte("HTTP/1.1 102 Processing\r\nX-Note: "+long+"\r\n\r\n")),
		"extension of a chunk":       endless(chunked+"5;", []byte(long)),
		"trailer":                    endless(chunked+"1\r\nx\r\n0\r\n", []byte("X-Note: "+long+"\r\n")),
		"first event":                endless(chunked, chunk(endlessPiece)),
		"first event without chunks": endless(ok+fields+"\r\ndata: ", []byte(long)),
		"later event":                endless(chunked+"e\r\ndata: first\n\n\r\n", chunk(endlessPiece)),
		"events":                     endless(chunked, []byte(strings.Repeat("9\r\ndata: x\n\n\r\n", 1000))),
		"body by length":             endless(ok+fields+"Content-Length: 1000000000000\r\n\r\n", []byte(long)),
		"event that stands still":    stalled(chunked+fmt.Sprintf("%x\r\ndata: ", stalledBytes), stalledBytes-len("data: ")),
		"body that stands still":     stalled(ok+fields+"Content-Length: 1000000\r\n\r\n", stalledBytes/2),
		"head that stands still":     stalled(ok+fields+"X-Note: ", 60<<10),
		"head of many fields":        stalled(ok+fields+strings.Repeat("X-N: 1\r\n", 7000), 1),
		"answers of others":          endless("", []byte(strings.Replace(whole("200 OK"), fields, "Banyanshift-Attempt-Id: other\r\nRequest-Id: other\r\n", 1))),
		"long errors":                stalled(whole("500 Failed"), 0),
	}
}

// stalled writes a start and a number of bytes, and then nothing more.
func stalled(start string, length int) Behavior {
	return func(conn net.Conn) {
		if _, err := io.WriteString(conn, start+strings.Repeat("x", length)); err == nil {
			stay(conn)
		}
	}
}

// Unread returns the Behavior of clients that send a request and read nothing of the answer.
func Unread(request string) Behavior {
	return func(conn net.Conn) {
		if _, err := io.WriteString(conn, request); err == nil {
			waitUnread(conn)
		}
	}
}

// Reading returns the Behavior of clients that send a request and read the answer to its end.
func Reading(request string) Behavior {
	return func(conn net.Conn) {
		if _, err := io.WriteString(conn, request); err == nil {
			stay(conn)
		}
	}
}
