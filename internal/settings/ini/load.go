package ini

import (
	"encoding/hex"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Default returns the settings that are in force where a file says nothing.
// The required ones are empty.
func Default() Settings {
	settings := Settings{Operator: Operator{Tokens: map[string]string{}}}
	for _, field := range Fields() {
		if field.Default == "" {
			continue
		}
		if err := field.set(&settings, field.Default); err != nil {
			panic(fmt.Sprintf("ini: default of %s.%s %v", field.Section, field.Name, err))
		}
	}
	return settings
}

// Load reads and checks a settings file, with the certificates that it names.
// The error is a Problems that lists everything that is wrong.
func Load(path string) (Settings, error) {
	settings, _, err := load(path)
	return settings, err
}

// LoadAndCheckAddresses is Load for a daemon that is about to listen: it also reports
// addresses that cannot be listened on.
func LoadAndCheckAddresses(path string) (Settings, error) {
	settings, lines, err := load(path)
	if err != nil {
		return settings, err
	}
	check := checker{path: path, settings: &settings, lines: lines}
	check.ports()
	return settings, check.problems.orNil()
}

func load(path string) (Settings, lineIndex, error) {
	doc, err := ReadDocument(path)
	if err != nil {
		return Settings{}, nil, err
	}
	return Decode(doc)
}

// ReadDocument reads and parses a settings file, whatever its fields are.
func ReadDocument(path string) (Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Document{}, Problems{{Path: path, Message: "the settings file cannot be read: " + err.Error()}}
	}
	return Parse(path, data)
}

// lineIndex maps "Section.Name" to the line of the entry.
type lineIndex map[string]int

// decoder fills settings from a document.
type decoder struct {
	doc      Document
	fields   []Field
	settings Settings
	lines    lineIndex
	problems Problems
}

// Decode turns a document into checked settings. The returned index gives the
// line of each "Section.Name".
func Decode(doc Document) (Settings, map[string]int, error) {
	d := decoder{doc: doc, fields: Fields(), settings: Default(), lines: lineIndex{}}
	for _, section := range doc.Sections {
		d.section(section)
	}
	d.required()
	check := checker{path: doc.Path, settings: &d.settings, lines: d.lines}
	check.all()
	problems := slices.Concat(d.problems, check.problems)
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return d.settings, d.lines, problems.orNil()
}

func (d *decoder) section(section Section) {
	if section.Name == tokensSection {
		d.tokens(section)
		return
	}
	names := fieldNames(d.fields, section.Name)
	if len(names) == 0 {
		d.report(section.Line, "there is no section [%s]; %s", section.Name, suggest(section.Name, sectionNames()))
		return
	}
	for _, entry := range section.Entries {
		d.entry(section.Name, entry, names)
	}
}

func (d *decoder) entry(section string, entry Entry, names []string) {
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

func (d *decoder) tokens(section Section) {
	for _, entry := range section.Entries {
		digest, err := hex.DecodeString(entry.Value)
		if err != nil || len(digest) != 32 {
			d.report(entry.Line, "%s.%s must be a SHA-256 digest of 64 hex digits, not the token itself", tokensSection, entry.Name)
			continue
		}
		d.settings.Operator.Tokens[entry.Name] = strings.ToLower(entry.Value)
	}
}

func (d *decoder) required() {
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

// suggest names the candidate that differs only in case, or all of them.
func suggest(name string, candidates []string) string {
	for _, candidate := range candidates {
		if strings.EqualFold(candidate, strings.ReplaceAll(name, "_", "")) {
			return "did you mean " + candidate + "?"
		}
	}
	return "there are " + strings.Join(candidates, ", ")
}
