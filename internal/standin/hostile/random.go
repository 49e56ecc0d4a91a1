package hostile

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
)

const (
	// maxRandomPause is the longest pause between two pieces of a random client, and maxRandomBytes
	// the greatest length of its body.
	maxRandomPause = 300 * clock.Millisecond
	maxRandomBytes = 8 << 20
	// maxRandomFields is the greatest number of further fields in its heads.
	maxRandomFields = 2000
)

// Random returns the Behavior of clients that do anything of what the others do, and more: heads and
// bodies that end anywhere, lengths that are not those of the body, chunks of any size, pauses, requests
// behind each other, bytes that are no request, and answers that nobody reads. heads are request lines
// with header fields. The same seed gives the same sequence of connections, whichever client makes them.
func Random(seed uint64, heads ...string) Behavior {
	var visits atomic.Uint64
	return func(conn net.Conn) {
		c := &randomClient{Rand: rand.New(rand.NewPCG(seed, visits.Add(1))), conn: conn}
		c.run(heads)
	}
}

// randomClient is one connection of a random client.
type randomClient struct {
	*rand.Rand
	conn net.Conn
}

func (c *randomClient) run(heads []string) {
	for requests := 1 + c.IntN(3); requests > 0; requests-- {
		if c.write(c.request(heads[c.IntN(len(heads))])) != nil {
			return
		}
	}
	switch c.IntN(3) {
	case 0: // Leaves at once.
	case 1:
		stay(c.conn)
	default:
		waitUnread(c.conn)
	}
}

// request returns a request, whole or not.
func (c *randomClient) request(head string) []byte {
	var text bytes.Buffer
	text.WriteString(head)
	if c.IntN(4) == 0 {
		for n := range c.IntN(maxRandomFields) {
			fmt.Fprintf(&text, "X-%d: %s\r\n", n, strings.Repeat("x", c.IntN(20)))
		}
	}
	if c.IntN(4) == 0 {
		text.WriteString("Expect: 100-continue\r\n")
	}
	body := make([]byte, c.length())
	if c.IntN(2) == 0 {
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n", c.length())
		text.Write(body)
	} else {
		text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		c.writeChunks(&text, body)
	}
	if c.IntN(3) == 0 {
		text.Truncate(c.IntN(text.Len()))
	}
	if c.IntN(20) == 0 {
		text.WriteString("\x00\xffno request\r\n\r\n")
	}
	return text.Bytes()
}

// length returns the length of a body. Short ones are as frequent as long ones.
func (c *randomClient) length() int {
	return c.IntN(1 + maxRandomBytes>>c.IntN(24))
}

func (c *randomClient) writeChunks(text *bytes.Buffer, body []byte) {
	size := 1 + c.IntN(chunkBytes>>c.IntN(16)+1)
	// Many tiny chunks of a long body take more time than the client has.
	for chunks := 0; len(body) > 0 && chunks < 100_000; chunks++ {
		n := min(size, len(body))
		fmt.Fprintf(text, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	if c.IntN(2) == 0 {
		text.WriteString("0\r\n\r\n")
	}
}

// write writes a text in pieces, with pauses between some of them.
func (c *randomClient) write(text []byte) error {
	size := 1 + c.IntN(len(text)+1)
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := c.conn.Write(text[:n]); err != nil {
			return err
		}
		text = text[n:]
		if c.IntN(4) == 0 {
			time.Sleep(time.Duration(c.Int64N(int64(maxRandomPause.Duration()))))
		}
	}
	return nil
}
