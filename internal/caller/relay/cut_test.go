package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// cutFramings are the ways in which the answers of cutAnswer show their end.
var cutFramings = []string{"length", "chunks", "none", "interim", "old"}

// framedAnswer returns a whole answer of an endpoint to request r1.
func framedAnswer(framing, body string) string {
	const fields = "Id: r1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	switch framing {
	case "length":
		return "HTTP/1.1 200 OK\r\n" + fields + length
	case "chunks":
		half := len(body) / 2
		return "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" +
			fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\nSum: 1\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	case "interim":
		return "HTTP/1.1 103 Early Hints\r\nSeal: s\r\nId: r1\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + length
	case "old":
		return "HTTP/1.0 200 OK\r\n" + fields + length
	}
	return "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body
}

// cutAnswer answers with the first bytes of a whole answer, as the query of the request says, and
// ends the connection.
func cutAnswer(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		answer := framedAnswer(query.Get("framing"), body)
		cut, err := strconv.Atoi(query.Get("cut"))
		if err == nil {
			answer = answer[:cut]
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, answer)
		if query.Get("reset") != "" {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

// cutQueries returns the query of each cut of an answer after which it is not whole.
func cutQueries(framing, body string) (queries []string) {
	whole := framedAnswer(framing, body)
	bodyStart := strings.LastIndex(whole, "\r\n\r\n") + len("\r\n\r\n")
	for cut := range whole {
		if framing != "none" || cut < bodyStart {
			queries = append(queries, fmt.Sprintf("?framing=%s&cut=%d", framing, cut))
		}
		queries = append(queries, fmt.Sprintf("?framing=%s&cut=%d&reset=1", framing, cut))
	}
	return queries
}

// TestAnswerThatIsCutAtAnyByteReachesNoCallerAsWhole guards against a success with a short or
// empty body, and against a request that may not be repeated and is.
func TestAnswerThatIsCutAtAnyByteReachesNoCallerAsWhole(t *testing.T) {
	body := eventText(1, 2)
	for _, framing := range cutFramings {
		for _, path := range []string{"/pay/1", "/stream/1"} {
			t.Run(framing+path, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, cutAnswer(body), cutAnswer(body))
				queries := cutQueries(framing, body)
				for _, query := range queries {
					if got := f.send(path + query); got.err == nil && got.status < 300 {
						t.Errorf("%s: got status %d and a whole body %q", query, got.status, got.body)
					}
				}
				if len(f.received) != len(queries) {
					t.Errorf("endpoints received %d requests, want %d", len(f.received), len(queries))
				}
				f.expect(f.send(path+"?framing="+framing), 200, body)
			})
		}
	}
}

// TestAnswerThatIsCutAtAnyByteIsReplaced guards against a repeatable request whose caller gets a
// part of the first answer.
func TestAnswerThatIsCutAtAnyByteIsReplaced(t *testing.T) {
	const patience = 20 * clock.Second
	body := eventText(1, 2)
	whole := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(r.Header.Get("Last"))
		_, _ = io.WriteString(w, eventText(after+1, 2))
	}
	for _, framing := range cutFramings {
		for _, path := range []string{"/look/1", "/resumable/1"} {
			t.Run(framing+path, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, cutAnswer(body), whole)
				queries := cutQueries(framing, body)
				f.retryTokens = len(queries)
				f.config = configuration(patience)
				for _, query := range queries {
					if got := f.send(path+query, "Limit", strconv.FormatInt(int64(patience), 10)); got.err != nil || got.status != 200 || got.body != body {
						t.Errorf("%s: got status %d, body %q, error %v", query, got.status, got.body, got.err)
					}
				}
			})
		}
	}
}
