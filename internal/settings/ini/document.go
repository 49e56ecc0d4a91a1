package ini

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"

	goini "gopkg.in/ini.v1"
)

// maxFileBytes bounds the size of a file in INI form.
const maxFileBytes = 64 << 20

// noChildSections is a delimiter that no section name holds: a dot in a name
// must not make it inherit the keys of another section.
const noChildSections = "\x1f"

// Document is a file in INI form with the lines on which everything stands.
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

// Entry is one key of a section with its value, without surrounding quotes.
type Entry struct {
	Name  string
	Value string
	Line  int
}

// Problem is something wrong in a file. Line is 0 where no line is at fault.
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

// Problems is the error that lists everything wrong in a file at once.
type Problems []Problem

// Error implements error, with one problem a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// orNil returns p as an error, nil when there are none.
func (p Problems) orNil() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Parse reads a document. The error is a Problems that lists every line that
// is not a comment, a section or "Name = value", and every name that is given
// twice.
func Parse(path string, data []byte) (Document, error) {
	doc := Document{Path: path}
	if len(data) > maxFileBytes {
		return doc, Problems{{Path: path, Message: fmt.Sprintf("the file is larger than %d bytes", maxFileBytes)}}
	}
	problems := doc.index(data)
	if len(problems) > 0 {
		return doc, problems
	}
	if err := doc.readValues(data); err != nil {
		return doc, Problems{{Path: path, Message: err.Error()}}
	}
	return doc, nil
}

// index records the lines of all sections and entries.
func (d *Document) index(data []byte) (problems Problems) {
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

// indexLine returns what is wrong with the line, or nothing.
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
		return fmt.Sprintf("section name %q must not be empty, hold brackets, or start or end with a space", name)
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
		return fmt.Sprintf("name %q must hold only letters, digits, dots and underscores", name)
	case len(d.Sections) == 0:
		return fmt.Sprintf("%s must stand below a [Section]", name)
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

// checkQuotes refuses values that would go on over several lines.
func checkQuotes(name, value string) string {
	if value == "" {
		return ""
	}
	quote := value[0]
	switch {
	case strings.HasPrefix(value, `"""`) || quote == '`':
		return fmt.Sprintf("the value of %s must stand on one line, in plain double quotes or none", name)
	case quote == '"' && (len(value) < 2 || value[len(value)-1] != '"'):
		return fmt.Sprintf("the value of %s lacks its closing quote", name)
	}
	return ""
}

// readValues lets the library read the values of the indexed entries.
func (d *Document) readValues(data []byte) error {
	file, err := goini.LoadSources(goini.LoadOptions{
		IgnoreInlineComment:   true,
		IgnoreContinuation:    true,
		KeyValueDelimiters:    "=",
		ChildSectionDelimiter: noChildSections,
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
