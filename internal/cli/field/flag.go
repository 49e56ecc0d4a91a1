package field

import (
	"strings"

	"github.com/spf13/pflag"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/banyanshift/banyanshift/internal/cli/exit"
)

// Flag describes a flag that sets a field of a message.
type Flag struct {
	// Name of the flag, without dashes.
	Name string
	// Field is the name of the field.
	Field string
	// Default is the value for a new entity, as text; empty for the zero
	// value.
	Default string
	// Required flags must be given for a new entity.
	Required bool
	Usage    string
}

// Flags are flags that have been added to a command.
type Flags struct {
	set    *pflag.FlagSet
	flags  []Flag
	values []*flagValue
}

// flagValue holds the text of a flag after checking it against its field.
type flagValue struct {
	message proto.Message
	field   string
	kind    string
	text    string
	given   bool
}

// String implements pflag.Value.
func (v *flagValue) String() string { return v.text }

// Type implements pflag.Value. It is shown in the help.
func (v *flagValue) Type() string { return v.kind }

// Set implements pflag.Value. A list grows when its flag is repeated.
func (v *flagValue) Set(text string) error {
	if v.kind == "list" && v.given {
		text = v.text + listSeparator + text
	}
	if err := Set(proto.Clone(v.message), v.field, text); err != nil {
		return err
	}
	v.text, v.given = text, true
	return nil
}

// AddForEdit is Add for a command that edits: what no flag names stays.
func AddForEdit(set *pflag.FlagSet, message proto.Message, flags []Flag) *Flags {
	plain := make([]Flag, len(flags))
	for i, flag := range flags {
		plain[i] = Flag{Name: flag.Name, Field: flag.Field, Usage: flag.Usage}
	}
	return Add(set, message, plain)
}

// Add adds the flags to the set. The message says which type each field has.
func Add(set *pflag.FlagSet, message proto.Message, flags []Flag) *Flags {
	added := &Flags{set: set, flags: flags}
	for _, flag := range flags {
		descriptor, err := Find(message, flag.Field)
		if err != nil {
			panic("field: " + err.Error())
		}
		value := &flagValue{message: message, field: flag.Field, kind: kindName(descriptor), text: flag.Default}
		added.values = append(added.values, value)
		set.Var(value, flag.Name, flag.Usage)
		if value.kind == "bool" {
			set.Lookup(flag.Name).NoOptDefVal = "true"
		}
	}
	return added
}

func kindName(descriptor protoreflect.FieldDescriptor) string {
	name := string(descriptor.Name())
	switch {
	case descriptor.IsList():
		return "list"
	case strings.HasSuffix(name, instantSuffix):
		return "time"
	case strings.HasSuffix(name, durationSuffix):
		return "duration"
	case descriptor.Kind() == protoreflect.DoubleKind:
		return "number"
	case descriptor.Kind() == protoreflect.Int32Kind, descriptor.Kind() == protoreflect.Int64Kind:
		return "int"
	}
	return descriptor.Kind().String()
}

// SetAll sets all fields of a new entity, from flags and defaults.
func (f *Flags) SetAll(message proto.Message) error {
	for i, flag := range f.flags {
		value := f.values[i]
		if flag.Required && !value.given {
			return exit.Usagef("--%s is missing: %s", flag.Name, flag.Usage)
		}
		if value.text == "" {
			continue
		}
		if err := Set(message, flag.Field, value.text); err != nil {
			return exit.Usagef("--%s %v", flag.Name, err)
		}
	}
	return nil
}

// SetGiven sets the fields whose flags were given. That none was given is an
// error, unless the command was told what to change in another way.
func (f *Flags) SetGiven(message proto.Message, otherwiseTold bool) error {
	given := 0
	for i, flag := range f.flags {
		if !f.values[i].given {
			continue
		}
		given++
		if err := Set(message, flag.Field, f.values[i].text); err != nil {
			return exit.Usagef("--%s %v", flag.Name, err)
		}
	}
	if given == 0 && !otherwiseTold {
		return exit.Usagef("nothing to change: give at least one flag")
	}
	return nil
}
