package record

import (
	"bytes"
	"net"
	"slices"
	"sync/atomic"
)

// KeyMark begins every caller's key. Nothing else that passes through the
// stand-ins holds it.
const KeyMark = "bs_"

// Leaks counts the connections on which key material was seen.
type Leaks struct {
	count atomic.Int64
}

// Count returns how many connections carried key material.
func (l *Leaks) Count() int64 {
	return l.count.Load()
}

// Scanner is a listener whose connections look for key material in every byte
// that they receive.
type Scanner struct {
	net.Listener
	leaks *Leaks
}

// NewScanner returns a Scanner over listener that counts into leaks.
func NewScanner(listener net.Listener, leaks *Leaks) *Scanner {
	return &Scanner{Listener: listener, leaks: leaks}
}

// Accept implements net.Listener.
func (s *Scanner) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &scannedConn{Conn: conn, leaks: s.leaks}, nil
}

type scannedConn struct {
	net.Conn
	leaks *Leaks
	// tail holds the last bytes of the previous read, for a mark that is
	// spread over two reads.
	tail  []byte
	found bool
}

func (c *scannedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 && !c.found {
		c.scan(buffer[:n])
	}
	return n, err
}

func (c *scannedConn) scan(data []byte) {
	seam := slices.Concat(c.tail, data[:min(len(data), len(KeyMark)-1)])
	if bytes.Contains(seam, []byte(KeyMark)) || bytes.Contains(data, []byte(KeyMark)) {
		c.found = true
		c.leaks.count.Add(1)
		return
	}
	if len(data) < len(KeyMark)-1 {
		data = seam
	}
	c.tail = append(c.tail[:0], data[max(0, len(data)-len(KeyMark)+1):]...)
}
