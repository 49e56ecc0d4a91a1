package guard

import (
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/banyanshift/banyanshift/coord/clock"
)

const (
	childAddress = "GUARD_TEST_CHILD"
	childMode    = "GUARD_TEST_MODE"
	// Modes of the child: the lease is checked by the connection or by the
	// code that calls Write.
	modeGuarded = "Guarded"
	modeCaller  = "Caller"

	messageBytes = 100
	childTTL     = 10 * clock.Millisecond
)

// childLease is renewed by its own goroutine. Once expired it stays expired,
// like a lease that another process has taken over.
type childLease struct {
	clock clock.Clock
	until atomic.Int64
	stop  chan struct{}
}

func (l *childLease) valid() (clock.Millis, bool) {
	until := clock.Millis(l.until.Load())
	return until, l.clock.Now() < until
}

func (l *childLease) run() {
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Millisecond):
		}
		// As for a lease, validity starts before the renewal: a stop
		// between these two lines must not make an expired lease valid.
		renewed := l.clock.Now()
		if renewed < clock.Millis(l.until.Load()) {
			l.until.Store(int64(renewed + childTTL))
		}
	}
}

// TestStoppedChild is not a test but the child process that stopChild starts
// and stops. It writes as fast as it can while its lease is valid, then starts
// again with a new lease and a new connection.
func TestStoppedChild(t *testing.T) {
	address := os.Getenv(childAddress)
	if address == "" {
		return
	}
	message := make([]byte, messageBytes)
	for {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		l := &childLease{clock: clock.System(), stop: make(chan struct{})}
		l.until.Store(int64(l.clock.Now() + childTTL))
		go l.run()
		out := conn
		if os.Getenv(childMode) == modeGuarded {
			out = New(l.valid, l.clock).Conn(conn)
		}
		for {
			if _, ok := l.valid(); !ok {
				break
			}
			if _, err := out.Write(message); err != nil {
				break
			}
		}
		close(l.stop)
		conn.Close()
	}
}

// stopChild stops a child process at random times for longer than its lease and
// returns how many bytes it wrote after each stop.
func stopChild(t testing.TB, mode string, stops int) (late []int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	child := exec.Command(os.Args[0], "-test.run=^TestStoppedChild$")
	child.Env = append(os.Environ(), childAddress+"="+listener.Addr().String(), childMode+"="+mode)
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		listener.Close()
		child.Process.Kill()
		child.Wait()
	}()
	random := rand.New(rand.NewPCG(11, 12))
	for len(late) < stops {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		// The first byte shows that the child's lease has started. A stop
		// before that would only delay the start.
		if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
			conn.Close()
			continue
		}
		drain(t, conn, 2*time.Millisecond+time.Duration(random.IntN(2000))*time.Microsecond)
		child.Process.Signal(syscall.SIGSTOP)
		// Read everything that was written before the stop.
		time.Sleep(3 * childTTL.Duration())
		for quiet := 0; quiet < 3; {
			if drain(t, conn, 5*time.Millisecond) == 0 {
				quiet++
			} else {
				quiet = 0
			}
		}
		child.Process.Signal(syscall.SIGCONT)
		n, _ := io.Copy(io.Discard, conn)
		late = append(late, int(n))
		conn.Close()
	}
	return late
}

// drain waits, then reads the available data without blocking and returns its
// size.
func drain(t testing.TB, conn net.Conn, wait time.Duration) (bytes int) {
	t.Helper()
	time.Sleep(wait)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 64<<10)
	for {
		n := 0
		raw.Read(func(fd uintptr) bool {
			n, _ = unix.Read(int(fd), buffer)
			return true
		})
		if n <= 0 {
			return bytes
		}
		bytes += n
	}
}

// Guards against late writes of a stopped process: at most one piece may be
// written, the one that was between its check and its system call.
func TestStopLetsAtMostOnePieceThrough(t *testing.T) {
	for i, bytes := range stopChild(t, modeGuarded, 40) {
		if bytes > messageBytes {
			t.Errorf("stop %d: %d bytes were written late, want at most one message", i, bytes)
		}
	}
}

// BenchmarkStop reports after how many of 100 stops a message was written late.
// The process writes continuously, which is the worst case.
func BenchmarkStop(b *testing.B) {
	for _, mode := range []string{modeGuarded, modeCaller} {
		b.Run(mode, func(b *testing.B) {
			hit := 0
			for _, bytes := range stopChild(b, mode, b.N) {
				if bytes > 0 {
					hit++
				}
			}
			b.ReportMetric(100*float64(hit)/float64(b.N), "late/100stops")
		})
	}
}

// BenchmarkWrite reports the time between consecutive guarded writes, which is
// needed to estimate the probability of a stop between check and system call.
func BenchmarkWrite(b *testing.B) {
	client, server := tcpPair(b)
	go io.Copy(io.Discard, server)
	message := make([]byte, messageBytes)
	guarded := New(newFakeLease(clock.Hour).valid, clock.System()).Conn(client)
	for _, c := range []struct {
		name string
		conn net.Conn
	}{{"Guarded", guarded}, {"Plain", client}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.conn.Write(message); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	b.Run("Check", func(b *testing.B) {
		g := New(newFakeLease(clock.Hour).valid, clock.System())
		for b.Loop() {
			if _, err := g.remaining(); err != nil {
				b.Fatal(err)
			}
		}
	})
}
