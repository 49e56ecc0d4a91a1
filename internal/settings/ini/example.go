package ini

import (
	"fmt"
	"strings"
)

// commentWidth is the maximum length of a comment line in the example.
const commentWidth = 78

// Example returns a settings file that explains every setting. It is ready for
// use once the required settings are changed.
func Example() string {
	var out strings.Builder
	out.WriteString("# Settings of a banyanshift daemon. Settings that are commented out show their\n")
	out.WriteString("# default, or an example if they have none. Durations need a unit (ms, s, m, h),\n")
	out.WriteString("# and so do sizes (B, KiB, MiB, GiB).\n")
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
	writeComment(out, f.Help+f.rangeSentence())
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

// rangeSentence returns a sentence with the allowed values of the field, or "" if
// its type has no range.
func (f Field) rangeSentence() string {
	switch f.Type {
	case Choice:
		return " One of " + strings.Join(f.Choices, ", ") + "."
	case Duration, Size, Count:
		return fmt.Sprintf(" From %s to %s.", f.formatNumber(f.Min), f.formatNumber(f.Max))
	default:
		return ""
	}
}

// writeComment writes text as a comment, wrapped at commentWidth.
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
