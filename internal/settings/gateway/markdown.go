package gateway

import (
	"strings"

	"github.com/banyanshift/banyanshift/internal/settings/ini"
)

// Markdown returns docs/GATEWAY-SETTINGS.md.
func Markdown() string {
	var out strings.Builder
	out.WriteString(`# Settings of a gateway

The settings of ` + "`banyangateway`" + ` stand in one file in INI form, written as those of
the daemon ([SETTINGS.md](SETTINGS.md)). On the users' platform the template
` + "`deploy/gateway.ini`" + ` is filled with them. A setting without a value keeps its
default; all problems are listed at once.

This page is written by ` + "`make docs`" + `.
`)
	section := ""
	for _, f := range fields {
		if f.Section != section {
			section = f.Section
			out.WriteString("\n## " + section + "\n" + ini.MarkdownTableHeader)
		}
		out.WriteString(f.MarkdownRow())
	}
	return out.String()
}
