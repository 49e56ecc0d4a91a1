package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
)

var (
	// errOldChunks means that an answer of HTTP/1.0 claims to be in chunks, so that nothing tells
	// where it ends. net/http would take the sizes of the chunks for a part of the body.
	errOldChunks = errors.New("the endpoint answers in HTTP/1.0 with a transfer coding")
	// errOldInterim means that an answer of HTTP/1.0 has a status that only later versions have.
	errOldInterim = errors.New("the endpoint answers in HTTP/1.0 with an interim status")
)

// isOldAnswer reports whether the next answer is of HTTP/1.0. It waits for no more bytes than it
// needs.
func isOldAnswer(reader *bufio.Reader) bool {
	const version = "HTTP/1.0"
	for n := 1; n <= len(version); n++ {
		start, err := reader.Peek(n)
		if err != nil || string(start) != version[:n] {
			return false
		}
	}
	return true
}

// checkOldHead reads the status line and header of an answer of HTTP/1.0, and returns an error if
// it has a transfer coding. The reader that it returns reads the same answer; what follows the
// answer cannot be read.
func checkOldHead(reader *bufio.Reader) (*bufio.Reader, error) {
	var head []byte
	for {
		line, err := readLine(reader)
		if err != nil {
			return nil, err
		}
		head = append(head, line...)
		name, _, _ := strings.Cut(string(line), ":")
		if strings.EqualFold(strings.TrimSpace(name), "Transfer-Encoding") {
			return nil, errOldChunks
		}
		if strings.TrimRight(string(line), "\r\n") == "" {
			return bufio.NewReader(io.MultiReader(bytes.NewReader(head), reader)), nil
		}
	}
}

// readLine reads a line with its end. One that is cut off is an error.
func readLine(reader *bufio.Reader) (line []byte, err error) {
	line, err = reader.ReadBytes('\n')
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return line, err
}
