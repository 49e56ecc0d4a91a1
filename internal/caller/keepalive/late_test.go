package keepalive_test

import (
	"context"
	"io"
	"strings"
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

// TestEndIsSentWhenItIsDecided guards against a request that a caller sends after the end of its
// idle connection is decided and before the goroutine comes to close it.
func TestEndIsSentWhenItIsDecided(t *testing.T) {
	t.Parallel()
	server, listener := startServer(t, nil, nil)
	seen, release := context.WithCancel(context.Background())
	t.Cleanup(release)
	listener.beforeClose(func() { <-seen.Done() })
	c := dial(t, listener)
	c.exchange(t)
	done := shutDown(server, listener)
	_ = c.conn.SetReadDeadline(time.Now().Add(15 * time.Second))
	if _, err := c.reader.ReadByte(); err != io.EOF {
		t.Errorf("got %v, want the end before the connection is closed", err)
	}
	release()
	<-done
}

// TestAnswerToAnUnreadBodyIsNotCutByAReset guards against an answer that a reset destroys before
// its caller has read it, because the body of the request was not read.
func TestAnswerToAnUnreadBodyIsNotCutByAReset(t *testing.T) {
	t.Parallel()
	_, listener := startServer(t, nil, nil)
	c := dial(t, listener)
	_, _ = io.WriteString(c.conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n"+strings.Repeat("x", 100_000))
	if kept, err := c.receive(); err != nil || kept {
		t.Fatalf("got error %v and kept %t", err, kept)
	}
	if _, err := c.reader.ReadByte(); err != io.EOF {
		t.Errorf("got %v, want the end of the connection", err)
	}
}
