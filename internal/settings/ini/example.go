package ini

import (
	"fmt"
	"strings"
)

// commentWidth is the greatest length of a line of comment in the example.
const commentWidth = 78

// Example returns a settings file in which every setting is explained. It can
// be used as it is once the required settings have been changed.
func Example() string {
	var out strings.Builder
	out.WriteString("# Settings of a banyanshift daemon. Commented settings show their default or,\n")
	out.WriteString("# where there is none, an example. Durations have a unit (ms, s, m, h), sizes\n")
	out.WriteString("# too (B, KiB, MiB, GiB).\n")
	for _, section := range sections {
		out.WriteString("\n")
		writeComment(&out, section.help)
		fmt.Fprintf(&out, "[%s]\n", section.name)
		if section.name == tokensSection {
			out.WriteString("# alice = " + strings.Repeat("0123456789abcdef", 4) + "\n")
		}
		for _, field := range Fields() {
			if field.Section == section.name {
				field.writeExample(&out)
			}
		}
	}
	return out.String()
}

func (f Field) writeExample(out *strings.Builder) {
	out.WriteString("\n")
	writeComment(out, f.Help+f.hint())
	if f.Required {
		fmt.Fprintf(out, "%s = %s\n", f.Name, f.Example)
		return
	}
	value := f.Default
	if value == "" {
		value = f.Example
	}
	fmt.Fprintf(out, "# %s = %s\n", f.Name, value)
}

// hint returns the bounds of the field as a sentence.
func (f Field) hint() string {
	switch f.Type {
	case Choice:
		return " One of " + strings.Join(f.Choices, ", ") + "."
	case Duration, Size, Count:
		return fmt.Sprintf(" From %s to %s.", f.format(f.Min), f.format(f.Max))
	default:
		return ""
	}
}

func writeComment(out *strings.Builder, text string) {
	line := "#"
	for _, word := range strings.Fields(text) {
		if len(line)+1+len(word) > commentWidth {
			out.WriteString(line + "\n")
			line = "#"
		}
		line += " " + word
	}
	out.WriteString(line + "\n")
}
