package response_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/standin/answer"
	"github.com/banyanshift/banyanshift/internal/wire/response"
)

// body is that of the answers in these tests.
const body = "0123456789abcdef0123"

// sent is a connection on which bytes arrive, and then its end.
type sent struct {
	net.Conn
	reader io.Reader
}

func (s sent) Read(buf []byte) (int, error) { return s.reader.Read(buf) }
func (s sent) Close() error                 { return nil }

// read reads an answer from bytes that arrive one by one, or all at once.
func read(text string, oneByOne bool, method string) (answer *http.Response, content string, conn *response.Conn, err error) {
	var reader io.Reader = strings.NewReader(text)
	if oneByOne {
		reader = iotest.OneByteReader(reader)
	}
	conn = response.NewConn(sent{reader: reader}, nil)
	conn.Expect(method)
	buffered := bufio.NewReader(conn)
	for answer == nil || answer.StatusCode < http.StatusOK {
		if answer, err = http.ReadResponse(buffered, &http.Request{Method: method}); err != nil {
			return nil, "", conn, err
		}
	}
	read, err := io.ReadAll(answer.Body)
	if err == nil && buffered.Buffered() > 0 {
		err = errors.New("bytes after the answer were passed on")
	}
	return answer, string(read), conn, err
}

func TestSoundAnswersArePassedOn(t *testing.T) {
	for _, a := range answer.Sound() {
		for _, oneByOne := range []bool{true, false} {
			if got, content, _, err := read(a.Text("Id: a\r\n", body), oneByOne, http.MethodGet); err != nil || content != body || got.Header.Get("Id") != "a" {
				t.Errorf("%s, byte by byte %t: got body %q, %v", a.Name, oneByOne, content, err)
			}
		}
	}
}

func TestMalformedAnswersAreNotPassedOn(t *testing.T) {
	for _, a := range answer.Malformed() {
		for _, oneByOne := range []bool{true, false} {
			_, content, conn, err := read(a.Text("Id: a\r\n", body), oneByOne, http.MethodGet)
			if err == nil || !errors.Is(conn.Err(), response.ErrMalformed) {
				t.Errorf("%s, byte by byte %t: got body %q, %v, %v", a.Name, oneByOne, content, err, conn.Err())
			}
		}
	}
}

// TestAnswersWithoutBodies checks that nothing after a head is taken for a body where there is none.
func TestAnswersWithoutBodies(t *testing.T) {
	for _, test := range []struct{ method, text string }{
		{http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
		{http.MethodHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	} {
		_, content, conn, err := read(test.text+"other", false, test.method)
		if err != nil || content != "" || conn.Buffered() != len("other") {
			t.Errorf("%s %q: got body %q, %v, %d bytes left", test.method, test.text, content, err, conn.Buffered())
		}
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, response.ErrUnexpected) {
			t.Errorf("%s %q: got %v for bytes after the answer", test.method, test.text, err)
		}
	}
}

// TestAnswersOnOneConnection checks that the next answer begins where the last one ends, however that
// shows its end, and not before it is expected.
func TestAnswersOnOneConnection(t *testing.T) {
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n1 \r\nd\r\n0\r\nX-Sum: 1\r\n\r\n"
	const short = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd"
	conn := response.NewConn(sent{reader: strings.NewReader(chunks + short + chunks + "HTTP/1.1 000 None\r\n\r\n")}, nil)
	reader := bufio.NewReader(conn)
	for n := range 3 {
		conn.Expect(http.MethodGet)
		got, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", n, err)
		}
		if content, err := io.ReadAll(got.Body); err != nil || string(content) != "abcd" {
			t.Fatalf("answer %d: got %q, %v", n, content, err)
		}
	}
	conn.Expect(http.MethodGet)
	if _, err := http.ReadResponse(reader, nil); err == nil || !errors.Is(conn.Err(), response.ErrMalformed) {
		t.Errorf("got %v for a malformed answer", err)
	}
}

// TestMemoryOfHeads checks that a long head is counted until the answer is no longer used, and that
// an ordinary one takes none.
func TestMemoryOfHeads(t *testing.T) {
	var long, short string
	for _, a := range answer.Sound() {
		switch a.Name {
		case "field of many bytes":
			long = a.Text("", body)
		case "by length":
			short = a.Text("", body)
		}
	}
	budget := memory.New(1 << 20)
	for _, test := range []struct {
		text    string
		counted bool
	}{{long, true}, {short, false}} {
		conn := response.NewConn(sent{reader: strings.NewReader(test.text)}, budget)
		conn.Expect(http.MethodGet)
		got, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, got.Body)
		if held := budget.State().Held; (held > 0) != test.counted {
			t.Errorf("%d bytes are held for a head of %d", held, len(test.text))
		}
		_ = conn.Close()
		if held := budget.State().Held; held != 0 {
			t.Errorf("%d bytes are held after the end", held)
		}
	}
	conn := response.NewConn(sent{reader: strings.NewReader(long)}, memory.New(16<<10))
	conn.Expect(http.MethodGet)
	if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil || !errors.Is(conn.Err(), response.ErrNoMemory) {
		t.Errorf("got %v without memory", err)
	}
}

// FuzzConn checks that net/http finds in what is passed on what a Conn has found in it.
func FuzzConn(f *testing.F) {
	for _, a := range append(answer.Sound(), answer.Malformed()...) {
		f.Add(a.Text("Id: a\r\n", body))
	}
	f.Fuzz(func(t *testing.T, text string) {
		got, _, conn, err := read(text, false, http.MethodGet)
		if err != nil {
			return
		}
		if conn.Err() != nil && !errors.Is(conn.Err(), io.EOF) {
			t.Errorf("net/http found a whole answer %v, and the connection failed: %v", got, conn.Err())
		}
		if got.StatusCode < 200 || got.StatusCode > 599 {
			t.Errorf("got status %d", got.StatusCode)
		}
	})
}
