package engine

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/endpoint/transport"
)

// strayEngine refuses the first request on a connection, and writes another refusal when it has
// read the next one.
func strayEngine(t *testing.T, refusal string) string {
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
		for _, answer := range []string{"HTTP/1.1 503 Service Unavailable\r\nRun: Not\r\nContent-Length: 4\r\n\r\nfull", refusal} {
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
// engine writes once more, taken for the statement that the next request did not run.
func TestRefusalOnAKeptConnectionSaysNothingWithoutTheID(t *testing.T) {
	for _, tt := range []struct {
		name, status, id string
		notRun, rejected bool
	}{
		{"own ID", "503 X", "Request-Id: b\r\n", true, false},
		{"ID of another request", "503 X", "Request-Id: a\r\n", false, false},
		{"no ID", "503 X", "", false, false},
		{"invalid request with own ID", "400 X", "Request-Id: b\r\n", true, true},
		{"invalid request with ID of another", "400 X", "Request-Id: a\r\n", false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			address := strayEngine(t, "HTTP/1.1 "+tt.status+"\r\nRun: Not\r\nContent-Length: 0\r\n"+tt.id+"\r\n")
			client := New(transport.New(transport.Config{}))
			endpoint := entity.Endpoint{ID: "e1", Address: address}
			_, err := client.Start(t.Context(), endpoint, Call{RequestID: "a", Path: "/"})
			var failure *StreamError
			if !errors.As(err, &failure) || !failure.NotRun {
				t.Fatalf("got %v for the first refusal on a connection, want NotRun", err)
			}
			_, err = client.Start(t.Context(), endpoint, Call{RequestID: "b", Path: "/"})
			if !errors.As(err, &failure) || failure.NotRun != tt.notRun || failure.Rejected != tt.rejected {
				t.Errorf("got %v, want a StreamError with NotRun %t, Rejected %t", err, tt.notRun, tt.rejected)
			}
		})
	}
}
