package compare

import (
	"bytes"
	"fmt"
)

// Dimensions of the plot, in pixels.
const (
	plotWidth   = 900
	panelHeight = 160
	barWidth    = 18
	leftMargin  = 60
	topMargin   = 40
)

var colours = []string{"#b0b7c3", "#7f8ea3", "#e0a458", "#2a7f62"}

// measure reads a value between 0 and 1 from a row.
type measure struct {
	title string
	value func(Row) (value float64, known bool)
}

func measures() []measure {
	return []measure{
		{"Attainment of the class interactive", func(r Row) (float64, bool) {
			value, known := r.Attainment["interactive"]
			return value, known
		}},
		{"Worst-served team", func(r Row) (float64, bool) { return r.WorstServed, true }},
		{"Jain index", func(r Row) (float64, bool) { return r.JainIndex, true }},
	}
}

// plot returns an SVG with a bar chart for each measure, grouped by workload.
func plot(table Table) []byte {
	var out bytes.Buffer
	all := measures()
	fmt.Fprintf(&out, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`,
		plotWidth, topMargin+len(all)*(panelHeight+topMargin))
	out.WriteByte('\n')
	policies := policiesOf(table)
	for i, policy := range policies {
		x := leftMargin + i*160
		fmt.Fprintf(&out, `<rect x="%d" y="6" width="12" height="12" fill="%s"/><text x="%d" y="16">%s</text>`+"\n",
			x, colours[i%len(colours)], x+16, policy)
	}
	for i, m := range all {
		drawPanel(&out, table, policies, m, topMargin+i*(panelHeight+topMargin))
	}
	out.WriteString("</svg>\n")
	return out.Bytes()
}

func policiesOf(table Table) []string {
	var policies []string
	seen := make(map[string]bool)
	for _, row := range table.Rows {
		if !seen[row.Policy] {
			seen[row.Policy] = true
			policies = append(policies, row.Policy)
		}
	}
	return policies
}

func drawPanel(out *bytes.Buffer, table Table, policies []string, m measure, top int) {
	bottom := top + panelHeight
	fmt.Fprintf(out, `<text x="%d" y="%d" font-weight="bold">%s</text>`+"\n", leftMargin, top-4, m.title)
	for _, level := range []float64{0, 0.5, 1} {
		y := bottom - int(level*(panelHeight-20))
		fmt.Fprintf(out, `<text x="%d" y="%d" text-anchor="end">%.1f</text><line x1="%d" x2="%d" y1="%d" y2="%d" stroke="#dddddd"/>`+"\n",
			leftMargin-6, y+4, level, leftMargin, plotWidth, y, y)
	}
	groups := make(map[string]int)
	for _, row := range table.Rows {
		group, known := groups[row.Workload]
		if !known {
			group = len(groups)
			groups[row.Workload] = group
			fmt.Fprintf(out, `<text x="%d" y="%d">%s</text>`+"\n", leftMargin+group*(len(policies)+1)*barWidth, bottom+14, row.Workload)
		}
		value, measured := m.value(row)
		if !measured {
			continue
		}
		for at, policy := range policies {
			if policy != row.Policy {
				continue
			}
			x := leftMargin + (group*(len(policies)+1)+at)*barWidth
			height := int(value * (panelHeight - 20))
			fmt.Fprintf(out, `<rect x="%d" y="%d" width="%d" height="%d" fill="%s"><title>%s %s: %.3f</title></rect>`+"\n",
				x, bottom-height, barWidth-2, height, colours[at%len(colours)], row.Workload, row.Policy, value)
		}
	}
}
