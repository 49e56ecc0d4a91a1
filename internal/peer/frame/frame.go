// Package frame encodes the messages between daemons: a fixed header followed
// by a body in msgpack.
//
// The header is 16 bytes in network byte order: version (1), kind (1), message
// type (2), identifier (8) and body length (4). The identifier pairs a
// response with its request.
//
// # Usage
//
//	err := frame.Write(w, frame.Frame{Kind: frame.Request, Type: message.Probe, ID: 7, Body: body})
//	f, err := frame.Read(r, frame.MaxBodyBytes)
//
// Read returns ErrVersion, ErrKind or ErrTooLarge for a frame that it rejects.
// The position in the stream is lost then, so the connection must be closed.
package frame

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/packed"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// Version is the version of the frame format and of the message bodies. Read
// rejects frames of any other version.
const Version = 1

// MaxBodyBytes is the maximum body size that Append and Write accept. Read takes
// its own limit.
const MaxBodyBytes = 16 << 20

const headerBytes = 16

// Kind is the role of a frame in an exchange.
type Kind uint8

// Frame kinds.
const (
	// Hello is the first frame of a connection, in both directions.
	Hello Kind = iota + 1
	// Request asks for a response with the same identifier.
	Request
	// Response answers a request.
	Response
	// Failure answers a request that the peer could not serve. Its body is the
	// error text.
	Failure
	// OneWay expects no response.
	OneWay
)

// Errors returned by Append, Write and Read.
var (
	ErrVersion  = errors.New("frame: unknown version")
	ErrKind     = errors.New("frame: unknown kind")
	ErrTooLarge = errors.New("frame: body too large")
)

// Frame is one message on a connection.
type Frame struct {
	Kind Kind
	Type message.Type
	ID   uint64
	Body []byte
}

// Size returns the encoded size of f in bytes.
func (f Frame) Size() int {
	return headerBytes + len(f.Body)
}

// Append appends the encoding of f to buf.
func Append(buf []byte, f Frame) ([]byte, error) {
	if len(f.Body) > MaxBodyBytes {
		return buf, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(f.Body))
	}
	buf = append(buf, Version, byte(f.Kind))
	buf = binary.BigEndian.AppendUint16(buf, uint16(f.Type))
	buf = binary.BigEndian.AppendUint64(buf, f.ID)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(f.Body)))
	return append(buf, f.Body...), nil
}

// Write writes f with a single call of w.Write.
func Write(w io.Writer, f Frame) error {
	buf, err := Append(make([]byte, 0, f.Size()), f)
	if err != nil {
		return err
	}
	_, err = w.Write(buf)
	return err
}

// Read reads one frame with a body of at most limit bytes. It returns io.EOF if
// the stream ends before the frame and io.ErrUnexpectedEOF if it ends within it.
func Read(r io.Reader, limit int) (Frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	f := Frame{
		Kind: Kind(header[1]),
		Type: message.Type(binary.BigEndian.Uint16(header[2:])),
		ID:   binary.BigEndian.Uint64(header[4:]),
	}
	length := binary.BigEndian.Uint32(header[12:])
	switch {
	case header[0] != Version:
		return Frame{}, fmt.Errorf("%w: %d", ErrVersion, header[0])
	case f.Kind < Hello || f.Kind > OneWay:
		return Frame{}, fmt.Errorf("%w: %d", ErrKind, header[1])
	case int64(length) > int64(limit):
		return Frame{}, fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, length, limit)
	}
	body, err := readBody(r, int(length))
	if err != nil {
		return Frame{}, unexpectedEOF(err)
	}
	f.Body = body
	return f, nil
}

const (
	// firstReadBytes is the first size of the buffer for a body, and readGrowth the factor by which
	// it grows.
	firstReadBytes = 64 << 10
	readGrowth     = 4
)

// readBody reads a body into a buffer that grows as it arrives, so that a sender cannot make its
// receiver hold much that it has not sent.
func readBody(r io.Reader, length int) ([]byte, error) {
	body := make([]byte, min(length, firstReadBytes))
	for read := 0; ; {
		if _, err := io.ReadFull(r, body[read:]); err != nil {
			return nil, err
		}
		if len(body) == length {
			return body, nil
		}
		read = len(body)
		grown := make([]byte, min(read*readGrowth, length))
		copy(grown, body)
		body = grown
	}
}

// unexpectedEOF replaces io.EOF within a frame, since io.EOF means that the
// stream ended between frames.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Encode encodes a message body in msgpack. Empty struct fields are omitted.
func Encode(body any) ([]byte, error) {
	var buf bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&buf)
	encoder.UseCompactInts(true)
	encoder.UseCompactFloats(true)
	encoder.SetOmitEmpty(true)
	if err := encoder.Encode(body); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// Decode decodes a message body into the value that body points to. Fields
// unknown to the value's type are ignored.
func Decode(data []byte, body any) error {
	return packed.Unmarshal(data, body)
}
