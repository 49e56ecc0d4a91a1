// Package manifest reads and writes files with many entities, in INI form.
//
// Each entity is a section that names its kind and its name. Fields are named
// as in the schema, durations have a unit, elements of lists are separated by
// commas. Fields that are left out have their zero value. "Delete = true"
// deletes the entity.
//
// # Usage
//
//	items, err := manifest.Read("fleet.ini", data)
//	text := manifest.Write(exported)
package manifest

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/banyanshift/banyanshift/internal/cli/field"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// Names of entries with a meaning of their own.
const (
	deleteEntry   = "Delete"
	revisionEntry = "Revision"
)

// Item is one entity of a file.
type Item struct {
	Kind   string
	Name   string
	Line   int
	Entity *operatorv1.Entity
	// Delete says that the entity is to be deleted.
	Delete bool
}

// Kinds are the kinds of entity in the order in which they are written: what
// others refer to first.
var Kinds = []string{"Team", "Class", "Backend", "Route", "Key"}

// New returns an empty entity of the kind and the message within it.
func New(kind string) (*operatorv1.Entity, proto.Message, error) {
	switch kind {
	case "Team":
		message := &operatorv1.Team{}
		return &operatorv1.Entity{Value: &operatorv1.Entity_Team{Team: message}}, message, nil
	case "Class":
		message := &operatorv1.Class{}
		return &operatorv1.Entity{Value: &operatorv1.Entity_Class{Class: message}}, message, nil
	case "Backend":
		message := &operatorv1.Backend{}
		return &operatorv1.Entity{Value: &operatorv1.Entity_Backend{Backend: message}}, message, nil
	case "Route":
		message := &operatorv1.Route{}
		return &operatorv1.Entity{Value: &operatorv1.Entity_Route{Route: message}}, message, nil
	case "Key":
		message := &operatorv1.Key{}
		return &operatorv1.Entity{Value: &operatorv1.Entity_Key{Key: message}}, message, nil
	}
	return nil, nil, fmt.Errorf("there is no kind %q; there are %s", kind, strings.Join(Kinds, ", "))
}

// Unwrap returns the kind, the name and the message of an entity.
func Unwrap(entity *operatorv1.Entity) (kind, name string, message proto.Message) {
	switch value := entity.GetValue().(type) {
	case *operatorv1.Entity_Team:
		return "Team", value.Team.GetName(), value.Team
	case *operatorv1.Entity_Class:
		return "Class", value.Class.GetName(), value.Class
	case *operatorv1.Entity_Backend:
		return "Backend", value.Backend.GetName(), value.Backend
	case *operatorv1.Entity_Route:
		return "Route", value.Route.GetName(), value.Route
	case *operatorv1.Entity_Key:
		return "Key", value.Key.GetID(), value.Key
	}
	return "", "", nil
}

// Read parses a file. The error is an ini.Problems that lists everything that
// is wrong.
func Read(path string, data []byte) ([]Item, error) {
	doc, err := ini.Parse(path, data)
	if err != nil {
		return nil, err
	}
	r := reader{path: path}
	for _, section := range doc.Sections {
		r.section(section)
	}
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return r.items, nil
}

// reader collects the items and problems of a file.
type reader struct {
	path     string
	items    []Item
	problems ini.Problems
}

func (r *reader) report(line int, format string, args ...any) {
	r.problems = append(r.problems, ini.Problem{Path: r.path, Line: line, Message: fmt.Sprintf(format, args...)})
}

func (r *reader) section(section ini.Section) {
	kind, name, _ := strings.Cut(section.Name, " ")
	entity, message, err := New(kind)
	switch {
	case err != nil:
		r.report(section.Line, "[%s]: %v", section.Name, err)
		return
	case name == "":
		r.report(section.Line, "[%s] must be followed by a name, as in [%s everest]", kind, kind)
		return
	}
	item := Item{Kind: kind, Name: name, Line: section.Line, Entity: entity}
	if err := field.Set(message, nameField(kind), name); err != nil {
		r.report(section.Line, "%v", err)
	}
	for _, entry := range section.Entries {
		r.entry(&item, message, entry)
	}
	r.items = append(r.items, item)
}

func (r *reader) entry(item *Item, message proto.Message, entry ini.Entry) {
	switch {
	case entry.Name == deleteEntry:
		item.Delete = entry.Value == "true"
		if entry.Value != "true" && entry.Value != "false" {
			r.report(entry.Line, "Delete is %q: must be true or false", entry.Value)
		}
		return
	case entry.Name == nameField(item.Kind), entry.Name == revisionEntry:
		r.report(entry.Line, "%s cannot be set here", entry.Name)
		return
	}
	err := field.Set(message, entry.Name, entry.Value)
	switch {
	case errors.Is(err, field.ErrUnknownField):
		r.report(entry.Line, "%s: %v", item.Kind, err)
	case err != nil:
		r.report(entry.Line, "%s is %q: %v", entry.Name, entry.Value, err)
	}
}

func nameField(kind string) string {
	if kind == "Key" {
		return "ID"
	}
	return "Name"
}

// Write returns entities as a file that Read accepts. Fields with their zero
// value are left out.
func Write(entities []*operatorv1.Entity) string {
	var out strings.Builder
	for _, kind := range Kinds {
		var sections []string
		for _, entity := range entities {
			if found, name, message := Unwrap(entity); found == kind {
				sections = append(sections, section(kind, name, message))
			}
		}
		sort.Strings(sections)
		out.WriteString(strings.Join(sections, ""))
	}
	return out.String()
}

func section(kind, name string, message proto.Message) string {
	var out strings.Builder
	fmt.Fprintf(&out, "[%s %s]\n", kind, name)
	reflected := message.ProtoReflect()
	fields := reflected.Descriptor().Fields()
	for i := range fields.Len() {
		entry := field.Name(fields.Get(i))
		if entry == nameField(kind) || entry == revisionEntry || !reflected.Has(fields.Get(i)) {
			continue
		}
		fmt.Fprintf(&out, "%s = %s\n", entry, field.Text(message, entry))
	}
	out.WriteString("\n")
	return out.String()
}
