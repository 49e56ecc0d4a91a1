package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestWholeAnswersOfAllKindsDoNotBreakOff guards against connections that are closed after an
// answer that is whole.
func TestWholeAnswersOfAllKindsDoNotBreakOff(t *testing.T) {
	noContent := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Seal", "s")
		w.WriteHeader(http.StatusNoContent)
	}
	notModified := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotModified) }
	for name, test := range map[string]struct {
		handle       http.HandlerFunc
		method, path string
		status       int
		body         string
	}{
		"HEAD":             {ok, "HEAD", "/look/1", 200, ""},
		"HEAD of none":     {ok, "HEAD", "/none/1", 404, ""},
		"204":              {noContent, "POST", "/pay/1", 204, ""},
		"304":              {notModified, "GET", "/look/1", 304, ""},
		"stream of 204":    {noContent, "POST", "/stream/1", 204, ""},
		"unary":            {ok, "POST", "/pay/1", 200, "fine"},
		"unary, long":      {long(200, true), "POST", "/pay/1", 200, longBody},
		"unary, long HEAD": {long(200, true), "HEAD", "/look/1", 200, ""},
		"stream":           {events(1, 3, true), "POST", "/stream/1", 200, eventText(1, 3)},
		"refused":          {notRun, "POST", "/pay/1", 503, "no endpoint\n"},
		"unknown key":      {ok, "POST", "/none/1", 404, "no route for host and path\n"},
	} {
		for _, kind := range []string{"1.1", "1.1 close", "1.1 pipelined", "1.0", "1.0 keep-alive"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, test.handle)
				conn, err := net.Dial("tcp", strings.TrimPrefix(f.caller.URL, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
				version, option, _ := strings.Cut(kind, " ")
				fields := ""
				if option == "close" || option == "keep-alive" {
					fields = "Connection: " + option + "\r\n"
				}
				request := fmt.Sprintf("%s %s HTTP/%s\r\nHost: api.example\r\nId: r1\r\nKey: k\r\n%sContent-Length: 0\r\n\r\n", test.method, test.path, version, fields)
				count := 1
				if option == "pipelined" {
					count = 2
				}
				_, _ = io.WriteString(conn, strings.Repeat(request, count))
				reader := bufio.NewReader(conn)
				for range count {
					answer, err := http.ReadResponse(reader, &http.Request{Method: test.method})
					if err != nil {
						t.Fatal(err)
					}
					body, err := io.ReadAll(answer.Body)
					if err != nil || answer.StatusCode != test.status || string(body) != test.body {
						t.Errorf("got status %d, %d bytes, %.40q, error %v", answer.StatusCode, len(body), body, err)
					}
				}
			})
		}
	}
}
