package http1_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

// repeatAfter returns an endpoint that answers the first request on each connection as given,
// writes a text when it has read the second, and answers the second after a time.
func repeatAfter(t *testing.T, first, text string, after time.Duration) *endpoint {
	return newEndpoint(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		readRequest(reader)
		_, _ = io.WriteString(conn, first)
		id := readRequest(reader)
		if id == "" {
			return
		}
		_, _ = io.WriteString(conn, text)
		time.Sleep(after)
		reply(conn, id, "answer to "+id)
		readRequest(reader)
	})
}

func answerText(status int, fields string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n%s\r\n", status, fields)
}

// TestAnswerIsBelievedOnlyIfItBelongsToTheRequest guards against errors without an ID, or of
// other requests, that are taken for the answer on a connection that was used before.
func TestAnswerIsBelievedOnlyIfItBelongsToTheRequest(t *testing.T) {
	for _, c := range []struct {
		name, text string
		// first and kept are the statuses that are believed as the first answer and on a kept
		// connection.
		first, kept int
	}{
		{"named", answerText(503, "Id: {own}\r\n"), 503, 503},
		{"named success", answerText(200, "Id: {own}\r\n"), 200, 200},
		{"of another request", answerText(503, "Id: other\r\n"), 0, 0},
		{"unnamed error", answerText(503, ""), 503, 0},
		{"unnamed client error", answerText(400, ""), 400, 0},
		{"unnamed success", answerText(200, ""), 0, 0},
		{"unnamed redirect", answerText(307, ""), 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, used := range []bool{false, true} {
				want := c.first
				if used {
					want = c.kept
				}
				e := newEndpoint(t, func(conn net.Conn, _ int) {
					reader := bufio.NewReader(conn)
					if used {
						reply(conn, readRequest(reader), "first")
					}
					id := readRequest(reader)
					_, _ = io.WriteString(conn, strings.ReplaceAll(c.text, "{own}", id))
				})
				pool := newPool()
				if used {
					if _, err := get(pool, e, request("a")); err != nil {
						t.Fatal(err)
					}
				}
				answer, err := pool.Do(t.Context(), "e1", e.listener.Addr().String(), request("b"))
				got := 0
				if err == nil {
					got = answer.Status
					answer.Close()
				}
				var failure *http1.RequestError
				if got != want || (want == 0 && (!errors.As(err, &failure) || !failure.Sent)) {
					t.Errorf("connection was used before: %t; got status %d, error %v; want status %d", used, got, err, want)
				}
			}
		})
	}
}

// TestTrueAnswerAfterAnUnnamedErrorArrives guards against a request whose answer is lost, since
// an error came before it that may have been an earlier one.
func TestTrueAnswerAfterAnUnnamedErrorArrives(t *testing.T) {
	first := answerText(200, "Id: a\r\n")
	e := repeatAfter(t, first, answerText(503, ""), 100*time.Millisecond)
	pool := newPool()
	if _, err := get(pool, e, request("a")); err != nil {
		t.Fatal(err)
	}
	if body, err := get(pool, e, request("b")); err != nil || body != "answer to b" {
		t.Errorf("got body %q, error %v", body, err)
	}
}

// TestWaitAfterAnUnnamedErrorLeavesTimeForAnother guards against a wait until the deadline for
// an answer that never comes.
func TestWaitAfterAnUnnamedErrorLeavesTimeForAnother(t *testing.T) {
	const timeout = 800 * clock.Millisecond
	for name, c := range map[string]struct {
		fields   string
		min, max time.Duration
		err      error
	}{
		"connection stays open": {"", 300 * time.Millisecond, 600 * time.Millisecond, os.ErrDeadlineExceeded},
		"connection is closed":  {"Connection: close\r\n", 0, 200 * time.Millisecond, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := repeatAfter(t, answerText(200, "Id: a\r\n"), answerText(503, c.fields), 2*time.Second)
			pool := newPool()
			if _, err := get(pool, e, request("a")); err != nil {
				t.Fatal(err)
			}
			r := request("b")
			r.Deadline = clock.System().Now() + timeout
			began := time.Now()
			_, err := get(pool, e, r)
			var failure *http1.RequestError
			if !errors.As(err, &failure) || !failure.Sent || (c.err != nil && !errors.Is(err, c.err)) {
				t.Errorf("got error %v, want a RequestError with Sent", err)
			}
			if took := time.Since(began); took < c.min || took > c.max {
				t.Errorf("it was given up after %v, want %v to %v", took, c.min, c.max)
			}
		})
	}
}

// TestBodyMayArriveAfterTheWaitForItsHead guards against answers that are cut off by the wait
// after an error without an ID.
func TestBodyMayArriveAfterTheWaitForItsHead(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		reply(conn, readRequest(reader), "first")
		id := readRequest(reader)
		_, _ = io.WriteString(conn, answerText(503, "")+"HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 5\r\n\r\n")
		time.Sleep(700 * time.Millisecond)
		_, _ = io.WriteString(conn, "whole")
		readRequest(reader)
	})
	pool := newPool()
	if _, err := get(pool, e, request("a")); err != nil {
		t.Fatal(err)
	}
	r := request("b")
	r.Deadline = clock.System().Now() + clock.Second
	if body, err := get(pool, e, r); err != nil || body != "whole" {
		t.Errorf("got body %q, error %v", body, err)
	}
}

// failAll answers all requests with an error, with or without their ID.
func failAll(status int, named bool) func(conn net.Conn, _ int) {
	return func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			fields := ""
			if named {
				fields = "Id: " + id + "\r\n"
			}
			_, _ = io.WriteString(conn, answerText(status, fields))
		}
	}
}

// TestEndpointThatNamesNoRequestIsAskedOnNewConnections guards against waits for an ID at
// endpoints whose errors never have one.
func TestEndpointThatNamesNoRequestIsAskedOnNewConnections(t *testing.T) {
	e := newEndpoint(t, failAll(500, false))
	pool := newPool()
	for n := range 3 {
		if _, err := get(pool, e, request(fmt.Sprint("r", n))); err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
	}
	if e.connections() != 3 {
		t.Errorf("got %d connections, want 3", e.connections())
	}
}

// TestConnectionIsNotUsedAgainAfterARefusal guards against an earlier refusal that is taken for
// the answer to the same request when it comes once more.
func TestConnectionIsNotUsedAgainAfterARefusal(t *testing.T) {
	e := newEndpoint(t, failAll(503, true))
	pool := newPool()
	for range 3 {
		if _, err := get(pool, e, request("a")); err != nil {
			t.Fatal(err)
		}
	}
	if e.connections() != 3 {
		t.Errorf("got %d connections, want 3", e.connections())
	}
}
