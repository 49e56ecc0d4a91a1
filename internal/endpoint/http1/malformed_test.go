package http1_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
	"github.com/banyanshift/banyanshift/internal/standin/answer"
	"github.com/banyanshift/banyanshift/internal/wire/response"
)

// TestMalformedReplyIsNone guards against a malformed answer to a question, such as which incarnation an
// endpoint is of, and against its connection carrying a request after it.
func TestMalformedReplyIsNone(t *testing.T) {
	answers := append(answer.Malformed(), answer.Sound()...)
	malformed := len(answer.Malformed())
	next := 0
	e := newEndpoint(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		_ = readRequest(reader)
		_, _ = io.WriteString(conn, answers[next].Text("", "{}"))
	})
	for ; next < len(answers); next++ {
		conn, err := newPool().Dial(t.Context(), "e1", e.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		question := http1.Request{Method: "GET", Head: []byte("GET /report HTTP/1.1\r\nHost: h\r\n"), Deadline: clock.System().Now() + clock.Second}
		reply, err := conn.Ask(t.Context(), question)
		isMalformed := next < malformed
		if isMalformed && (!errors.Is(err, response.ErrMalformed) || reply.Status != 0 || reply.Open) {
			t.Errorf("%s: got %+v, %v", answers[next].Name, reply, err)
		}
		if !isMalformed && (err != nil || string(reply.Body) != "{}") {
			t.Errorf("%s: got %+v, %v", answers[next].Name, reply, err)
		}
		conn.Close()
	}
}
