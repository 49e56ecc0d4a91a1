package ini

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"

	goini "gopkg.in/ini.v1"
)

// maxFileBytes is the maximum size of an INI file.
const maxFileBytes = 64 << 20

// childSectionDelimiter is a character that no section name contains. It replaces
// the library's default, the dot, with which section [a.b] would inherit the keys
// of section [a].
const childSectionDelimiter = "\x1f"

// Document is a parsed INI file with the line numbers of its sections and
// entries.
type Document struct {
	Path     string
	Sections []Section
}

// Section is one section of a Document.
type Section struct {
	Name    string
	Line    int
	Entries []Entry
}

// Entry is one name and value in a section. Value is without surrounding quotes.
type Entry struct {
	Name  string
	Value string
	Line  int
}

// Problem is one error in a file. Line is 0 if the error has no line.
type Problem struct {
	Path    string
	Line    int
	Message string
}

// String returns the problem as "path:line: message".
func (p Problem) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.Path, p.Message)
	}
	return fmt.Sprintf("%s:%d: %s", p.Path, p.Line, p.Message)
}

// Problems is an error that lists all problems of a file.
type Problems []Problem

// Error returns the problems, one on each line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// asError returns p as an error, or a nil error if p is empty.
func (p Problems) asError() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Parse parses an INI file. The error is a Problems that lists every line that is
// not a comment, a section or "Name = value", and every duplicate name.
func Parse(path string, data []byte) (Document, error) {
	doc := Document{Path: path}
	if len(data) > maxFileBytes {
		return doc, Problems{{Path: path, Message: fmt.Sprintf("the file is larger than %d bytes", maxFileBytes)}}
	}
	problems := doc.indexLines(data)
	if len(problems) > 0 {
		return doc, problems
	}
	if err := doc.readValues(data); err != nil {
		return doc, Problems{{Path: path, Message: err.Error()}}
	}
	return doc, nil
}

// indexLines records the line numbers of all sections and entries.
func (d *Document) indexLines(data []byte) (problems Problems) {
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, maxFileBytes+1)
	sections := map[string]int{}
	entries := map[string]int{}
	for line := 1; scanner.Scan(); line++ {
		message := d.indexLine(strings.TrimSpace(scanner.Text()), line, sections, entries)
		if message != "" {
			problems = append(problems, Problem{Path: d.Path, Line: line, Message: message})
		}
	}
	return problems
}

// indexLine records the line's section or entry. It returns a message if the line
// is invalid, and "" otherwise.
func (d *Document) indexLine(text string, line int, sections, entries map[string]int) string {
	switch {
	case text == "" || text[0] == '#' || text[0] == ';':
		return ""
	case text[0] == '[':
		clear(entries)
		return d.indexSection(text, line, sections)
	default:
		return d.indexEntry(text, line, entries)
	}
}

func (d *Document) indexSection(text string, line int, sections map[string]int) string {
	if !strings.HasSuffix(text, "]") {
		return fmt.Sprintf("section %q must end with ], with nothing after it", text)
	}
	name := text[1 : len(text)-1]
	if name == "" || name != strings.TrimSpace(name) || strings.ContainsAny(name, "[]\x1f") {
		return fmt.Sprintf("section name %q must not be empty, contain brackets, or start or end with a space", name)
	}
	d.Sections = append(d.Sections, Section{Name: name, Line: line})
	if first, taken := sections[name]; taken {
		return fmt.Sprintf("section [%s] is already on line %d", name, first)
	}
	sections[name] = line
	return ""
}

func (d *Document) indexEntry(text string, line int, entries map[string]int) string {
	name, value, found := strings.Cut(text, "=")
	name = strings.TrimSpace(name)
	switch {
	case !found || name == "":
		return fmt.Sprintf("%q must be a comment, a [Section] or Name = value", text)
	case strings.ContainsAny(name, "\"`-"):
		return fmt.Sprintf("name %q must contain only letters, digits, dots and underscores", name)
	case len(d.Sections) == 0:
		return fmt.Sprintf("%s must be below a [Section]", name)
	}
	if message := checkQuotes(name, strings.TrimSpace(value)); message != "" {
		return message
	}
	section := &d.Sections[len(d.Sections)-1]
	section.Entries = append(section.Entries, Entry{Name: name, Line: line})
	if first, taken := entries[name]; taken {
		return fmt.Sprintf("%s is already on line %d", name, first)
	}
	entries[name] = line
	return ""
}

// checkQuotes rejects values that the library would continue on the next lines.
func checkQuotes(name, value string) string {
	if value == "" {
		return ""
	}
	quote := value[0]
	switch {
	case strings.HasPrefix(value, `"""`) || quote == '`':
		return fmt.Sprintf("the value of %s must be on one line, in double quotes or unquoted", name)
	case quote == '"' && (len(value) < 2 || value[len(value)-1] != '"'):
		return fmt.Sprintf("the value of %s has no closing quote", name)
	}
	return ""
}

// readValues sets the values of the indexed entries, as the INI library parses
// them.
func (d *Document) readValues(data []byte) error {
	file, err := goini.LoadSources(goini.LoadOptions{
		IgnoreInlineComment:   true,
		IgnoreContinuation:    true,
		KeyValueDelimiters:    "=",
		ChildSectionDelimiter: childSectionDelimiter,
	}, data)
	if err != nil {
		return err
	}
	for i := range d.Sections {
		section, err := file.GetSection(d.Sections[i].Name)
		if err != nil {
			return err
		}
		for j := range d.Sections[i].Entries {
			entry := &d.Sections[i].Entries[j]
			key, err := section.GetKey(entry.Name)
			if err != nil {
				return err
			}
			entry.Value = key.Value()
		}
	}
	return nil
}
