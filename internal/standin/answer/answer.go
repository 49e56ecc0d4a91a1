// Package answer has the bytes of answers that servers send, sound ones and malformed ones.
//
// # Usage
//
//	for _, a := range answer.Malformed() {
//		_, _ = io.WriteString(conn, a.Text("Request-Id: "+id+"\r\n", body))
//	}
package answer

import (
	"strconv"
	"strings"
)

// Answer is an answer with a name. After it the server closes the connection.
type Answer struct {
	Name string
	// text holds placeholders for the fields that name the request, the body and its length in
	// decimal and in hexadecimal digits.
	text string
}

// Placeholders in the text of an Answer.
const (
	fieldsMark = "{fields}"
	bodyMark   = "{body}"
	lengthMark = "{length}"
	hexMark    = "{hex}"
)

// sound is a whole answer, which may follow a malformed one.
const sound = "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"

// Text returns the bytes of the answer. fields are header fields with their line ends.
func (a Answer) Text(fields, body string) string {
	return strings.NewReplacer(fieldsMark, fields, bodyMark, body,
		lengthMark, strconv.Itoa(len(body)), hexMark, strconv.FormatInt(int64(len(body)), 16)).Replace(a.text)
}

// Malformed returns answers that no caller may get, whole or in part.
func Malformed() (answers []Answer) {
	for _, list := range [][]Answer{malformedStatusLines(), malformedFields(), malformedLengths(), malformedInterims()} {
		answers = append(answers, list...)
	}
	return answers
}

// malformedStatusLines returns answers with a status line that is none, or a status outside of 100
// to 599.
func malformedStatusLines() (answers []Answer) {
	for _, line := range []string{
		"HTTP/1.1 000 None", "HTTP/1.1 042 Low", "HTTP/1.1 099 Low", "HTTP/1.1 600 High", "HTTP/1.1 999 High",
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 200OK",
		"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x7fK",
		"HTTP/1.1", "HTTP/1.1 ", "HTTP/1 200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "http/1.1 200 OK", " HTTP/1.1 200 OK", "ICY 200 OK",
	} {
		answers = append(answers, Answer{Name: "status line " + strconv.Quote(line), text: line + sound[len("HTTP/1.1 200 OK"):]})
	}
	for _, status := range []string{"000", "042", "099", "600"} {
		empty := "HTTP/1.1 " + status + " None\r\n{fields}Content-Length: 0\r\n\r\n"
		answers = append(answers, Answer{Name: "status " + status, text: empty}, Answer{Name: "status " + status + " before a 200", text: empty + sound})
	}
	return append(answers, Answer{Name: "empty line before the status line", text: "\r\n" + sound})
}

// malformedFields returns answers with a line in the head that is no field.
func malformedFields() (answers []Answer) {
	for _, line := range []string{
		"X Note: 1", "X-Note : 1", "X-Note\t: 1", "X\tNote: 1", "X-Note \t: 1", "X\x01Note: 1", "X\x00Note: 1", "X\x7fNote: 1", "X-Note\r: 1",
		"X-Note: a\x00b", "X-Note: a\x01b", "X-Note: a\rb", "X-Note: a\x7fb", "X-Note: \x00", ": 1", "X-Note", "X(Note): 1", "X/Note: 1",
		"\"X\": 1", "X-N\u00f6te: 1", "X-Note: 1\r\n folded\x00", "Connection : close", "HTTP/1.1 200 OK",
	} {
		answers = append(answers,
			Answer{Name: "field " + strconv.Quote(line), text: "HTTP/1.1 200 OK\r\n{fields}" + line + "\r\nContent-Length: {length}\r\n\r\n{body}"},
			Answer{Name: "first field " + strconv.Quote(line), text: "HTTP/1.1 200 OK\r\n" + line + "\r\n{fields}Content-Length: {length}\r\n\r\n{body}"},
		)
	}
	return append(answers, Answer{Name: "folded line without a field", text: "HTTP/1.1 200 OK\r\n folded: 1\r\n{fields}Content-Length: {length}\r\n\r\n{body}"})
}

// malformedLengths returns answers that do not tell in one way where they end.
func malformedLengths() (answers []Answer) {
	const chunks = "{hex}\r\n{body}\r\n0\r\n\r\n"
	for _, test := range []struct{ fields, body string }{
		{"Content-Length : {length}", "{body}{body}"},
		{"Content-Length\t: {length}", "{body}{body}"},
		{"Content-Length: +{length}", "{body}"},
		{"Content-Length: -{length}", "{body}"},
		{"Content-Length: 0x{hex}", "{body}"},
		{"Content-Length: {length}.0", "{body}"},
		{"Content-Length: 1 {length}", "{body}"},
		{"Content-Length: {length}, {length}", "{body}"},
		{"Content-Length:", "{body}"},
		{"Content-Length: 99999999999999999999", "{body}"},
		{"Content-Length: {length}\r\nContent-Length: 1", "{body}"},
		{"Content-Length: {length}\r\nTransfer-Encoding: chunked", chunks},
		{"Transfer-Encoding: chunked\r\nContent-Length: {length}", chunks},
		{"Transfer-Encoding : chunked", chunks},
		{"Transfer-Encoding : chunked\r\nContent-Length: {length}", "{body}"},
		{"Transfer-Encoding: gzip, chunked", chunks},
		{"Transfer-Encoding: chunked, chunked", chunks},
		{"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", chunks},
		{"Transfer-Encoding: identity", "{body}"},
		{"Transfer-Encoding:", "{body}"},
	} {
		answers = append(answers, Answer{Name: "lengths " + strconv.Quote(test.fields), text: "HTTP/1.1 200 OK\r\n{fields}" + test.fields + "\r\n\r\n" + test.body})
	}
	return append(answers, Answer{Name: "chunks in HTTP/1.0", text: "HTTP/1.0 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n" + chunks})
}

// malformedInterims returns sound answers that follow something that is no interim answer.
func malformedInterims() (answers []Answer) {
	for _, interim := range []string{
		"HTTP/1.1 099 Low\r\n\r\n", "HTTP/1.1 100 Continue\r\nX Note: 1\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink : a\r\n\r\n",
		"HTTP/1.1 100 Con\x00tinue\r\n\r\n", "HTTP/1.0 100 Continue\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"HTTP/1.1 102 Processing\r\nContent-Length : 0\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nbytes\r\n",
	} {
		answers = append(answers, Answer{Name: "interim " + strconv.Quote(interim), text: interim + sound})
	}
	return answers
}

// Sound returns whole answers with status 200 that callers get.
func Sound() (answers []Answer) {
	for name, text := range map[string]string{
		"by length":                 sound,
		"in chunks":                 "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{hex}\r\n{body}\r\n0\r\n\r\n",
		"chunks with extensions":    "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: Chunked\r\n\r\n{hex};a=b\r\n{body}\r\n0\r\nX-Sum: 1\r\n\r\n",
		"names in other cases":      "HTTP/1.1 200 OK\r\n{fields}x-note: 1\r\nX-OTHER: 1\r\ncONTENT-lENGTH: {length}\r\n\r\n{body}",
		"folded line":               "HTTP/1.1 200 OK\r\n{fields}X-Note: one\r\n two\r\n\tthree\r\nContent-Length: {length}\r\n\r\n{body}",
		"folded length":             "HTTP/1.1 200 OK\r\n{fields}Content-Length:\r\n {length}\r\n\r\n{body}",
		"empty reason":              "HTTP/1.1 200 \r\n{fields}Content-Length: {length}\r\n\r\n{body}",
		"no reason":                 "HTTP/1.1 200\r\n{fields}Content-Length: {length}\r\n\r\n{body}",
		"other reason":              "HTTP/1.1 200 All  is w\u00e4ll\r\n{fields}Content-Length: {length}\r\n\r\n{body}",
		"lines that end with LF":    "HTTP/1.1 200 OK\n{fields}Content-Length: {length}\n\n{body}",
		"blanks around values":      "HTTP/1.1 200 OK\r\n{fields}X-Note:\t 1 \t\r\nX-Empty:\r\nContent-Length:{length} \r\n\r\n{body}",
		"values of all bytes":       "HTTP/1.1 200 OK\r\n{fields}X-Note: \"a\tb\" \xff\u00e4\r\n!#$%&'*+-.^_`|~: 1\r\nContent-Length: {length}\r\n\r\n{body}",
		"length twice":              "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\nContent-Length: {length}\r\n\r\n{body}",
		"length with zeros":         "HTTP/1.1 200 OK\r\n{fields}Content-Length: 00{length}\r\n\r\n{body}",
		"interim answers":           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103\r\nLink: </a>\r\n\r\n" + sound,
		"of HTTP/1.0":               "HTTP/1.0 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}",
		"announces the close":       "HTTP/1.1 200 OK\r\n{fields}Connection: close\r\nContent-Length: {length}\r\n\r\n{body}",
		"bytes after its end":       sound + "\x00\x01 bytes",
		"another one after it":      sound + sound,
		"malformed one after it":    sound + "HTTP/1.1 000 None\r\n\r\n",
		"many fields":               "HTTP/1.1 200 OK\r\n{fields}" + strings.Repeat("X-Note: 1\r\n", 1000) + "Content-Length: {length}\r\n\r\n{body}",
		"field of many bytes":       "HTTP/1.1 200 OK\r\n{fields}X-Note: " + strings.Repeat("x", 30000) + "\r\nContent-Length: {length}\r\n\r\n{body}",
		"keep-alive with a timeout": "HTTP/1.1 200 OK\r\n{fields}Keep-Alive: timeout=1\r\nContent-Length: {length}\r\n\r\n{body}",
	} {
		answers = append(answers, Answer{Name: name, text: text})
	}
	return answers
}
