package service

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/banyanshift/banyanshift/internal/endpoint/transport"
)

// strayServer answers the first request on a connection, and writes a refusal when it has read
// the next one.
func strayServer(t *testing.T, refusal string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for _, answer := range []string{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n", refusal} {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, answer)
		}
		_, _ = reader.ReadByte()
	}()
	return listener.Addr().String()
}

// TestRefusalOnAKeptConnectionSaysNothingWithoutTheID guards against a refusal that a faulty
// service writes once more, taken for the statement that the next call did not run.
func TestRefusalOnAKeptConnectionSaysNothingWithoutTheID(t *testing.T) {
	for _, tt := range []struct {
		name, id string
		notRun   bool
	}{
		{"own ID", "Request-Id: b\r\n", true},
		{"ID of another call", "Request-Id: a\r\n", false},
		{"no ID", "", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			address := strayServer(t, "HTTP/1.1 503 Service Unavailable\r\nRun: Not\r\nContent-Length: 0\r\n"+tt.id+"\r\n")
			client := New(transport.New(transport.Config{}))
			answer, err := client.Do(t.Context(), endpointAt(address), Call{RequestID: "a", Method: http.MethodGet, URI: "/"})
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
			_, err = client.Do(t.Context(), endpointAt(address), Call{RequestID: "b", Method: http.MethodGet, URI: "/"})
			var failure *CallError
			if !errors.As(err, &failure) || failure.NotRun != tt.notRun {
				t.Errorf("got %v, want a CallError with NotRun %t", err, tt.notRun)
			}
		})
	}
}
