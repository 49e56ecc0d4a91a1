package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/internal/settings/ini"
)

// TestConnectionOverTheLimitTakesThePlaceOfAnUnusedOne guards against callers that wait for as long as
// others keep connections that they do not use.
func TestConnectionOverTheLimitTakesThePlaceOfAnUnusedOne(t *testing.T) {
	s := startServer(t, ini.Caller{MaxConnections: 1}, alwaysReady, func(x *Exchange) error {
		return x.SendAnswer(http.StatusOK, []byte(firstLine))
	})
	first := dial(t, s)
	first.send(t, getRequest)
	if status, _, err := first.receive(); status != http.StatusOK || err != nil {
		t.Fatalf("first caller: got status %d, error %v", status, err)
	}
	second := dial(t, s)
	second.send(t, getRequest)
	if status, _, err := second.receive(); status != http.StatusOK || err != nil {
		t.Errorf("second caller: got status %d, error %v", status, err)
	}
	if _, err := first.reader.Peek(1); err == nil {
		t.Error("the connection of the first caller is still open")
	}
}

// TestConnectionOverTheLimitEndsNoRequest guards against a request that is cut off for a new connection,
// and against a new connection that is neither served nor closed.
func TestConnectionOverTheLimitEndsNoRequest(t *testing.T) {
	begun, release := make(chan struct{}, 1), make(chan struct{})
	s := startServer(t, ini.Caller{MaxConnections: 1}, alwaysReady, func(x *Exchange) error {
		if err := x.ReadBody(); err != nil {
			return err
		}
		begun <- struct{}{}
		<-release
		return x.SendAnswer(http.StatusOK, []byte(firstLine))
	})
	first := dial(t, s)
	first.send(t, getRequest)
	<-begun
	second := dial(t, s)
	second.send(t, getRequest)
	_ = second.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if status, _, err := second.receive(); err == nil {
		t.Errorf("second caller: got status %d while the first one is served, want a closed connection", status)
	}
	close(release)
	if status, _, err := first.receive(); status != http.StatusOK || err != nil {
		t.Errorf("first caller: got status %d, error %v", status, err)
	}
}

func TestShutdownEndsWhileTheLimitIsReached(t *testing.T) {
	s := startServer(t, ini.Caller{MaxConnections: 1}, alwaysReady, func(x *Exchange) error {
		return x.SendAnswer(http.StatusOK, []byte(firstLine))
	})
	caller := dial(t, s)
	caller.send(t, getRequest)
	if status, _, err := caller.receive(); status != http.StatusOK || err != nil {
		t.Fatalf("got status %d, error %v", status, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Error(err)
	}
}
