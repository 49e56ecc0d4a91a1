// Package output prints command results: aligned tables with headings on a
// terminal, tab-separated rows without headings otherwise, or JSON on request.
//
// # Usage
//
//	opts.Format.AddFlag(cmd, &operatorv1.Team{})
//	...
//	return output.List(opts.IO, &opts.Format, teams, []string{"Name", "Weight"})
package output

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"

	"google.golang.org/protobuf/proto"

	"github.com/banyanshift/banyanshift/internal/cli/field"
	"github.com/banyanshift/banyanshift/internal/cli/streams"
)

// columnPadding is the number of spaces between table columns.
const columnPadding = 2

// List prints one row per message, with the named fields as columns.
func List(io *streams.Streams, format *Format, messages []proto.Message, columns []string) error {
	if format.JSON {
		return listJSON(io, format, messages)
	}
	rows := make([][]string, len(messages))
	for i, message := range messages {
		rows[i] = make([]string, len(columns))
		for j, column := range columns {
			rows[i][j] = field.Text(message, column)
		}
	}
	return Table(io, columns, rows)
}

func listJSON(io *streams.Streams, format *Format, messages []proto.Message) error {
	elements := make([]json.RawMessage, len(messages))
	for i, message := range messages {
		encoded, err := format.encode(message.ProtoReflect())
		if err != nil {
			return err
		}
		elements[i] = encoded
	}
	encoded, err := json.Marshal(elements)
	if err != nil {
		return err
	}
	return writeJSON(io, encoded)
}

// View prints one message with one line per field.
func View(io *streams.Streams, format *Format, message proto.Message) error {
	if format.JSON {
		encoded, err := format.encode(message.ProtoReflect())
		if err != nil {
			return err
		}
		return writeJSON(io, encoded)
	}
	var rows [][]string
	for _, name := range field.Names(message.ProtoReflect().Descriptor()) {
		rows = append(rows, []string{name, field.Text(message, name)})
	}
	return Table(io, nil, rows)
}

func writeJSON(io *streams.Streams, encoded []byte) error {
	if !io.OutIsTerminal {
		_, err := fmt.Fprintf(io.Out, "%s\n", encoded)
		return err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, encoded, "", "  "); err != nil {
		return err
	}
	_, err := fmt.Fprintf(io.Out, "%s\n", indented.Bytes())
	return err
}

// Table prints rows. On a terminal they follow headings derived from the column
// names.
func Table(io *streams.Streams, columns []string, rows [][]string) error {
	if !io.OutIsTerminal {
		return writeTabSeparated(io.Out, rows)
	}
	writer := tabwriter.NewWriter(io.Out, 0, 0, columnPadding, ' ', 0)
	if len(columns) > 0 {
		headings := make([]string, len(columns))
		for i, column := range columns {
			headings[i] = heading(column)
		}
		rows = append([][]string{headings}, rows...)
	}
	if err := writeTabSeparated(writer, rows); err != nil {
		return err
	}
	return writer.Flush()
}

func writeTabSeparated(out io.Writer, rows [][]string) error {
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = strings.Map(printable, cell)
		}
		if _, err := fmt.Fprintln(out, strings.Join(cells, "\t")); err != nil {
			return err
		}
	}
	return nil
}

// printable replaces control characters, which could break a row or control the
// terminal.
func printable(char rune) rune {
	if unicode.IsControl(char) {
		return ' '
	}
	return char
}

// heading converts a field name such as "FirstTokenTarget" to "FIRST TOKEN
// TARGET".
func heading(column string) string {
	var words strings.Builder
	previous := ' '
	for i, char := range column {
		if i > 0 && unicode.IsUpper(char) && unicode.IsLower(previous) {
			words.WriteByte(' ')
		}
		words.WriteRune(unicode.ToUpper(char))
		previous = char
	}
	return words.String()
}
