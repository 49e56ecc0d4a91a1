package faultproxy

import (
	"bufio"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// echo starts a server that sends each line back. It also sends the lines that
// it received to the channel.
func echo(t *testing.T) (address string, lines chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	lines = make(chan string, 100)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				scanner := bufio.NewScanner(conn)
				for scanner.Scan() {
					lines <- scanner.Text()
					conn.Write([]byte(scanner.Text() + "\n"))
				}
			}()
		}
	}()
	return listener.Addr().String(), lines
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name     string
		fault    Fault
		reaches  bool
		answered bool
		broken   bool
	}{
		{"none", Fault{}, true, true, false},
		{"delay", Fault{Delay: 5, Jitter: 5}, true, true, false},
		{"refuse", Fault{Refuse: true}, false, false, true},
		{"stall", Fault{Stall: true}, false, false, false},
		{"stalled answers", Fault{StallAnswers: true}, true, false, false},
		{"lost answer", Fault{LoseAnswers: 1}, true, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target, lines := echo(t)
			p := New(1, clock.System())
			t.Cleanup(p.Close)
			p.SetFault(Rule{Pattern: "a/*", Fault: test.fault})
			address, err := p.SetLink("a/b", target)
			if err != nil {
				t.Fatal(err)
			}
			conn, err := net.Dial("tcp", address)
			if test.fault.Refuse && errors.Is(err, syscall.ECONNRESET) {
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.Write([]byte("hello\n"))
			if test.reaches {
				<-lines
			}
			if !test.answered && !test.broken {
				conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			}
			answer, err := bufio.NewReader(conn).ReadString('\n')
			if (err == nil) != test.answered || (err == nil && answer != "hello\n") {
				t.Errorf("got answer %q, %v", answer, err)
			}
			if timedOut := errors.Is(err, os.ErrDeadlineExceeded); err != nil && test.broken == timedOut {
				t.Errorf("got error %v, broken should be %v", err, test.broken)
			}
		})
	}
}

func TestStallEndsAndCutBreaks(t *testing.T) {
	target, _ := echo(t)
	p := New(1, clock.System())
	defer p.Close()
	address, err := p.SetLink("x", target)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	p.SetFault(Rule{Pattern: "x", Fault: Fault{Stall: true}})
	conn.Write([]byte("late\n"))
	p.SetFault(Rule{Pattern: "x"})
	if answer, err := reader.ReadString('\n'); err != nil || answer != "late\n" {
		t.Errorf("got %q, %v, want the data sent during the stall", answer, err)
	}
	p.SetFault(Rule{Pattern: "x", Fault: Fault{Cut: true}})
	if _, err := reader.ReadString('\n'); err == nil {
		t.Error("read succeeded after the cut, want an error")
	}
}

func TestSilenceIsForGoodAndForOpenConnectionsOnly(t *testing.T) {
	target, _ := echo(t)
	p := New(1, clock.System())
	defer p.Close()
	address, err := p.SetLink("x", target)
	if err != nil {
		t.Fatal(err)
	}
	ask := func(conn net.Conn) error {
		conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		conn.Write([]byte("hello\n"))
		_, err := bufio.NewReader(conn).ReadString('\n')
		return err
	}
	old, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	if err := ask(old); err != nil {
		t.Fatal(err)
	}
	p.SetFault(Rule{Pattern: "x", Fault: Fault{Silence: true}})
	fresh, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer fresh.Close()
	if err := ask(fresh); err != nil {
		t.Errorf("a new connection is silent: %v", err)
	}
	p.SetFault(Rule{Pattern: "x"})
	if err := ask(old); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got error %v on the old connection, want none but silence", err)
	}
}
