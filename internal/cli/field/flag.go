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
	// Name is the name of the flag, without dashes.
	Name string
	// Field is the name of the field.
	Field string
	// Default is the value for a new entity, as text; empty means the zero
	// value.
	Default string
	// Required means that the flag must be given for a new entity.
	Required bool
	Usage    string
}

// Flags are the flags of a command that set the fields of a message.
type Flags struct {
	set    *pflag.FlagSet
	flags  []Flag
	values []*flagValue
}

// flagValue is the value of a flag, as text that its field accepts.
type flagValue struct {
	message  proto.Message
	field    string
	typeName string
	text     string
	given    bool
}

// String implements pflag.Value.
func (v *flagValue) String() string { return v.text }

// Type implements pflag.Value. The help shows it.
func (v *flagValue) Type() string { return v.typeName }

// Set implements pflag.Value. A repeated flag of a list appends to the list.
func (v *flagValue) Set(text string) error {
	if v.typeName == "list" && v.given {
		text = v.text + listSeparator + text
	}
	if err := Set(proto.Clone(v.message), v.field, text); err != nil {
		return err
	}
	v.text, v.given = text, true
	return nil
}

// AddForEdit adds the flags without defaults and without required flags, for a
// command that edits an entity: fields whose flags are not given stay unchanged.
func AddForEdit(set *pflag.FlagSet, message proto.Message, flags []Flag) *Flags {
	withoutDefaults := make([]Flag, len(flags))
	for i, flag := range flags {
		withoutDefaults[i] = Flag{Name: flag.Name, Field: flag.Field, Usage: flag.Usage}
	}
	return Add(set, message, withoutDefaults)
}

// Add adds the flags to the set. The message determines the types of the fields.
// Add panics if the message has no field for a flag.
func Add(set *pflag.FlagSet, message proto.Message, flags []Flag) *Flags {
	added := &Flags{set: set, flags: flags}
	for _, flag := range flags {
		descriptor, err := Find(message, flag.Field)
		if err != nil {
			panic("field: " + err.Error())
		}
		value := &flagValue{message: message, field: flag.Field, typeName: typeName(descriptor), text: flag.Default}
		added.values = append(added.values, value)
		set.Var(value, flag.Name, flag.Usage)
		if value.typeName == "bool" {
			set.Lookup(flag.Name).NoOptDefVal = "true"
		}
	}
	return added
}

func typeName(descriptor protoreflect.FieldDescriptor) string {
	name := string(descriptor.Name())
	switch {
	case descriptor.IsList():
		return "list"
	case strings.HasSuffix(name, timestampSuffix):
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

// SetAll sets the fields of a new entity from flags and defaults.
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

// SetGiven sets the fields whose flags were given. If none was given, it returns
// a usage error, unless hasOtherChanges is set because the command changes
// something else.
func (f *Flags) SetGiven(message proto.Message, hasOtherChanges bool) error {
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
	if given == 0 && !hasOtherChanges {
		return exit.Usagef("nothing to change: give at least one flag")
	}
	return nil
}
