package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/peer/frame"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

type echo struct {
	Text string
	Fail bool
}

func discardLogger() logrus.FieldLogger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

func start(t *testing.T, id string, register func(l *Link)) *Link {
	t.Helper()
	l := New(Config{ID: id, Listen: "127.0.0.1:0"}, clock.System(), discardLogger())
	if register != nil {
		register(l)
	}
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

func serveEcho(l *Link) {
	Handle(l, message.Probe, func(_ context.Context, from string, req echo) (echo, error) {
		if req.Fail {
			return echo{}, errors.New("requested failure")
		}
		return echo{Text: from + ":" + req.Text}, nil
	})
}

func TestCallReturnsThePeersResponse(t *testing.T) {
	b := start(t, "b", serveEcho)
	a := start(t, "a", nil)
	peer := Peer{ID: "b", Address: b.Address()}
	var calls sync.WaitGroup
	for range 50 {
		calls.Go(func() {
			got, err := Call[echo, echo](t.Context(), a, peer, message.Probe, echo{Text: "x"})
			if err != nil || got.Text != "a:x" {
				t.Errorf("got %q, %v, want \"a:x\"", got.Text, err)
			}
		})
	}
	calls.Wait()
}

func TestCallDistinguishesErrors(t *testing.T) {
	b := start(t, "b", serveEcho)
	a := start(t, "a", nil)
	peer := Peer{ID: "b", Address: b.Address()}

	var remote *RemoteError
	if _, err := Call[echo, echo](t.Context(), a, peer, message.Probe, echo{Fail: true}); !errors.As(err, &remote) {
		t.Errorf("failing handler: got %v, want a RemoteError", err)
	}
	if _, err := Call[echo, echo](t.Context(), a, peer, message.Leave, echo{}); !errors.As(err, &remote) {
		t.Errorf("unknown message type: got %v, want a RemoteError", err)
	}
	wrong := Peer{ID: "c", Address: b.Address()}
	if _, err := Call[echo, echo](t.Context(), start(t, "d", nil), wrong, message.Probe, echo{}); !errors.Is(err, ErrUnreachable) {
		t.Errorf("another peer at the address: got %v, want ErrUnreachable", err)
	}
	external := Peer{ID: "e", Address: "192.0.2.1:1"}
	if _, err := Call[echo, echo](t.Context(), a, external, message.Probe, echo{}); !errors.Is(err, ErrUnreachable) {
		t.Errorf("plain text outside loopback: got %v, want ErrUnreachable", err)
	}
}

func TestCallFailsWhenThePeerCloses(t *testing.T) {
	reached := make(chan struct{})
	b := start(t, "b", func(l *Link) {
		Handle(l, message.Probe, func(ctx context.Context, _ string, _ echo) (echo, error) {
			close(reached)
			<-ctx.Done()
			return echo{}, ctx.Err()
		})
	})
	a := start(t, "a", nil)
	result := make(chan error, 1)
	go func() {
		_, err := Call[echo, echo](context.Background(), a, Peer{ID: "b", Address: b.Address()}, message.Probe, echo{})
		result <- err
	}()
	<-reached
	b.Close()
	err := <-result
	var remote *RemoteError
	if !errors.Is(err, ErrNoAnswer) && !errors.As(err, &remote) {
		t.Errorf("got %v, want ErrNoAnswer or a RemoteError", err)
	}
}

func TestSendPreservesOrder(t *testing.T) {
	var got []string
	var count atomic.Int64
	b := start(t, "b", func(l *Link) {
		Handle(l, message.EndpointUpdate, func(_ context.Context, _ string, req echo) (struct{}, error) {
			got = append(got, req.Text)
			count.Add(1)
			return struct{}{}, nil
		})
	})
	a := start(t, "a", nil)
	want := []string{"1", "2", "3", "4", "5"}
	for _, text := range want {
		if err := Send(a, Peer{ID: "b", Address: b.Address()}, message.EndpointUpdate, echo{Text: text}); err != nil {
			t.Fatal(err)
		}
	}
	for deadline := time.Now().Add(10 * time.Second); count.Load() < 5 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	b.Close()
	for i := range want {
		if i >= len(got) || got[i] != want[i] {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
}

func TestInvalidConnectionsAreClosed(t *testing.T) {
	b := start(t, "b", serveEcho)
	for _, data := range []string{"GET / HTTP/1.1\r\n\r\n", "\x01\x02\x00\x10\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x00"} {
		netConn, err := net.Dial("tcp", b.Address())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = netConn.Write([]byte(data))
		if _, err := io.Copy(io.Discard, netConn); err != nil && !errors.Is(err, io.EOF) {
			t.Logf("connection ended with %v", err)
		}
		_ = netConn.Close()
	}
	got, err := Call[echo, echo](t.Context(), start(t, "a", nil), Peer{ID: "b", Address: b.Address()}, message.Probe, echo{Text: "still"})
	if err != nil || got.Text != "a:still" {
		t.Errorf("got %q, %v, want \"a:still\"", got.Text, err)
	}
}

func TestQueueIsBounded(t *testing.T) {
	q := newSendQueue()
	for i := range maxQueuedFrames {
		if !q.push(frame.Frame{ID: uint64(i)}) {
			t.Fatalf("frame %d was rejected before the queue was full", i)
		}
	}
	if q.push(frame.Frame{}) {
		t.Error("the queue accepted more frames than its limit")
	}
	taken := q.take()
	if len(taken) != maxQueuedFrames || taken[7].ID != 7 || !q.push(frame.Frame{}) {
		t.Errorf("took %d frames, want all in order and then room for more", len(taken))
	}
}

func BenchmarkConnMemory(b *testing.B) {
	l := New(Config{ID: "a", Listen: "127.0.0.1:0"}, clock.System(), discardLogger())
	b.ReportAllocs()
	for b.Loop() {
		newConn(l, nil)
	}
}
