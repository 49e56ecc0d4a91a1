package record

import (
	"bytes"
	"net"
	"slices"
	"sync/atomic"
)

// KeyPrefix is the prefix of every caller's key. No other data that the
// stand-ins receive contains it.
const KeyPrefix = "bs_"

// LeakCounter counts the connections on which key material was seen.
type LeakCounter struct {
	count atomic.Int64
}

// Count returns how many connections carried key material.
func (l *LeakCounter) Count() int64 {
	return l.count.Load()
}

// KeyScanner is a listener whose connections search all received data for
// KeyPrefix.
type KeyScanner struct {
	net.Listener
	leaks *LeakCounter
}

// NewKeyScanner returns a KeyScanner that wraps listener and counts in leaks.
func NewKeyScanner(listener net.Listener, leaks *LeakCounter) *KeyScanner {
	return &KeyScanner{Listener: listener, leaks: leaks}
}

// Accept implements net.Listener.
func (s *KeyScanner) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &scannedConn{Conn: conn, leaks: s.leaks}, nil
}

type scannedConn struct {
	net.Conn
	leaks *LeakCounter
	// tail holds the last received bytes, to find a prefix that is split over
	// several reads.
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
	boundary := slices.Concat(c.tail, data[:min(len(data), len(KeyPrefix)-1)])
	if bytes.Contains(boundary, []byte(KeyPrefix)) || bytes.Contains(data, []byte(KeyPrefix)) {
		c.found = true
		c.leaks.count.Add(1)
		return
	}
	if len(data) < len(KeyPrefix)-1 {
		data = boundary
	}
	c.tail = append(c.tail[:0], data[max(0, len(data)-len(KeyPrefix)+1):]...)
}
