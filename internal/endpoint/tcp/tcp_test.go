package tcp_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/internal/endpoint/tcp"
)

const (
	// readBytes are read from a connection before it is left alone, and maxUnreadBytes may be
	// sent on it then.
	readBytes      = 64 << 20
	maxUnreadBytes = 640 << 10
)

// sendUntilBlocked sends bytes until nobody takes more, and returns how many were sent.
func sendUntilBlocked(conn net.Conn) (sent int) {
	data := make([]byte, 16<<10)
	for {
		_ = conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
		n, err := conn.Write(data)
		sent += n
		if err != nil {
			return sent
		}
	}
}

// TestLittleIsHeldOfWhatIsNotRead guards against buffers of the system that grow while much is
// read, and are filled once nobody reads.
func TestLittleIsHeldOfWhatIsNotRead(t *testing.T) {
	listener, err := tcp.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := tcp.Dial(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	for name, ends := range map[string]struct{ from, to net.Conn }{"Accepted": {dialed, accepted}, "Dialed": {accepted, dialed}} {
		_ = ends.from.(*net.TCPConn).SetWriteBuffer(64 << 10)
		go func() { _, _ = ends.from.Write(make([]byte, readBytes)) }()
		if _, err := io.CopyN(io.Discard, ends.to, readBytes); err != nil {
			t.Fatal(err)
		}
		if sent := sendUntilBlocked(ends.from); sent > maxUnreadBytes {
			t.Errorf("%s: %d bytes were sent that nobody reads, want at most %d", name, sent, maxUnreadBytes)
		}
	}
}
