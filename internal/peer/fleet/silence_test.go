package fleet_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

// contactTime is the time after connections fell silent from which the newest version must
// be in force everywhere.
const contactTime = 3 * time.Second

// silencer opens connections that can fall silent for good, while new ones work.
type silencer struct {
	mu    sync.Mutex
	conns []*silentConn
}

func (s *silencer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := &silentConn{Conn: conn, silenced: make(chan struct{}), closed: make(chan struct{})}
	s.conns = append(s.conns, silent)
	return silent, nil
}

// silence makes all open connections fall silent.
func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		close(conn.silenced)
	}
	s.conns = nil
}

// silentConn is a connection that may fall silent: what is written is lost, and nothing
// arrives.
type silentConn struct {
	net.Conn
	silenced  chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

func (c *silentConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	select {
	case <-c.silenced:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *silentConn) Write(buf []byte) (int, error) {
	select {
	case <-c.silenced:
		return len(buf), nil
	default:
		return c.Conn.Write(buf)
	}
}

func (c *silentConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestVersionIsKnownInTimeThoughConnectionsFallSilent guards against daemons that wait for
// news on connections between them which have fallen silent for good.
func TestVersionIsKnownInTimeThoughConnectionsFallSilent(t *testing.T) {
	s := &silencer{}
	rows := table.NewMemory().Client()
	fleet := make(map[string]*daemon)
	for _, id := range []string{"north-1", "north-2", "south-1", "south-2", "south-3"} {
		fleet[id] = startWith(t, environment{clock: clock.System(), dial: s.dial}, id, rows)
	}
	for id, d := range fleet {
		eventually(t, id+" counts all daemons", func() bool { return d.fleet.DaemonCount() == len(fleet) })
	}
	s.silence()
	index, raw := version(7)
	fleet["north-1"].document.Update(index, raw, now())
	fleet["north-1"].fleet.Announce()
	written := time.Now()
	for id, d := range fleet {
		eventually(t, id+" knows the version", func() bool {
			held, _ := d.document.Current()
			return held != nil && held.Version() == 7
		})
	}
	took := time.Since(written)
	t.Logf("known everywhere after %v", took)
	if took > contactTime {
		t.Errorf("the version was known everywhere after %v, want %v", took, contactTime)
	}
}
