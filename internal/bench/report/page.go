package report

import (
	_ "embed"
	"html/template"
	"io"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{"bars": bars}).Parse(pageText))

// WritePage writes runs as an HTML page with plots.
func WritePage(w io.Writer, runs []Run) error {
	return page.Execute(w, runs)
}

// Bar is a bar of a plot with its label and value; the template reads its fields. Coordinates are in pixels of the SVG image.
type Bar struct {
	Label         string
	Y, Width      float64
	Value         float64
	TextX, LabelY float64
}

// Layout of the plots, in pixels. page.html repeats barStart as the x coordinate of the bars.
const (
	barHeight   = 24
	barStart    = 140
	maxBarWidth = 360
	textGap     = 6
	baseline    = 15
)

// bars returns a bar per phase for the figure "broken" (broken flows) or "imbalance".
func bars(phases []Phase, figure string) []Bar {
	highest := 1.0
	value := func(p Phase) float64 {
		if figure == "broken" {
			return float64(p.BrokenFlows)
		}
		return p.Imbalance
	}
	for _, p := range phases {
		highest = max(highest, value(p))
	}
	out := make([]Bar, 0, len(phases))
	for n, p := range phases {
		width := maxBarWidth * value(p) / highest
		y := float64(n * barHeight)
		out = append(out, Bar{Label: p.Name, Y: y, Width: width, Value: value(p), TextX: barStart + width + textGap, LabelY: y + baseline})
	}
	return out
}
