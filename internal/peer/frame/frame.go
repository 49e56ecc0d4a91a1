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
// Read returns ErrVersion, ErrKind or ErrTooLarge for frames that it refuses;
// the connection is of no further use then.
package frame

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// Version is the version of the framing and of the message bodies. Daemons
// refuse frames of another version.
const Version = 1

// MaxBodyBytes is the greatest body that Write and Read accept.
const MaxBodyBytes = 16 << 20

const headerBytes = 16

// Kind says what part a frame plays.
type Kind uint8

// The kinds of frame.
const (
	// Hello is the first frame of a connection, in both directions.
	Hello Kind = iota + 1
	// Request asks for a response with the same identifier.
	Request
	// Response answers a request.
	Response
	// Failure answers a request that the peer could not serve; its body is
	// the error's text.
	Failure
	// OneWay expects no response.
	OneWay
)

// Errors of Read and Write.
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

// Size returns the number of bytes that f takes on the connection.
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

// Read reads one frame whose body has at most limit bytes.
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
	f.Body = make([]byte, length)
	if _, err := io.ReadFull(r, f.Body); err != nil {
		return Frame{}, noEOF(err)
	}
	return f, nil
}

// noEOF makes an end in the middle of a frame different from one between frames.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Encode encodes a message body.
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
// that the value does not have are skipped.
func Decode(data []byte, body any) error {
	return msgpack.Unmarshal(data, body)
}
