// Package catalogue generates the pages that list all events and metrics of the
// daemon. A test checks that the pages in docs match the declarations.
//
// # Usage
//
// The program must import the packages whose events and metrics it lists:
//
//	fmt.Print(catalogue.Events())
//	fmt.Print(catalogue.Metrics())
package catalogue

import (
	"fmt"
	"strings"

	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

// blockSize is the number of event numbers in an area.
const blockSize = 100

// areas maps the first event number of each area to the area's name.
var areas = map[int]string{
	1000: "Daemon",
	1100: "Callers",
	1200: "Endpoints",
	1300: "Connections between daemons",
	1400: "Membership",
	1500: "Configuration",
	1600: "Scheduling",
	1700: "Usage",
	1800: "Endpoint orders and capacity",
	1900: "Claims",
	2000: "Platform",
	2100: "Operators",
	2200: "Settings",
}

// Area returns the name of the area of an event number, or "" if there is none.
func Area(number int) string {
	return areas[number-number%blockSize]
}

// Events returns the text of docs/EVENTS.md.
func Events() string {
	var out strings.Builder
	out.WriteString(`# Events

Every entry of the log carries the field ` + "`Event`" + ` with a number. Numbers keep
their meaning from version to version. No entry holds a key, a body or a prompt.

This page is written by ` + "`make docs`" + `.
`)
	area := ""
	for _, declared := range event.All() {
		if next := Area(declared.Number); next != area {
			area = next
			fmt.Fprintf(&out, "\n## %s\n\n| Number | Level | Message | Meaning |\n| --- | --- | --- | --- |\n", area)
		}
		fmt.Fprintf(&out, "| %d | %s | %s | %s |\n", declared.Number, declared.Level, escapeCell(declared.Message), escapeCell(declared.Help))
	}
	return out.String()
}

// Metrics returns the text of docs/METRICS.md.
func Metrics() string {
	var out strings.Builder
	out.WriteString(`# Metrics

When ` + "`Metrics.Listen`" + ` is set, the daemon answers ` + "`GET /debug/vars`" + ` there with one
JSON object. Beside the variables below it holds ` + "`memstats` and `cmdline`" + `, which the
Go runtime adds. Counters grow from the start of the process.

This page is written by ` + "`make docs`" + `.

| Name | Meaning |
| --- | --- |
`)
	for _, declared := range metric.All() {
		fmt.Fprintf(&out, "| `%s` | %s |\n", declared.Name, escapeCell(declared.Help))
	}
	return out.String()
}

// escapeCell replaces characters that would break a Markdown table row.
func escapeCell(text string) string {
	return strings.ReplaceAll(strings.ReplaceAll(text, "\n", " "), "|", "\\|")
}
