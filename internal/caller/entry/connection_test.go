package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/internal/settings/ini"
)

func TestConnectionOverTheLimitWaitsForAnotherToClose(t *testing.T) {
	s := startServer(t, ini.Caller{MaxConnections: 1}, alwaysReady, func(x *Exchange) error {
		return x.SendAnswer(http.StatusOK, []byte(firstLine))
	})
	first, second := dial(t, s), dial(t, s)
	for _, caller := range []*rawCaller{first, second} {
		caller.send(t, getRequest)
	}
	if status, _, err := first.receive(); status != http.StatusOK || err != nil {
		t.Fatalf("first caller: got status %d, error %v", status, err)
	}
	_ = second.conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	var timeout net.Error
	if _, err := second.reader.Peek(1); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Fatalf("second caller: got error %v while the first one is connected, want a timeout", err)
	}
	_ = second.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	_ = first.conn.Close()
	if status, _, err := second.receive(); status != http.StatusOK || err != nil {
		t.Errorf("second caller: got status %d, error %v after the first one closed", status, err)
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
