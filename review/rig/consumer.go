//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// consumer is a channel of a consumer to a gateway.
type consumer struct {
	rec    *record
	name   string
	conn   net.Conn
	reader *bufio.Reader
}

func (c *rig) connect(name string, g *gateway) (*consumer, error) {
	conn, err := net.DialTimeout("tcp", g.front(), time.Second)
	if err != nil {
		return nil, err
	}
	c.rec.note("consumer %s: channel to %s is open", name, g.name)
	return &consumer{rec: c.rec, name: name, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// request is what a consumer sends.
type request struct {
	id, method, target string
	timeLimit          time.Duration
	body               string
	header             map[string]string
}

func (r request) encode() string {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nBanyanshift-Attempt-Id: %s\r\nApi-Key: %s\r\n", r.method, r.target, routeHost, r.id, apiKey)
	fmt.Fprintf(&head, "Banyanshift-Deadline-Remaining: %d\r\nContent-Length: %d\r\n", r.timeLimit.Milliseconds(), len(r.body))
	for name, value := range r.header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	return head.String() + "\r\n" + r.body
}

// outcome is the end of a request as a consumer sees it.
type outcome struct {
	status int
	body   string
	header http.Header
	err    error
}

// complete reports whether the answer is whole.
func (o outcome) complete() bool { return o.err == nil }

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("status %d, %d bytes, then %v", o.status, len(o.body), o.err)
	}
	return fmt.Sprintf("status %d, whole answer of %d bytes", o.status, len(o.body))
}

// send sends a request and reads the answer to it.
func (c *consumer) send(r request) (o outcome) {
	c.rec.note("consumer %s: sends %s %s (%s), %d bytes, further fields %v", c.name, r.method, r.target, r.id, len(r.body), r.header)
	defer func() { c.rec.note("consumer %s: %s: %s", c.name, r.id, o) }()
	_ = c.conn.SetDeadline(time.Now().Add(r.timeLimit))
	if _, err := io.WriteString(c.conn, r.encode()); err != nil {
		return outcome{err: err}
	}
	return c.read(r.method)
}

func (c *consumer) read(method string) outcome {
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return outcome{err: err}
	}
	body, err := io.ReadAll(answer.Body)
	return outcome{status: answer.StatusCode, header: answer.Header, body: string(body), err: err}
}

func (c *consumer) close() { _ = c.conn.Close() }

// softwareOf returns the software versions that wrote the pieces of a stream.
func softwareOf(body string) (versions []string) {
	for line := range strings.Lines(body) {
		_, version, found := strings.Cut(strings.TrimSpace(line), " by software ")
		if found && !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	return versions
}
