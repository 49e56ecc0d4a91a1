package forward

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// answerOnce serves one request on a connection like a Server, with this head.
func answerOnce(conn *framedConn, head answerHead) {
	defer conn.net.Close()
	if _, err := readAs[open](conn, message.ForwardOpen); err != nil {
		return
	}
	_ = conn.write(message.ForwardOpened, opened{})
	_ = conn.writer.Flush()
	if _, err := readAs[requestHead](conn, message.ForwardRequest); err != nil {
		return
	}
	_ = conn.write(message.ForwardAnswer, head)
	_ = conn.writeBody([]byte("body"))
	_ = conn.write(message.ForwardEnd, end{})
	_ = conn.writer.Flush()
}

// TestMalformedHeadFromAPeerIsNoAnswer guards against heads that a daemon of an earlier release passes
// on, which reads the answers of endpoints with net/http alone.
func TestMalformedHeadFromAPeerIsNoAnswer(t *testing.T) {
	sound := http.Header{"Content-Type": {"text/plain"}, "x-other": {"a\tb \xff"}}
	for _, test := range []struct {
		name    string
		head    answerHead
		isSound bool
	}{
		{"sound", answerHead{Status: 200, Header: sound, Length: 4, Explicit: true}, true},
		{"no header", answerHead{Status: 204, Length: 0, Explicit: true}, true},
		{"length unknown", answerHead{Status: 599, Header: sound, Length: -1}, true},
		{"status 0", answerHead{Status: 0, Header: sound, Length: 4}, false},
		{"status 42", answerHead{Status: 42, Header: sound, Length: 4}, false},
		{"interim status", answerHead{Status: 100, Header: sound, Length: 4}, false},
		{"status 600", answerHead{Status: 600, Header: sound, Length: 4}, false},
		{"negative status", answerHead{Status: -200, Header: sound, Length: 4}, false},
		{"blank in a name", answerHead{Status: 200, Header: http.Header{"X Note": {"1"}}, Length: 4}, false},
		{"blank behind a name", answerHead{Status: 200, Header: http.Header{"Transfer-Encoding ": {"chunked"}}, Length: -1}, false},
		{"empty name", answerHead{Status: 200, Header: http.Header{"": {"1"}}, Length: 4}, false},
		{"line end in a value", answerHead{Status: 200, Header: http.Header{"X-Note": {"1", "a\r\nB: c"}}, Length: 4}, false},
		{"NUL in a value", answerHead{Status: 200, Header: http.Header{"X-Note": {"a\x00"}}, Length: 4}, false},
		{"head that is too long", answerHead{Status: 200, Header: http.Header{"X-Note": {strings.Repeat("x", 200<<10)}}, Length: 4}, false},
		{"long head", answerHead{Status: 200, Header: http.Header{"X-Note": {strings.Repeat("x", 50<<10)}}, Length: 4}, true},
		{"negative length", answerHead{Status: 200, Header: sound, Length: -2}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			budget := memory.New(1 << 20)
			go func() {
				if conn, err := listener.Accept(); err == nil {
					answerOnce(newFramedConn(conn), test.head)
				}
			}()
			_, port, _ := net.SplitHostPort(listener.Addr().String())
			conn, err := NewClient(clock.System(), port, budget).Open(context.Background(), "127.0.0.1:1", Target{Endpoint: "i-1"})
			if err != nil {
				t.Fatal(err)
			}
			answer, err := conn.Do(context.Background(), http1.Request{ID: "a", Method: http.MethodGet, Deadline: clock.System().Now() + clock.Second})
			if (err == nil) != test.isSound {
				t.Errorf("got %+v, %v", answer, err)
			}
			if isLong := len(test.head.Header.Get("X-Note")) > 8<<10; err == nil && (budget.State().Held > 0) != isLong {
				t.Errorf("%d bytes are counted for the head", budget.State().Held)
			}
			if err == nil {
				answer.Close()
			}
			if held := budget.State().Held; held != 0 {
				t.Errorf("%d bytes are counted after the answer", held)
			}
		})
	}
}
