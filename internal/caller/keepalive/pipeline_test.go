package keepalive_test

import (
	"io"
	"testing"
	"time"
)

// TestPipelinedRequestDoesNotEndItsConnection guards against a request that was read together with
// the one before it and counts as idle, so that it or the next one is cut as if its caller had left.
func TestPipelinedRequestDoesNotEndItsConnection(t *testing.T) {
	t.Parallel()
	t.Run("next request", func(t *testing.T) {
		t.Parallel()
		_, listener := startServer(t, nil, nil)
		c := dial(t, listener)
		_, _ = io.WriteString(c.conn, requestText+requestText)
		for _, name := range []string{"first", "second"} {
			if _, err := c.receive(); err != nil {
				t.Fatalf("%s request: %v", name, err)
			}
		}
		c.exchange(t)
	})
	t.Run("in a shutdown", func(t *testing.T) {
		t.Parallel()
		server, listener := startServer(t, nil, nil)
		c := dial(t, listener)
		_, _ = io.WriteString(c.conn, requestText+"GET "+slowPath+" HTTP/1.1\r\nHost: h\r\n\r\n")
		if _, err := c.receive(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		done := shutDown(server, listener)
		if _, err := c.receive(); err != nil {
			t.Errorf("request that is served in the shutdown: %v", err)
		}
		if err := <-done; err != nil {
			t.Errorf("Shutdown: %v", err)
		}
	})
}
