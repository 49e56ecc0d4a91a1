package manifest

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

const allKinds = `[Team everest]
Weight = 2
Disabled = true

[Class quick]
Tier = 1
FirstTokenTarget = 780ms
GuaranteedShare = 0.25
MaxWait = 1m30s

[Backend big]
Type = Service
RepeatableMethods = GET,HEAD
MaxEndpoints = 9

[Route chat]
Backend = big
Classes = quick,slow
Teams = everest

[Key k1]
Team = everest
Hash = 00ff

`

func entities(items []Item) []*operatorv1.Entity {
	all := make([]*operatorv1.Entity, len(items))
	for i, item := range items {
		all[i] = item.Entity
	}
	return all
}

func TestWriteIsTheInverseOfRead(t *testing.T) {
	items, err := Read("fleet.ini", []byte(allKinds))
	if err != nil {
		t.Fatal(err)
	}
	if text := Write(entities(items)); text != allKinds {
		t.Errorf("Write() differs from the text that was read:\n%s", text)
	}
}

// FuzzRead checks that Read reports bad input as ini.Problems without crashing,
// and that accepted entities survive a Write and a second Read.
func FuzzRead(f *testing.F) {
	f.Add(allKinds)
	f.Add("[Team a]\nDelete = true\n")
	f.Add("[Class c]\nGuaranteedShare = NaN\n")
	f.Add("[Route r]\nTeams = ,a, ,b,\n")
	f.Add("[Team \"a\"]\nWeight = \"1\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		items, err := Read("fuzz.ini", []byte(text))
		if err != nil {
			var problems ini.Problems
			if !errors.As(err, &problems) {
				t.Errorf("Read() returned an error of type %T, want ini.Problems", err)
			}
			return
		}
		for _, item := range items {
			if !hasValidText(item.Entity) {
				return
			}
		}
		written := Write(entities(items))
		again, err := Read("again.ini", []byte(written))
		if err != nil {
			t.Fatalf("Read() of the written text failed: %v\n%s", err, written)
		}
		if len(again) != len(items) {
			t.Fatalf("%d entities were written, %d read back:\n%s", len(items), len(again), written)
		}
		for _, item := range again {
			if !containsItem(items, item) {
				t.Errorf("%s %s was read back but not written as such:\n%s", item.Kind, item.Name, written)
			}
		}
	})
}

// hasValidText reports whether the server accepts all strings of the entity.
func hasValidText(wanted *operatorv1.Entity) bool {
	_, _, message := Unwrap(wanted)
	valid := true
	message.ProtoReflect().Range(func(descriptor protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case descriptor.IsList():
			for i := range value.List().Len() {
				valid = valid && entity.ValidText(value.List().Get(i).String())
			}
		case descriptor.Kind() == protoreflect.StringKind:
			valid = valid && entity.ValidText(value.String())
		}
		return valid
	})
	return valid
}

func containsItem(items []Item, wanted Item) bool {
	for _, item := range items {
		if item.Kind == wanted.Kind && item.Name == wanted.Name && proto.Equal(item.Entity, wanted.Entity) {
			return true
		}
	}
	return false
}
