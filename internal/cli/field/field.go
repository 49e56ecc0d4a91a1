// Package field parses and formats the fields of protobuf messages as text, for
// flags, tables and files.
//
// A field has the same name as in its message, except that the unit suffix of a
// duration or timestamp is dropped: FirstTokenTargetMillis is written as
// FirstTokenTarget = 780ms, StartUnixMillis as Start = 2026-01-02T15:04:05Z.
//
// # Usage
//
//	err := field.Set(class, "FirstTokenTarget", "780ms")
//	text := field.Text(class, "FirstTokenTarget")
package field

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Suffixes of the names of timestamps and durations in milliseconds.
const (
	timestampSuffix = "UnixMillis"
	durationSuffix  = "Millis"
)

// listSeparator separates the elements of a list.
const listSeparator = ","

// unsetTimestamp is the text of a timestamp that is 0, such as the start of the
// first usage window, which is not known.
const unsetTimestamp = "-"

// ErrUnknownField is returned if the message has no field with the given name.
var ErrUnknownField = errors.New("unknown field")

// Name returns the name of a field in flags, tables and files.
func Name(descriptor protoreflect.FieldDescriptor) string {
	name := string(descriptor.Name())
	if short, found := strings.CutSuffix(name, timestampSuffix); found {
		return short
	}
	return strings.TrimSuffix(name, durationSuffix)
}

// Names returns the names of all fields of a message.
func Names(descriptor protoreflect.MessageDescriptor) []string {
	fields := descriptor.Fields()
	names := make([]string, fields.Len())
	for i := range names {
		names[i] = Name(fields.Get(i))
	}
	return names
}

// Find returns the field of the message with the given name.
func Find(message proto.Message, name string) (protoreflect.FieldDescriptor, error) {
	descriptor := message.ProtoReflect().Descriptor()
	fields := descriptor.Fields()
	for i := range fields.Len() {
		if Name(fields.Get(i)) == name {
			return fields.Get(i), nil
		}
	}
	return nil, fmt.Errorf("%w %s; the fields are %s", ErrUnknownField, name, strings.Join(Names(descriptor), ", "))
}

// Set parses text into the field. The error describes the values that the field
// accepts.
func Set(message proto.Message, name, text string) error {
	descriptor, err := Find(message, name)
	if err != nil {
		return err
	}
	reflected := message.ProtoReflect()
	if descriptor.IsList() {
		list := reflected.NewField(descriptor).List()
		for _, element := range splitList(text) {
			list.Append(protoreflect.ValueOfString(element))
		}
		reflected.Set(descriptor, protoreflect.ValueOfList(list))
		return nil
	}
	value, err := parse(descriptor, text)
	if err != nil {
		return err
	}
	reflected.Set(descriptor, value)
	return nil
}

func splitList(text string) []string {
	var elements []string
	for _, element := range strings.Split(text, listSeparator) {
		if element = strings.TrimSpace(element); element != "" {
			elements = append(elements, element)
		}
	}
	return elements
}

func parse(descriptor protoreflect.FieldDescriptor, text string) (value protoreflect.Value, err error) {
	switch descriptor.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), nil
	case protoreflect.BytesKind:
		return parseBytes(text)
	case protoreflect.BoolKind:
		return parseBool(text)
	case protoreflect.Int32Kind:
		number, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return value, errors.New("must be a whole number")
		}
		return protoreflect.ValueOfInt32(int32(number)), nil
	case protoreflect.Int64Kind:
		return parseInt64(descriptor, text)
	case protoreflect.Uint64Kind:
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return value, errors.New("must be a non-negative whole number")
		}
		return protoreflect.ValueOfUint64(number), nil
	case protoreflect.DoubleKind:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return value, errors.New("must be a number such as 0.25")
		}
		return protoreflect.ValueOfFloat64(number), nil
	}
	return value, fmt.Errorf("%s cannot be written as text", descriptor.Name())
}

func parseBytes(text string) (value protoreflect.Value, err error) {
	decoded, err := hex.DecodeString(text)
	if err != nil {
		return value, errors.New("must be an even number of hexadecimal digits")
	}
	return protoreflect.ValueOfBytes(decoded), nil
}

func parseBool(text string) (value protoreflect.Value, err error) {
	switch text {
	case "true":
		return protoreflect.ValueOfBool(true), nil
	case "false":
		return protoreflect.ValueOfBool(false), nil
	}
	return value, errors.New("must be true or false")
}

func parseInt64(descriptor protoreflect.FieldDescriptor, text string) (value protoreflect.Value, err error) {
	name := string(descriptor.Name())
	switch {
	case strings.HasSuffix(name, timestampSuffix):
		instant, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return value, errors.New("must be a time such as 2026-01-02T15:04:05Z")
		}
		return protoreflect.ValueOfInt64(instant.UnixMilli()), nil
	case strings.HasSuffix(name, durationSuffix):
		duration, err := time.ParseDuration(text)
		if err != nil || duration%time.Millisecond != 0 {
			return value, errors.New("must be a duration in whole milliseconds with a unit, such as 250ms, 5s or 1m30s")
		}
		return protoreflect.ValueOfInt64(duration.Milliseconds()), nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return value, errors.New("must be a whole number")
	}
	return protoreflect.ValueOfInt64(number), nil
}

// Text returns the field as text. It panics if the message has no such field,
// which is a programming error.
func Text(message proto.Message, name string) string {
	descriptor, err := Find(message, name)
	if err != nil {
		panic("field: " + err.Error())
	}
	value := message.ProtoReflect().Get(descriptor)
	if descriptor.IsList() {
		return formatList(descriptor, value.List())
	}
	return formatValue(descriptor, value)
}

func formatList(descriptor protoreflect.FieldDescriptor, list protoreflect.List) string {
	elements := make([]string, list.Len())
	for i := range elements {
		elements[i] = formatValue(descriptor, list.Get(i))
	}
	return strings.Join(elements, listSeparator)
}

func formatValue(descriptor protoreflect.FieldDescriptor, value protoreflect.Value) string {
	name := string(descriptor.Name())
	switch {
	case descriptor.Kind() == protoreflect.BytesKind:
		return hex.EncodeToString(value.Bytes())
	case strings.HasSuffix(name, timestampSuffix) && value.Int() == 0:
		return unsetTimestamp
	case strings.HasSuffix(name, timestampSuffix):
		return time.UnixMilli(value.Int()).UTC().Format(time.RFC3339)
	case strings.HasSuffix(name, durationSuffix):
		return clock.Millis(value.Int()).String()
	}
	return value.String()
}
