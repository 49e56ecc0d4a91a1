// Package manifest reads and writes INI files that describe configuration
// entities: teams, classes, back ends, routes and keys.
//
// Each entity is a section whose heading holds its kind and name, such as
// [Team everest]. Field names match the protobuf schema, except that durations
// have a unit in place of the suffix Millis. List elements are separated by
// commas. Omitted fields have their zero value. "Delete = true" deletes the
// entity.
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

// Entries that are handled separately from ordinary fields.
const (
	deleteEntry   = "Delete"
	revisionEntry = "Revision"
)

// Item is one entity read from a file.
type Item struct {
	Kind   string
	Name   string
	Line   int
	Entity *operatorv1.Entity
	// Delete requests that the entity be deleted.
	Delete bool
}

// Kinds lists the entity kinds in the order in which they are written. A kind
// comes before the kinds that refer to it.
var Kinds = []string{"Team", "Class", "Backend", "Route", "Key"}

// New returns an empty entity of the given kind and the message that it wraps.
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
	return nil, nil, fmt.Errorf("unknown kind %q: must be one of %s", kind, strings.Join(Kinds, ", "))
}

// Unwrap returns the kind and name of an entity and the message that it wraps.
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

// Read parses a file. On failure it returns an ini.Problems that lists every
// problem found.
func Read(path string, data []byte) ([]Item, error) {
	doc, err := ini.Parse(path, data)
	if err != nil {
		return nil, err
	}
	r := reader{path: path}
	for _, section := range doc.Sections {
		r.readSection(section)
	}
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return r.items, nil
}

// reader collects the items and problems found in a file.
type reader struct {
	path     string
	items    []Item
	problems ini.Problems
}

func (r *reader) addProblem(line int, format string, args ...any) {
	r.problems = append(r.problems, ini.Problem{Path: r.path, Line: line, Message: fmt.Sprintf(format, args...)})
}

func (r *reader) readSection(section ini.Section) {
	kind, name, _ := strings.Cut(section.Name, " ")
	entity, message, err := New(kind)
	switch {
	case err != nil:
		r.addProblem(section.Line, "[%s]: %v", section.Name, err)
		return
	case name == "":
		r.addProblem(section.Line, "[%s] must be followed by a name, as in [%s everest]", kind, kind)
		return
	}
	item := Item{Kind: kind, Name: name, Line: section.Line, Entity: entity}
	if err := field.Set(message, nameField(kind), name); err != nil {
		r.addProblem(section.Line, "%v", err)
	}
	for _, entry := range section.Entries {
		r.readEntry(&item, message, entry)
	}
	r.items = append(r.items, item)
}

func (r *reader) readEntry(item *Item, message proto.Message, entry ini.Entry) {
	switch {
	case entry.Name == deleteEntry:
		item.Delete = entry.Value == "true"
		if entry.Value != "true" && entry.Value != "false" {
			r.addProblem(entry.Line, "Delete is %q: must be true or false", entry.Value)
		}
		return
	case entry.Name == nameField(item.Kind), entry.Name == revisionEntry:
		r.addProblem(entry.Line, "%s cannot be set here", entry.Name)
		return
	}
	err := field.Set(message, entry.Name, entry.Value)
	switch {
	case errors.Is(err, field.ErrUnknownField):
		r.addProblem(entry.Line, "%s: %v", item.Kind, err)
	case err != nil:
		r.addProblem(entry.Line, "%s is %q: %v", entry.Name, entry.Value, err)
	}
}

func nameField(kind string) string {
	if kind == "Key" {
		return "ID"
	}
	return "Name"
}

// Write formats entities as a file that Read accepts. Fields with a zero value
// are omitted.
func Write(entities []*operatorv1.Entity) string {
	var out strings.Builder
	for _, kind := range Kinds {
		var sections []string
		for _, entity := range entities {
			if found, name, message := Unwrap(entity); found == kind {
				sections = append(sections, formatSection(kind, name, message))
			}
		}
		sort.Strings(sections)
		out.WriteString(strings.Join(sections, ""))
	}
	return out.String()
}

func formatSection(kind, name string, message proto.Message) string {
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
