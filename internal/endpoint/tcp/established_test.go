package tcp_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/internal/endpoint/tcp"
)

// TestEndIsNoticedWithoutConsumingIt guards against a reset that the reader takes for the proper end
// of an answer, since a look at the connection has consumed the error.
func TestEndIsNoticedWithoutConsumingIt(t *testing.T) {
	for _, reset := range []bool{true, false} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		conn, err := tcp.Dial(t.Context(), "tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		other, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_, _ = other.Write([]byte("unread"))
		if !tcp.IsEstablished(conn) {
			t.Error("an open connection counts as closed")
		}
		if reset {
			_ = other.(*net.TCPConn).SetLinger(0)
		}
		_ = other.Close()
		for deadline := time.Now().Add(5 * time.Second); tcp.IsEstablished(conn) && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		if tcp.IsEstablished(conn) {
			t.Error("a closed connection counts as open")
		}
		if _, err = io.ReadAll(conn); errors.Is(err, syscall.ECONNRESET) != reset {
			t.Errorf("got error %v, want that the connection was reset: %t", err, reset)
		}
	}
}
