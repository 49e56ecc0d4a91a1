package http1_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

const unnamedReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

// ask asks a question on a connection.
func ask(t *testing.T, conn *http1.Conn) (http1.Reply, error) {
	question := http1.Request{Method: "GET", Head: []byte("GET /question HTTP/1.1\r\nHost: e\r\n"), Deadline: clock.System().Now() + 200*clock.Millisecond}
	return conn.Ask(t.Context(), question)
}

// TestRequestAfterAQuestionGetsItsOwnAnswer guards against the answer to a question, or one to an
// earlier request, that is taken for another, and against a request that goes to a process that
// was not asked.
func TestRequestAfterAQuestionGetsItsOwnAnswer(t *testing.T) {
	for name, test := range map[string]struct{ question, again string }{
		"Once":                  {unnamedReply, ""},
		"RepeatedAfterRequest":  {unnamedReply, unnamedReply},
		"RepeatedAtOnce":        {unnamedReply + unnamedReply, ""},
		"EarlierAnswerRepeated": {"HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 5\r\n\r\nstray" + unnamedReply, ""},
		"ErrorRepeated":         {"HTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\n{}"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEndpoint(t, func(conn net.Conn, _ int) {
				reader := bufio.NewReader(conn)
				readRequest(reader)
				_, _ = io.WriteString(conn, test.question)
				id := readRequest(reader)
				_, _ = io.WriteString(conn, test.again)
				reply(conn, id, "answer to "+id)
				readRequest(reader)
			})
			conn, err := newPool().Dial(t.Context(), "e", e.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if got, err := ask(t, conn); err != nil || string(got.Body) != "{}" || !got.Open {
				t.Fatalf("got %+v, %v", got, err)
			}
			answer, err := conn.Do(t.Context(), http1.Request{ID: "r1", Method: "GET", Head: []byte("GET / HTTP/1.1\r\nHost: e\r\nId: r1\r\n"), Deadline: clock.System().Now() + clock.Second})
			if err != nil {
				t.Fatal(err)
			}
			defer answer.Close()
			if body, err := io.ReadAll(answer); err != nil || string(body) != "answer to r1" {
				t.Errorf("got %q, %v", body, err)
			}
		})
	}
}

// TestUnansweredQuestionSendsNoRequest guards against a request that counts as sent, or a
// connection that is used, after a question without a whole answer.
func TestUnansweredQuestionSendsNoRequest(t *testing.T) {
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"Silent":    {"", 0},
		"Others":    {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n", 0},
		"BrokenOff": {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", 200},
		"TooLong":   {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n%300000d", 1), 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEndpoint(t, func(conn net.Conn, _ int) {
				reader := bufio.NewReader(conn)
				readRequest(reader)
				_, _ = io.WriteString(conn, test.text)
				readRequest(reader)
			})
			conn, err := newPool().Dial(t.Context(), "e", e.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			got, err := ask(t, conn)
			var requestError *http1.RequestError
			if !errors.As(err, &requestError) || requestError.Sent || got.Status != test.status || got.Open {
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
}
