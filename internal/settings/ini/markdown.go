package ini

import (
	"fmt"
	"strings"
)

// Markdown returns docs/SETTINGS.md.
func Markdown() string {
	var out strings.Builder
	out.WriteString(`# Settings

The settings of a daemon stand in one file in INI form. Section and field names
are written as below; an unknown name, a wrong unit or a value out of range is
refused at start with its line and what would be right. All problems are listed
at once. Values stand on one line, in double quotes or none, and a comment has a
line of its own that starts with # or ;.

Durations have a unit (` + "`250ms`, `5s`, `1m30s`" + `), sizes too (` + "`512B`, `64KiB`, `4MiB`,\n`1GiB`" + `). Addresses are IP numbers with a port; port 0 takes a free one.

` + "`banyanshift config example`" + ` prints a file in which everything is explained, and
` + "`banyanshift config check FILE`" + ` checks one.

This page is written by ` + "`make docs`" + `.
`)
	for _, section := range sections {
		fmt.Fprintf(&out, "\n## %s\n\n%s\n", section.name, section.help)
		if section.name != tokensSection {
			writeFieldTable(&out, section.name)
		}
	}
	return out.String()
}

// MarkdownTableHeader begins a table of settings, with an empty line before it.
const MarkdownTableHeader = "\n| Name | Type | Default | Range | Meaning |\n| --- | --- | --- | --- | --- |\n"

func writeFieldTable(out *strings.Builder, section string) {
	out.WriteString(MarkdownTableHeader)
	for _, field := range Fields() {
		if field.Section != section {
			continue
		}
		out.WriteString(field.MarkdownRow())
	}
}

// MarkdownRow returns the line of the field in a table of settings.
func (f Field) MarkdownRow() string {
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s |\n", f.Name, f.Type, f.defaultText(), f.rangeText(), f.Help)
}

func (f Field) defaultText() string {
	switch {
	case f.Required:
		return "required"
	case f.Default == "":
		return "none"
	}
	return "`" + f.Default + "`"
}

func (f Field) rangeText() string {
	switch f.Type {
	case Choice:
		return strings.Join(f.Choices, ", ")
	case Duration, Size, Count:
		return fmt.Sprintf("%s to %s", f.format(f.Min), f.format(f.Max))
	}
	return ""
}
