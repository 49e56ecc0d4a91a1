package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// link forwards the connections of one listener to its target.
type link struct {
	proxy    *Proxy
	listener net.Listener

	mu     sync.Mutex
	target string
	fault  Fault
	// faultChanged is closed and replaced when the fault changes.
	faultChanged chan struct{}
	// silenced is closed when the connections that are open fall silent, and replaced.
	silenced chan struct{}
	// conns holds the open connections of both sides; nil when closed.
	conns map[net.Conn]bool
}

const dialTimeout = 5 * clock.Second

func (l *link) run() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.runConnection(client)
	}
}

func (l *link) runConnection(client net.Conn) {
	fault, _ := l.currentFault()
	if fault.Refuse || !l.track(client) {
		reset(client)
		return
	}
	defer l.closeTracked(client)
	dialer := net.Dialer{Timeout: dialTimeout.Duration()}
	target, err := dialer.DialContext(context.Background(), "tcp", l.targetAddress())
	if err != nil {
		reset(client)
		return
	}
	l.track(target)
	defer l.closeTracked(target)
	silenced := l.currentSilence()
	var wg sync.WaitGroup
	wg.Go(func() { l.copyLoop(client, target, silenced, false) })
	wg.Go(func() { l.copyLoop(target, client, silenced, true) })
	wg.Wait()
}

// reset closes a connection with a TCP reset, so that the peer gets an error
// instead of an end of file.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

const bufferBytes = 32 << 10

// copyLoop forwards one direction until it ends. It forwards an end of file as
// a half-close, and resets the destination on a read error. It resets both
// sides when a write fails or the fault drops data. Once silenced is closed, it forwards
// nothing and discards what arrives until the connection is closed.
func (l *link) copyLoop(from, to net.Conn, silenced <-chan struct{}, fromTarget bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, readErr := from.Read(buffer)
		if isClosed(silenced) {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 && (!l.applyFault(fromTarget) || !write(to, buffer[:n])) {
			reset(from)
			reset(to)
			return
		}
		if readErr == nil {
			continue
		}
		if errors.Is(readErr, io.EOF) {
			closeWrite(to)
			return
		}
		reset(to)
		return
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func write(to net.Conn, data []byte) bool {
	_, err := to.Write(data)
	return err == nil
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// applyFault waits while the link is stalled and then for the delay of the
// fault. It reports whether the data is forwarded.
func (l *link) applyFault(fromTarget bool) bool {
	fault, changed := l.currentFault()
	for fault.Stall || (fault.StallAnswers && fromTarget) {
		<-changed
		fault, changed = l.currentFault()
	}
	if fromTarget && fault.LoseAnswers > 0 && l.proxy.randomHit(fault.LoseAnswers) {
		return false
	}
	_ = l.proxy.clock.Sleep(context.Background(), fault.Delay+l.proxy.randomDelay(fault.Jitter))
	return true
}

func (l *link) currentFault() (Fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.faultChanged
}

// currentSilence returns the channel that is closed when the connections that are open now
// fall silent.
func (l *link) currentSilence() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silenced
}

func (l *link) setFault(fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
	close(l.faultChanged)
	l.faultChanged = make(chan struct{})
	if fault.Cut {
		l.resetAll()
	}
	if fault.Silence {
		close(l.silenced)
		l.silenced = make(chan struct{})
	}
}

// resetAll resets all connections. The caller holds l.mu.
func (l *link) resetAll() {
	for conn := range l.conns {
		reset(conn)
	}
	clear(l.conns)
}

func (l *link) setTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

func (l *link) targetAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.target
}

// track registers a connection, so that a cut resets it. It reports false when
// the link is closed.
func (l *link) track(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		return false
	}
	l.conns[conn] = true
	return true
}

func (l *link) closeTracked(conn net.Conn) {
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
	_ = conn.Close()
}

func (l *link) close() {
	_ = l.listener.Close()
	l.setFault(Fault{Cut: true})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = nil
}
