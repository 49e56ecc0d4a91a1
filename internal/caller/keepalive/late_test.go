package keepalive_test

import (
	"context"
	"testing"
	"time"
)

// TestWaitingConnectionIsServedInAShutdown guards against connections that are reset with their
// requests, because the goroutine that accepts them is late.
func TestWaitingConnectionIsServedInAShutdown(t *testing.T) {
	t.Parallel()
	const delay = 400 * time.Millisecond
	server, listener := startServer(t, nil, nil)
	dial(t, listener).exchange(t)
	late, accept := context.WithCancel(context.Background())
	t.Cleanup(accept)
	listener.beforeAccept(func() { <-late.Done() })
	// The first of them may be accepted by a call that waits already.
	_, c := dial(t, listener), dial(t, listener)
	if err := c.send(); err != nil {
		t.Fatal(err)
	}
	done := shutDown(server, listener)
	time.Sleep(delay)
	accept()
	if _, err := c.receive(); err != nil {
		t.Errorf("no answer: %v", err)
	}
	if err := <-done; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}
