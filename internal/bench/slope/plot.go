package slope

import (
	"fmt"
	"html"
	"strings"
)

// The layout of the plot, in pixels.
const (
	panelWidth  = 300
	panelHeight = 180
	margin      = 40
	columns     = 3
)

// plot returns an SVG with a panel for each quantity, which shows its points and
// the fitted line.
func plot(measured []*Series) string {
	var panels []string
	for _, s := range measured {
		for _, q := range s.Quantities {
			panels = append(panels, panel(s, q, len(panels)))
		}
	}
	rows := (len(panels) + columns - 1) / columns
	return fmt.Sprintf(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="10">`,
		columns*panelWidth, rows*panelHeight) + strings.Join(panels, "") + "</svg>\n"
}

// panel draws one quantity in the grid cell with the given index.
func panel(s *Series, q *Quantity, index int) string {
	left, top := float64(index%columns*panelWidth+margin), float64(index/columns*panelHeight+margin)
	width, height := float64(panelWidth-2*margin), float64(panelHeight-2*margin)
	maxX, maxY := extent(q)
	x := func(value float64) float64 { return left + value/maxX*width }
	y := func(value float64) float64 { return top + height - value/maxY*height }
	var b strings.Builder
	fmt.Fprintf(&b, `<text x="%.0f" y="%.0f">%s</text>`, left, top-12, html.EscapeString(q.Name))
	fmt.Fprintf(&b, `<path d="M%.1f %.1fV%.1fH%.1f" fill="none" stroke="black"/>`, left, top, top+height, left+width)
	fmt.Fprintf(&b, `<text x="%.0f" y="%.0f">%s, to %.4g; vertical to %.4g</text>`, left, top+height+14, html.EscapeString(s.Size), maxX, maxY)
	fmt.Fprintf(&b, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="steelblue"/>`,
		x(0), y(max(q.Fit.At(0), 0)), x(maxX), y(max(q.Fit.At(maxX), 0)))
	for _, p := range q.Points {
		fmt.Fprintf(&b, `<circle cx="%.1f" cy="%.1f" r="3" fill="firebrick"/>`, x(p.X), y(max(p.Y, 0)))
	}
	return b.String()
}

// extent returns the highest values to draw, which are never 0.
func extent(q *Quantity) (maxX, maxY float64) {
	const minExtent = 1e-9
	maxX, maxY = minExtent, minExtent
	for _, p := range q.Points {
		maxX = max(maxX, p.X)
		maxY = max(maxY, p.Y)
	}
	return maxX, max(maxY, q.Fit.At(maxX), q.Fit.Base)
}
