package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// link forwards the connections of one listener.
type link struct {
	proxy    *Proxy
	listener net.Listener

	mu     sync.Mutex
	target string
	fault  Fault
	// changed is closed when the fault changes.
	changed chan struct{}
	conns   map[net.Conn]bool
}

const dialTimeout = 5 * clock.Second

func (l *link) run() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(client)
	}
}

func (l *link) forward(client net.Conn) {
	fault, _ := l.current()
	if fault.Refuse || !l.add(client) {
		reset(client)
		return
	}
	defer l.drop(client)
	dialer := net.Dialer{Timeout: dialTimeout.Duration()}
	target, err := dialer.DialContext(context.Background(), "tcp", l.targetAddress())
	if err != nil {
		reset(client)
		return
	}
	l.add(target)
	defer l.drop(target)
	var wg sync.WaitGroup
	wg.Go(func() { l.pump(client, target, false) })
	wg.Go(func() { l.pump(target, client, true) })
	wg.Wait()
}

// reset closes a connection so that the other side sees it break.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

const pieceBytes = 32 << 10

// pump forwards one direction until it ends. A proper end is passed on as
// such; an error breaks both sides.
func (l *link) pump(from, to net.Conn, answers bool) {
	piece := make([]byte, pieceBytes)
	for {
		n, readErr := from.Read(piece)
		if n > 0 && (!l.pass(answers) || !write(to, piece[:n])) {
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

func write(to net.Conn, data []byte) bool {
	_, err := to.Write(data)
	return err == nil
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// pass waits as the fault says and reports whether the piece goes on.
func (l *link) pass(answers bool) bool {
	fault, changed := l.current()
	for fault.Stall || (fault.StallAnswers && answers) {
		<-changed
		fault, changed = l.current()
	}
	if answers && fault.LoseAnswers > 0 && l.proxy.chance(fault.LoseAnswers) {
		return false
	}
	_ = l.proxy.clock.Sleep(context.Background(), fault.Delay+l.proxy.jitter(fault.Jitter))
	return true
}

func (l *link) current() (Fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.changed
}

func (l *link) setFault(fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
	close(l.changed)
	l.changed = make(chan struct{})
	if fault.Cut {
		l.cutAll()
	}
}

// cutAll breaks all connections. The lock is held.
func (l *link) cutAll() {
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

// add keeps a connection to be cut; it fails when the link has been closed.
func (l *link) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		return false
	}
	l.conns[conn] = true
	return true
}

func (l *link) drop(conn net.Conn) {
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
