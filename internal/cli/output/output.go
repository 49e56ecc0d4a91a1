// Package output prints the results of commands: aligned tables with headings
// on a terminal, rows separated by tabs in a pipe, JSON on request.
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

// columnPadding is the space between the columns of a table.
const columnPadding = 2

// List prints messages, one a row, with the named fields as columns.
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

// View prints one message, a field a line.
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

// Table prints rows. The headings, made from the names of the columns, appear
// on a terminal only.
func Table(io *streams.Streams, columns []string, rows [][]string) error {
	if !io.OutIsTerminal {
		return writeTabs(io.Out, rows)
	}
	writer := tabwriter.NewWriter(io.Out, 0, 0, columnPadding, ' ', 0)
	if len(columns) > 0 {
		headings := make([]string, len(columns))
		for i, column := range columns {
			headings[i] = heading(column)
		}
		rows = append([][]string{headings}, rows...)
	}
	if err := writeTabs(writer, rows); err != nil {
		return err
	}
	return writer.Flush()
}

func writeTabs(out io.Writer, rows [][]string) error {
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

// printable replaces what would break a row, or steer the terminal.
func printable(char rune) rune {
	if unicode.IsControl(char) {
		return ' '
	}
	return char
}

// heading turns "FirstTokenTarget" into "FIRST TOKEN TARGET".
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
