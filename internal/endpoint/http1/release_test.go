package http1_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// TestReleasedConnectionIsNotKeptLonger guards against a request that gets no answer, because its
// connection was given back unused and kept beyond the time that the endpoint had announced.
func TestReleasedConnectionIsNotKeptLonger(t *testing.T) {
	t.Parallel()
	const announced = 2 * time.Second
	e := newEndpoint(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n")
		}
	})
	pool := newPool()
	if _, err := get(pool, e, request("r1")); err != nil {
		t.Fatal(err)
	}
	unused := pool.Take("e1")
	if unused == nil {
		t.Fatal("the connection is not kept")
	}
	unused.Release()
	time.Sleep(announced)
	if pool.Take("e1") != nil {
		t.Error("the connection is still used at the end of the time that the endpoint announced")
	}
}
