// Package packed decodes values in msgpack that other processes have sent or stored.
//
// The decoder of the msgpack library trusts a value: it allocates as many elements as a list
// claims to have, and calls itself for each level of nesting, so that a few bytes of another
// build, or that were damaged, end the process. Unmarshal first checks that a value holds what
// it claims.
//
// # Usage
//
//	var row Row
//	err := packed.Unmarshal(stored.Value, &row)
//
// The error wraps ErrInvalid if the value is not to be decoded.
package packed

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxNesting is the greatest depth of lists and maps within each other.
const MaxNesting = 64

// ErrInvalid means that a value is cut off, claims more than it holds or is nested more deeply
// than MaxNesting.
var ErrInvalid = errors.New("packed: invalid msgpack")

// Unmarshal checks data and decodes it into the value that v points to.
func Unmarshal(data []byte, v any) error {
	if err := Check(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, v)
}

// Check returns an error if the first value in data cannot be decoded safely.
func Check(data []byte) error {
	// open holds how many values are still to come in each of the enclosing lists and maps.
	var open [MaxNesting]int
	depth, left := 0, 1
	for {
		for left == 0 && depth > 0 {
			depth--
			left = open[depth]
		}
		if left == 0 {
			return nil
		}
		size, nested := measure(data)
		if size == 0 || size > len(data) || nested > len(data)-size {
			return fmt.Errorf("%w: cut off, or an unknown code", ErrInvalid)
		}
		data = data[size:]
		left--
		if nested == 0 {
			continue
		}
		if depth == MaxNesting {
			return fmt.Errorf("%w: nested more deeply than %d levels", ErrInvalid, MaxNesting)
		}
		open[depth] = left
		depth++
		left = nested
	}
}

// Codes that start values, as the format defines them.
const (
	fixedMap, fixedList, fixedText, null      = 0x80, 0x90, 0xa0, 0xc0
	no, yes                                   = 0xc2, 0xc3
	bytes8, bytes16, bytes32                  = 0xc4, 0xc5, 0xc6
	extension8, extension16, extension32      = 0xc7, 0xc8, 0xc9
	float32Code, float64Code                  = 0xca, 0xcb
	uint8Code, uint16Code                     = 0xcc, 0xcd
	uint32Code, uint64Code                    = 0xce, 0xcf
	int8Code, int16Code, int32Code, int64Code = 0xd0, 0xd1, 0xd2, 0xd3
	fixedExtension1, fixedExtension2          = 0xd4, 0xd5
	fixedExtension4, fixedExtension8          = 0xd6, 0xd7
	fixedExtension16                          = 0xd8
	text8, text16, text32                     = 0xd9, 0xda, 0xdb
	list16, list32, map16, map32              = 0xdc, 0xdd, 0xde, 0xdf
	negativeNumber                            = 0xe0
)

// Masks of the lengths in codes.
const (
	shortLengthMask = 0x0f
	textLengthMask  = 0x1f
)

// measure returns the size of the first value in data, without the values nested in it, and the
// number of those. The size is 0 if the code is unknown or its length is cut off.
func measure(data []byte) (size, nested int) {
	if len(data) == 0 {
		return 0, 0
	}
	switch code := data[0]; {
	case code < fixedMap || code >= negativeNumber:
		return 1, 0
	case code < fixedList:
		return 1, 2 * int(code&shortLengthMask)
	case code < fixedText:
		return 1, int(code & shortLengthMask)
	case code < null:
		return 1 + int(code&textLengthMask), 0
	case fixedSizes[code] > 0:
		return fixedSizes[code], 0
	}
	return measureLong(data)
}

// fixedSizes holds the sizes of values whose code alone states them.
var fixedSizes = [256]int{
	null: 1, no: 1, yes: 1,
	uint8Code: 2, int8Code: 2, uint16Code: 3, int16Code: 3,
	uint32Code: 5, int32Code: 5, float32Code: 5,
	uint64Code: 9, int64Code: 9, float64Code: 9,
	fixedExtension1: 3, fixedExtension2: 4, fixedExtension4: 6, fixedExtension8: 10, fixedExtension16: 18,
}

// measureLong measures a value whose code is followed by a length.
func measureLong(data []byte) (size, nested int) {
	width := lengthWidths[data[0]]
	if width == 0 || len(data) <= width {
		return 0, 0
	}
	length, header := readLength(data[1:1+width]), 1+width
	switch data[0] {
	case list16, list32:
		return header, length
	case map16, map32:
		return header, 2 * length
	case extension8, extension16, extension32:
		return header + 1 + length, 0
	}
	return header + length, 0
}

// lengthWidths holds the number of bytes of the length that follows a code.
var lengthWidths = [256]int{
	text8: 1, bytes8: 1, extension8: 1,
	text16: 2, bytes16: 2, extension16: 2, list16: 2, map16: 2,
	text32: 4, bytes32: 4, extension32: 4, list32: 4, map32: 4,
}

func readLength(data []byte) int {
	switch len(data) {
	case 1:
		return int(data[0])
	case 2:
		return int(binary.BigEndian.Uint16(data))
	}
	return int(binary.BigEndian.Uint32(data))
}
