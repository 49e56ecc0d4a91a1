package http1_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

// framedAnswers are whole answers to request "a", by how they show their end. Each has the body
// "0123456789ab", or none.
var framedAnswers = map[string]string{
	"Length":         "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nContent-Length: 12\r\n\r\n0123456789ab",
	"LengthFirst":    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: a\r\nSeal: s\r\n\r\n0123456789ab",
	"LengthOfTens":   "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0000000012\r\n\r\n0123456789ab",
	"Chunks":         "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0a\r\n0123456789\r\n2;x=\"y\"\r\nab\r\n0\r\n\r\n",
	"Trailer":        "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\nc\r\n0123456789ab\r\n000\r\nSeal: s\r\nSum: 1\r\n\r\n",
	"Interim":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 12\r\n\r\n0123456789ab",
	"InterimAndNone": "HTTP/1.1 102 Processing\r\nId: a\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n",
	"HTTP10":         "HTTP/1.0 200 OK\r\nId: a\r\nConnection: keep-alive\r\nContent-Length: 12\r\n\r\n0123456789ab",
	"Failure":        "HTTP/1.1 500 Internal Server Error\r\nId: a\r\nContent-Length: 12\r\n\r\n0123456789ab",
	"NoContent":      "HTTP/1.1 204 No Content\r\nId: a\r\nSeal: s\r\n\r\n",
	"LineFeeds":      "HTTP/1.1 200 OK\nId: a\nContent-Length: 12\n\n0123456789ab",
}

// unframedAnswers are answers to request "a" that end with the connection.
var unframedAnswers = map[string]string{
	"Connection":       "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nConnection: close\r\n\r\n0123456789ab",
	"InterimAndClose":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n\r\n0123456789ab",
	"HTTP10":           "HTTP/1.0 200 OK\r\nId: a\r\nSeal: s\r\n\r\n0123456789ab",
	"HTTP10WithFields": "HTTP/1.0 200 OK\r\nId: a\r\nSeal: s\r\nX: y\r\n\r\n0123456789ab",
}

// cutEndpoint is an endpoint that ends its connections within an answer.
type cutEndpoint struct {
	answer string
	// reset is set if it does not end them properly.
	reset bool
}

func (e cutEndpoint) serve(conn net.Conn, _ int) {
	_ = readRequest(bufio.NewReader(conn))
	_, _ = io.WriteString(conn, e.answer)
	if e.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// errGone means that the process of an endpoint has ended.
var errGone = errors.New("gone")

// getCut sends request "a" to an endpoint that ends its connection after an answer.
func getCut(t *testing.T, answer string, reset bool, confirmed error) (body string, err error) {
	e := newEndpoint(t, cutEndpoint{answer: answer, reset: reset}.serve)
	defer e.listener.Close()
	pool := http1.New(http1.Config{Clock: clock.System(), AnsweredID: answeredID, ConfirmEnd: func(context.Context, http1.Process) error { return confirmed }})
	return get(pool, e, request("a"))
}

// TestAnswerThatIsCutAtAnyByteIsNotWhole guards against an end of the connection that counts as
// the end of a head, of a field or of a chunk.
func TestAnswerThatIsCutAtAnyByteIsNotWhole(t *testing.T) {
	for name, whole := range framedAnswers {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, "/", reset), func(t *testing.T) {
				t.Parallel()
				for cut := range len(whole) {
					if body, err := getCut(t, whole[:cut], reset, nil); err == nil {
						t.Errorf("cut after %q: got a whole answer with body %q", whole[:cut], body)
					}
				}
				want := ""
				if strings.Contains(whole, "0123456789") {
					want = "0123456789ab"
				}
				if body, err := getCut(t, whole, false, errGone); err != nil || body != want {
					t.Errorf("whole answer: got body %q and error %v", body, err)
				}
			})
		}
	}
}

// TestAnswerWithoutALengthThatIsCutInItsHeadIsNotWhole guards against the end of the connection
// that counts as the end of the head where it may end the body, against one that is reset, and
// against one of a process that has ended.
func TestAnswerWithoutALengthThatIsCutInItsHeadIsNotWhole(t *testing.T) {
	for name, whole := range unframedAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bodyStart := strings.LastIndex(whole, "\r\n\r\n") + len("\r\n\r\n")
			for cut := range len(whole) + 1 {
				if body, err := getCut(t, whole[:cut], true, nil); err == nil {
					t.Errorf("reset after %q: got a whole answer with body %q", whole[:cut], body)
				}
				if body, err := getCut(t, whole[:cut], false, errGone); err == nil {
					t.Errorf("process ends after %q: got a whole answer with body %q", whole[:cut], body)
				}
				body, err := getCut(t, whole[:cut], false, nil)
				if cut < bodyStart && err == nil {
					t.Errorf("cut after %q: got a whole answer with body %q", whole[:cut], body)
				}
				if cut >= bodyStart && (err != nil || body != whole[bodyStart:cut]) {
					t.Errorf("closed after %q: got body %q and error %v", whole[:cut], body, err)
				}
			}
		})
	}
}
