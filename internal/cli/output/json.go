package output

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/banyanshift/banyanshift/internal/cli/exit"
)

// allFields is the value that --json takes when no fields are listed.
const allFields = "*"

// Format selects how a result is printed. It implements the --json flag.
type Format struct {
	// JSON prints the result as JSON.
	JSON bool
	// Fields lists the fields to print. Empty selects all fields.
	Fields []string

	knownFields []string
}

// AddFlag adds the --json flag to cmd. The fields of message can be selected.
func (f *Format) AddFlag(cmd *cobra.Command, message proto.Message) {
	fields := message.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		f.knownFields = append(f.knownFields, string(fields.Get(i).Name()))
	}
	cmd.Flags().Var(f, "json", "print JSON, with all fields or --json="+strings.Join(f.knownFields, ","))
	cmd.Flags().Lookup("json").NoOptDefVal = allFields
}

// String implements pflag.Value.
func (f *Format) String() string { return strings.Join(f.Fields, ",") }

// Type implements pflag.Value.
func (f *Format) Type() string { return "fields" }

// Set implements pflag.Value.
func (f *Format) Set(text string) error {
	f.JSON = true
	if text == allFields {
		return nil
	}
	for _, field := range strings.Split(text, ",") {
		if !slices.Contains(f.knownFields, field) {
			return exit.Usagef("unknown field %q: must be one of %s", field, strings.Join(f.knownFields, ", "))
		}
		f.Fields = append(f.Fields, field)
	}
	return nil
}

func (f *Format) includes(name protoreflect.Name) bool {
	return len(f.Fields) == 0 || slices.Contains(f.Fields, string(name))
}

// encode returns the selected fields of a message as a JSON object. Fields with
// a zero value are included, and names match the protobuf schema.
func (f *Format) encode(message protoreflect.Message) ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte('{')
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		descriptor := fields.Get(i)
		if !f.includes(descriptor.Name()) || descriptor.ContainingOneof() != nil && !message.Has(descriptor) {
			continue
		}
		if out.Len() > 1 {
			out.WriteByte(',')
		}
		encoded, err := encodeField(descriptor, message.Get(descriptor))
		if err != nil {
			return nil, err
		}
		out.WriteString(`"` + string(descriptor.Name()) + `":`)
		out.Write(encoded)
	}
	out.WriteByte('}')
	return out.Bytes(), nil
}

func encodeField(descriptor protoreflect.FieldDescriptor, value protoreflect.Value) ([]byte, error) {
	if !descriptor.IsList() {
		return encodeValue(descriptor, value)
	}
	list := value.List()
	elements := make([]json.RawMessage, list.Len())
	for i := range elements {
		encoded, err := encodeValue(descriptor, list.Get(i))
		if err != nil {
			return nil, err
		}
		elements[i] = encoded
	}
	return json.Marshal(elements)
}

func encodeValue(descriptor protoreflect.FieldDescriptor, value protoreflect.Value) ([]byte, error) {
	switch descriptor.Kind() {
	case protoreflect.MessageKind:
		if !value.Message().IsValid() {
			return []byte("null"), nil
		}
		return new(Format).encode(value.Message())
	case protoreflect.BytesKind:
		return json.Marshal(hex.EncodeToString(value.Bytes()))
	}
	return json.Marshal(value.Interface())
}
