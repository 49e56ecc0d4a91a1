package keepalive_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/internal/caller/keepalive"
)

// TestConnectionThatEndsUnansweredIsLogged guards against a request that gets no answer of which
// nothing can be told: whether its head was read, and what waited behind it.
func TestConnectionThatEndsUnansweredIsLogged(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	logger, log := test.NewNullLogger()
	begun, ended := make(chan struct{}), make(chan struct{})
	server := keepalive.New(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-ended
	})}, nil, keepalive.Limits{}, logger)
	go func() { _ = server.Serve(listener) }()
	defer close(ended)
	c := dial(t, listener)
	const waiting = "behind the request"
	_, _ = io.WriteString(c.conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\n")
	<-begun
	_, _ = io.WriteString(c.conn, waiting)
	time.Sleep(100 * time.Millisecond)
	_ = server.Close()
	for _, entry := range log.AllEntries() {
		if entry.Message == "connection of a caller ends before its request was answered" {
			if entry.Data["HeadRead"] != true || entry.Data["Unread"] != len(waiting) {
				t.Errorf("got %v, want the head read and %d bytes unread", entry.Data, len(waiting))
			}
			return
		}
	}
	t.Error("got no log entry of the connection")
}
