package review

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/banyanshift/banyanshift/internal/config/document"
)

// Change is a difference of an entry from the version in force.
type Change struct {
	Entry string
	// What says how the entry differs. Keys are not shown.
	What string
}

// Diff returns what differs in a document from the version in force: removed, added and changed
// entries, each kind in the order of the documents.
func Diff(inForce, doc document.Document) (changes []Change) {
	if doc.Version <= inForce.Version {
		changes = append(changes, Change{Entry: "version", What: fmt.Sprintf("%d is not newer than %d in force, so it has no effect", doc.Version, inForce.Version)})
	}
	changes = append(changes, diffFields("limits", inForce.Limits, doc.Limits)...)
	changes = append(changes, diffEntries("route ", inForce.Routes, doc.Routes, func(r document.Route) string { return r.Name })...)
	changes = append(changes, diffEntries("back end ", inForce.Backends, doc.Backends, func(b document.Backend) string { return b.Name })...)
	return append(changes, diffTeams(inForce.Teams, doc.Teams)...)
}

// diffEntries compares the entries of a list, which nameOf names.
func diffEntries[T any](kind string, before, after []T, nameOf func(T) string) (changes []Change) {
	held := make(map[string]T, len(before))
	for _, entry := range before {
		held[nameOf(entry)] = entry
	}
	listed := make(map[string]bool, len(after))
	for _, entry := range after {
		name := nameOf(entry)
		listed[name] = true
		old, known := held[name]
		if !known {
			changes = append(changes, Change{Entry: kind + name, What: "added"})
			continue
		}
		changes = append(changes, diffFields(kind+name, old, entry)...)
	}
	for _, entry := range before {
		if name := nameOf(entry); !listed[name] {
			changes = append(changes, Change{Entry: kind + name, What: "removed"})
		}
	}
	return changes
}

// diffFields compares the fields of two values of a struct type.
func diffFields(entry string, before, after any) (changes []Change) {
	old, changed := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		from, to := old.Field(i).Interface(), changed.Field(i).Interface()
		if !reflect.DeepEqual(from, to) {
			changes = append(changes, Change{Entry: entry, What: fmt.Sprintf("%s: %s, was %s", old.Type().Field(i).Name, show(to), show(from))})
		}
	}
	return changes
}

// show returns a field value as text, with the target of a pointer.
func show(value any) string {
	v := reflect.ValueOf(value)
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		value = v.Elem().Interface()
	}
	return strings.TrimSpace(fmt.Sprintf("%+v", value))
}

// diffTeams compares teams. Of their keys it shows how many there are, since they are secret.
func diffTeams(before, after []document.Team) []Change {
	withoutKeys := func(teams []document.Team) (shown []document.Team) {
		for _, team := range teams {
			team.Keys = nil
			shown = append(shown, team)
		}
		return shown
	}
	changes := diffEntries("team ", withoutKeys(before), withoutKeys(after), func(t document.Team) string { return t.Name })
	held := make(map[string][]string, len(before))
	for _, team := range before {
		held[team.Name] = team.Keys
	}
	for _, team := range after {
		old, known := held[team.Name]
		if !known {
			continue
		}
		added, withdrawn := missingIn(old, team.Keys), missingIn(team.Keys, old)
		if added+withdrawn > 0 {
			changes = append(changes, Change{Entry: "team " + team.Name, What: fmt.Sprintf("%d keys added, %d withdrawn", added, withdrawn)})
		}
	}
	return changes
}

// missingIn counts the keys that a list lacks.
func missingIn(list, keys []string) (missing int) {
	for _, key := range keys {
		if !slices.Contains(list, key) {
			missing++
		}
	}
	return missing
}
