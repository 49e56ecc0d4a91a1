package keepalive_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/internal/caller/keepalive"
)

// TestCloseAfterAShutdownSucceeds guards against a shutdown that fails, since it closes the listener
// while the goroutine that accepts has closed it already.
func TestCloseAfterAShutdownSucceeds(t *testing.T) {
	t.Parallel()
	const (
		servers = 400
		// The requests end when the listeners do, or a little later.
		acceptTime = 100 * time.Millisecond
		spread     = 40 * time.Millisecond
	)
	logger, _ := test.NewNullLogger()
	var serving sync.WaitGroup
	for i := range servers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		begun := make(chan struct{})
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(begun)
			time.Sleep(acceptTime + time.Duration(i)*spread/servers)
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "ok")
		})
		server := keepalive.New(&http.Server{Handler: handler}, nil, keepalive.Limits{}, logger)
		serving.Go(func() {
			if err := server.Serve(listener); err != nil {
				t.Errorf("Serve: %v", err)
			}
		})
		serving.Go(func() {
			if err := dial(t, listener).send(); err != nil {
				t.Error(err)
			}
			<-begun
			if err := server.Shutdown(context.Background()); err != nil {
				t.Errorf("Shutdown: %v", err)
			}
			if err := server.Close(); err != nil {
				t.Errorf("Close: %v", err)
			}
		})
	}
	serving.Wait()
}
