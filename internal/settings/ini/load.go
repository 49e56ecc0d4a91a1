package ini

import (
	"encoding/hex"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Default returns the default settings. Required settings are empty.
func Default() Settings {
	settings := Settings{Operator: Operator{Tokens: map[string]string{}}}
	for _, field := range Fields() {
		if field.Default == "" {
			continue
		}
		if err := field.set(&settings, field.Default); err != nil {
			panic(fmt.Sprintf("ini: default of %s.%s is invalid: %v", field.Section, field.Name, err))
		}
	}
	return settings
}

// Load reads and checks a settings file and the certificate files that it names.
// The error is a Problems that lists all problems.
func Load(path string) (Settings, error) {
	settings, _, err := load(path)
	return settings, err
}

// LoadAndCheckAddresses is like Load and also reports addresses that cannot be
// listened on, for example because they are in use.
func LoadAndCheckAddresses(path string) (Settings, error) {
	settings, lines, err := load(path)
	if err != nil {
		return settings, err
	}
	check := checker{path: path, settings: &settings, lines: lines}
	check.checkListenable()
	return settings, check.problems.asError()
}

func load(path string) (Settings, lineIndex, error) {
	doc, err := ReadDocument(path)
	if err != nil {
		return Settings{}, nil, err
	}
	return Decode(doc)
}

// ReadDocument reads and parses a file without checking its sections and fields.
func ReadDocument(path string) (Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Document{}, Problems{{Path: path, Message: "the settings file cannot be read: " + err.Error()}}
	}
	return Parse(path, data)
}

// lineIndex maps "Section.Name" to the line number of the entry.
type lineIndex map[string]int

// decoder converts a document to settings and collects the problems.
type decoder struct {
	doc      Document
	fields   []Field
	settings Settings
	lines    lineIndex
	problems Problems
}

// Decode converts a document to settings and checks them. The returned map has the
// line number of each "Section.Name".
func Decode(doc Document) (Settings, map[string]int, error) {
	d := decoder{doc: doc, fields: Fields(), settings: Default(), lines: lineIndex{}}
	for _, section := range doc.Sections {
		d.decodeSection(section)
	}
	d.checkRequired()
	check := checker{path: doc.Path, settings: &d.settings, lines: d.lines}
	check.checkSettings()
	problems := slices.Concat(d.problems, check.problems)
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return d.settings, d.lines, problems.asError()
}

func (d *decoder) decodeSection(section Section) {
	if section.Name == tokensSection {
		d.decodeTokens(section)
		return
	}
	names := fieldNames(d.fields, section.Name)
	if len(names) == 0 {
		d.report(section.Line, "there is no section [%s]; %s", section.Name, suggest(section.Name, sectionNames()))
		return
	}
	for _, entry := range section.Entries {
		d.decodeEntry(section.Name, entry, names)
	}
}

func (d *decoder) decodeEntry(section string, entry Entry, names []string) {
	d.lines[section+"."+entry.Name] = entry.Line
	for _, field := range d.fields {
		if field.Section != section || field.Name != entry.Name {
			continue
		}
		if err := field.set(&d.settings, entry.Value); err != nil {
			d.report(entry.Line, "%s.%s is %q: %v", section, entry.Name, entry.Value, err)
		}
		return
	}
	d.report(entry.Line, "section [%s] has no %s; %s", section, entry.Name, suggest(entry.Name, names))
}

func (d *decoder) decodeTokens(section Section) {
	for _, entry := range section.Entries {
		digest, err := hex.DecodeString(entry.Value)
		if err != nil || len(digest) != 32 {
			d.report(entry.Line, "%s.%s must be a SHA-256 digest of 64 hex digits, not the token itself", tokensSection, entry.Name)
			continue
		}
		d.settings.Operator.Tokens[entry.Name] = strings.ToLower(entry.Value)
	}
}

func (d *decoder) checkRequired() {
	for _, field := range d.fields {
		if !field.Required || d.lines[field.Section+"."+field.Name] != 0 {
			continue
		}
		d.report(0, "%s.%s is missing; add for example %q to section [%s]", field.Section, field.Name, field.Name+" = "+field.Example, field.Section)
	}
}

func (d *decoder) report(line int, format string, args ...any) {
	d.problems = append(d.problems, Problem{Path: d.doc.Path, Line: line, Message: fmt.Sprintf(format, args...)})
}

func sectionNames() []string {
	names := make([]string, len(sections))
	for i, section := range sections {
		names[i] = section.name
	}
	return names
}

func fieldNames(fields []Field, section string) []string {
	var names []string
	for _, field := range fields {
		if field.Section == section {
			names = append(names, field.Name)
		}
	}
	return names
}

// suggest returns the candidate that differs from name only in case and
// underscores or, if there is none, all candidates.
func suggest(name string, candidates []string) string {
	for _, candidate := range candidates {
		if strings.EqualFold(candidate, strings.ReplaceAll(name, "_", "")) {
			return "did you mean " + candidate + "?"
		}
	}
	return "valid names are " + strings.Join(candidates, ", ")
}
