package packed_test

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/packed"
)

// message has fields of all kinds that messages and rows have.
type message struct {
	Text    string
	Raw     []byte
	Numbers []uint64
	Floats  []float64
	Flag    *bool
	Inner   []message
	ByName  map[string]message
	Signed  int64
}

// sample returns a message whose lists and texts are of all widths of length.
func sample() message {
	flag := true
	m := message{Text: strings.Repeat("x", 70000), Raw: make([]byte, 300), Floats: []float64{0.5, -1e300}, Flag: &flag, Signed: -1 << 40}
	for n := range 70000 {
		m.Numbers = append(m.Numbers, uint64(n)<<(n%64))
	}
	m.Inner = []message{{Text: strings.Repeat("y", 40)}, {Signed: -5}, {Text: strings.Repeat("z", 300)}}
	m.ByName = map[string]message{"a": {Raw: []byte{1}}}
	return m
}

func TestSoundValuesAreDecoded(t *testing.T) {
	encoded, err := msgpack.Marshal(sample())
	if err != nil {
		t.Fatal(err)
	}
	var decoded message
	if err := packed.Unmarshal(encoded, &decoded); err != nil || len(decoded.Numbers) != 70000 || decoded.Inner[1].Signed != -5 {
		t.Fatalf("got %d numbers, %v", len(decoded.Numbers), err)
	}
	for _, value := range []any{nil, true, "", []int{}, map[string]int{}, struct{}{}, 1.5, make([]any, 40), map[string]any{"a": []any{1, "b", nil}}} {
		encoded, err := msgpack.Marshal(value)
		if err == nil {
			err = packed.Check(encoded)
		}
		if err != nil {
			t.Errorf("%v: %v", value, err)
		}
	}
}

// TestValuesThatClaimMoreThanTheyHoldAreRefused guards against a process that ends of a few bytes.
func TestValuesThatClaimMoreThanTheyHoldAreRefused(t *testing.T) {
	field := func(rest ...byte) []byte { return append([]byte{0x81, 0xa5, 'I', 'n', 'n', 'e', 'r'}, rest...) }
	unknown := append([]byte{0x81, 0xa1, 'Z'}, bytes.Repeat([]byte{0x91}, 16<<20)...)
	for name, data := range map[string][]byte{
		"no bytes": nil, "unknown code": {0xc1}, "long list": field(0xdd, 0xff, 0xff, 0xff, 0xff, 0x80), "list": field(0xdc, 0xff, 0xff, 0x80),
		"long map": field(0xdf, 0xff, 0xff, 0xff, 0xff), "long text": field(0xdb, 0xff, 0xff, 0xff, 0xff, 'a'), "bytes": field(0xc6, 0xff, 0xff, 0xff, 0xff),
		"extension": field(0xc9, 0xff, 0xff, 0xff, 0xff, 1), "cut off length": field(0xdd, 0xff), "deep lists": unknown,
		"deep maps": append([]byte{0x81, 0xa1, 'Z'}, bytes.Repeat([]byte{0x81, 0xa1, 'a'}, 1<<20)...),
	} {
		var m message
		if err := packed.Unmarshal(data, &m); !errors.Is(err, packed.ErrInvalid) {
			t.Errorf("%s: got %v, want ErrInvalid", name, err)
		}
	}
}

// TestDamagedValuesEndNoProcess decodes values of which bytes were changed or cut off.
func TestDamagedValuesEndNoProcess(t *testing.T) {
	small := message{Text: "text", Raw: []byte{1, 2}, Numbers: []uint64{1, 1 << 40}, Inner: []message{{Text: strings.Repeat("y", 40)}}, ByName: map[string]message{"a": {}}}
	encoded, err := msgpack.Marshal(small)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		damaged := bytes.Clone(encoded)
		for range 1 + rng.IntN(3) {
			damaged[rng.IntN(len(damaged))] = byte(rng.Uint32())
		}
		var m message
		_ = packed.Unmarshal(damaged[:rng.IntN(len(damaged)+1)], &m)
	}
}

func FuzzUnmarshal(f *testing.F) {
	f.Add([]byte{0x81, 0xa1, 'A', 0x01})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m message
		_ = packed.Unmarshal(data, &m)
	})
}

func BenchmarkCheck(b *testing.B) {
	encoded, _ := msgpack.Marshal(sample())
	b.Run("Check", func(b *testing.B) {
		for b.Loop() {
			_ = packed.Check(encoded)
		}
	})
	b.Run("Decode", func(b *testing.B) {
		for b.Loop() {
			var m message
			_ = msgpack.Unmarshal(encoded, &m)
		}
	})
}
