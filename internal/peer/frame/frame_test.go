package frame

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"testing"

	"github.com/banyanshift/banyanshift/internal/peer/message"
)

func TestReadReturnsWhatWriteWrote(t *testing.T) {
	want := Frame{Kind: Request, Type: message.Probe, ID: 1 << 40, Body: []byte("body")}
	var buf bytes.Buffer
	if err := Write(&buf, want); err != nil {
		t.Fatal(err)
	}
	got, err := Read(&buf, MaxBodyBytes)
	if err != nil {
		t.Fatal(err)
	}
	if got.Kind != want.Kind || got.Type != want.Type || got.ID != want.ID || !bytes.Equal(got.Body, want.Body) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestReadRefusesMalformedFrames(t *testing.T) {
	valid, err := Append(nil, Frame{Kind: OneWay, Body: []byte("0123456789")})
	if err != nil {
		t.Fatal(err)
	}
	change := func(at int, value byte) []byte {
		data := append([]byte(nil), valid...)
		data[at] = value
		return data
	}
	tests := []struct {
		name string
		data []byte
		want error
	}{
		{"another version", change(0, 9), ErrVersion},
		{"kind zero", change(1, 0), ErrKind},
		{"unknown kind", change(1, 200), ErrKind},
		{"length over the limit", change(12, 255), ErrTooLarge},
		{"truncated within the header", valid[:7], io.ErrUnexpectedEOF},
		{"truncated after the header", valid[:headerBytes], io.ErrUnexpectedEOF},
		{"truncated within the body", valid[:headerBytes+3], io.ErrUnexpectedEOF},
		{"nothing", nil, io.EOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := Read(bytes.NewReader(tt.data), 1<<20); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}

// TestDecodeRefusesWhatEndsTheProcess guards against daemons that end of a peer's message.
func TestDecodeRefusesWhatEndsTheProcess(t *testing.T) {
	var body struct{ Items []Frame }
	for name, data := range map[string][]byte{
		"endless list": []byte("\x81\xa5Items\xdd\xff\xff\xff\xff\x80"),
		"deep lists":   append([]byte("\x81\xa5Other"), bytes.Repeat([]byte{0x91}, MaxBodyBytes-7)...),
	} {
		if err := Decode(data, &body); err == nil {
			t.Errorf("%s: decoded, want an error", name)
		}
	}
}

func FuzzRead(f *testing.F) {
	seed, _ := Append(nil, Frame{Kind: Hello, Body: []byte{0x81, 0xa1, 'A', 0x01}})
	f.Add(seed)
	f.Add([]byte{1, 2, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := Read(bytes.NewReader(data), 1<<16)
		if err != nil {
			return
		}
		again, err := Append(nil, got)
		if err != nil || !bytes.Equal(again, data[:len(again)]) {
			t.Errorf("encoding frame %+v does not give the bytes that it was read from", got)
		}
		var body struct{ A int }
		_ = Decode(got.Body, &body)
	})
}

// TestFrameThatDoesNotArriveTakesLittle guards against peers, or others at their port, that announce long
// frames and do not send them.
func TestFrameThatDoesNotArriveTakesLittle(t *testing.T) {
	const frames, maxBytes = 20, 4 << 20
	encoded, err := Append(nil, Frame{Kind: OneWay, Body: make([]byte, MaxBodyBytes)})
	if err != nil {
		t.Fatal(err)
	}
	if whole, err := Read(bytes.NewReader(encoded), MaxBodyBytes); err != nil || len(whole.Body) != MaxBodyBytes {
		t.Fatalf("got %d bytes, error %v", len(whole.Body), err)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range frames {
		if _, err := Read(bytes.NewReader(encoded[:1000]), MaxBodyBytes); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("got error %v", err)
		}
	}
	runtime.ReadMemStats(&after)
	if took := after.TotalAlloc - before.TotalAlloc; took > maxBytes {
		t.Errorf("%d frames of which 1,000 bytes came took %d bytes, want at most %d", frames, took, maxBytes)
	}
}
