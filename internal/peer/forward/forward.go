// Package forward passes requests to endpoints through a peer, for a daemon whose own path
// to an endpoint is broken.
//
// A Client asks a peer whether it reaches the endpoint. The peer's Server connects to it
// before it agrees, so that the Client can go on to another peer, having sent nothing, if the
// peer is silent or does not reach the endpoint either. Then the request and the
// answer pass through, byte by byte as they arrive. A Server never forwards what another
// one forwards, so that there is one hop at most.
//
// The daemon that has the caller decides everything about the request: endpoint, attempts,
// retry budget, time limit and usage. The peer adds what it knows itself: that the
// endpoint is leaving or wants no requests. A request that was handed over and got no answer
// may have run.
//
// Forwarded requests have connections of their own, one for each request at a time, so that
// a long body does not delay the messages of package link. A connection that is closed by the
// Client ends the request at the endpoint.
//
// # Usage
//
//	client := forward.NewClient(clk, "7355", budget)
//	conn, err := client.Open(ctx, "10.0.0.7:7340", forward.Target{Endpoint: "i-7f3a91c2", Address: "10.0.1.9:8080"})
//	answer, err := conn.Do(ctx, request)
package forward

import (
	"bufio"
	"fmt"
	"net"

	"github.com/banyanshift/banyanshift/internal/peer/frame"
	"github.com/banyanshift/banyanshift/internal/peer/message"
	"github.com/banyanshift/banyanshift/internal/wire/response"
)

const (
	// bufferBytes is the size of the write buffer of a connection, and maxChunkBytes that
	// of the longest part of a body in one message.
	bufferBytes   = 16 << 10
	maxChunkBytes = 32 << 10
	// maxMessageBytes limits the size of a message, and maxAnswerBytes that of one with the head or a
	// part of the body of an answer.
	maxMessageBytes = 1 << 20
	maxAnswerBytes  = 2 * response.MaxHeadBytes
)

// framedConn is a connection between a Client and a Server.
type framedConn struct {
	net    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
}

func newFramedConn(netConn net.Conn) *framedConn {
	return &framedConn{net: netConn, reader: bufio.NewReader(netConn), writer: bufio.NewWriterSize(netConn, bufferBytes)}
}

// write buffers a message.
func (c *framedConn) write(t message.Type, body any) error {
	encoded, err := frame.Encode(body)
	if err != nil {
		return err
	}
	return frame.Write(c.writer, frame.Frame{Kind: frame.OneWay, Type: t, Body: encoded})
}

// writeBody buffers a part of a body.
func (c *framedConn) writeBody(data []byte) error {
	for len(data) > 0 {
		n := min(len(data), maxChunkBytes)
		if err := frame.Write(c.writer, frame.Frame{Kind: frame.OneWay, Type: message.ForwardBody, Body: data[:n]}); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// read reads the next message.
func (c *framedConn) read() (frame.Frame, error) {
	return frame.Read(c.reader, maxMessageBytes)
}

// readAnswer reads the next message of an answer.
func (c *framedConn) readAnswer() (frame.Frame, error) {
	return frame.Read(c.reader, maxAnswerBytes)
}

// decode decodes a message that must be of one type.
func decode[Body any](f frame.Frame, t message.Type) (body Body, err error) {
	if f.Type != t {
		return body, fmt.Errorf("%w: type %#x, want %#x", errProtocol, f.Type, t)
	}
	return body, frame.Decode(f.Body, &body)
}

// readAs reads a message that must be of one type.
func readAs[Body any](c *framedConn, t message.Type) (body Body, err error) {
	f, err := c.read()
	if err != nil {
		return body, err
	}
	return decode[Body](f, t)
}
