package lab

// This file owns how an experiment is told: a text, and one HTML file that needs nothing else. It must never show a difference
// without saying whether it can be told from chance.

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// shown are the figures that an experiment asks for and some run has.
func (x *Experiment) shown(c *Case) (out []figure) {
	for _, f := range figures {
		if len(x.Figures) > 0 && !slices.Contains(x.Figures, f.name) {
			continue
		}
		if slices.ContainsFunc(c.Ways, func(r *Result) bool { _, ok := r.Median(f.name); return ok }) {
			out = append(out, f)
		}
	}
	return out
}

// short writes a number with three digits that count.
func short(v float64) string {
	switch a := math.Abs(v); {
	case a >= 100 || a == math.Trunc(a):
		return fmt.Sprintf("%.0f", v)
	case a >= 10:
		return fmt.Sprintf("%.1f", v)
	case a >= 0.1:
		return fmt.Sprintf("%.2f", v)
	}
	return fmt.Sprintf("%.4f", v)
}

// cell is a way's median, and its difference from the first way's.
func cell(r *Result, f figure) string {
	v, ok := r.Median(f.name)
	if !ok {
		return "-"
	}
	d, other := r.Than[f.name]
	switch {
	case !other:
		return short(v)
	case d.Low == 0 && d.High == 0:
		return short(v) + " (the same)"
	case !d.Told:
		return short(v) + " (no difference can be told)"
	}
	word := ""
	if f.better != 0 {
		word = map[bool]string{true: ", better", false: ", worse"}[(d.Mean > 0) == (f.better > 0)]
	}
	return fmt.Sprintf("%s (%+.3g, %.3g to %.3g%s)", short(v), d.Mean, d.Low, d.High, word)
}

// Text writes tables: medians, and in brackets the mean difference from the first way with the interval that holds it in 95 of
// 100 draws.
func (x *Experiment) Text(w io.Writer, cases []*Case) error {
	fmt.Fprintf(w, "%s; seeds 1 to %d, paired; medians, and differences from the first way\n", x.Name, x.Seeds)
	for _, c := range cases {
		fmt.Fprintf(w, "\n%s\n", c.Name)
		table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
		head := []string{"FIGURE"}
		for _, r := range c.Ways {
			head = append(head, strings.ToUpper(r.Way))
		}
		fmt.Fprintln(table, strings.Join(head, "\t"))
		for _, f := range x.shown(c) {
			row := []string{strings.TrimSpace(f.name + " " + f.unit)}
			for _, r := range c.Ways {
				row = append(row, cell(r, f))
			}
			fmt.Fprintln(table, strings.Join(row, "\t"))
		}
		if err := table.Flush(); err != nil {
			return err
		}
		for _, r := range c.Ways {
			if m := r.asked(); len(m) > 0 {
				fmt.Fprintf(w, "  %s, statements a half second before and after: %.0f\n", r.Way, m)
			}
		}
		if n := c.Void(); n > 0 {
			fmt.Fprintf(w, "  %d runs show nothing: the rig was late each time; fewer at a time may do\n", n)
		}
		for _, b := range c.Broken() {
			fmt.Fprintln(w, "  BROKEN:", b)
		}
	}
	return nil
}

// asked is the median over the seeds of the statements to the measured zone, by half seconds.
func (r *Result) asked() (out []float64) {
	for k := 0; ; k++ {
		var all []float64
		for _, run := range r.Runs {
			if k < len(run.Asked) {
				all = append(all, float64(run.Asked[k]))
			}
		}
		if len(all) == 0 {
			return out
		}
		out = append(out, median(all))
	}
}

var lines = []color.Color{color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 255}, color.RGBA{R: 0xc0, G: 0x4a, B: 0x1f, A: 255}, color.RGBA{R: 0x2f, G: 0x8f, B: 0x4e, A: 255},
	color.RGBA{R: 0x7a, G: 0x4f, B: 0xa3, A: 255}, color.RGBA{R: 0x8a, G: 0x7a, B: 0x1a, A: 255}, color.RGBA{R: 0x55, G: 0x55, B: 0x55, A: 255}}

// drawn is a picture of the statements to the measured zone, the fault as a band; "": none was measured.
func (c *Case) drawn() (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds after the fault began", "statements to the zone in half a second"
	p.Y.Min, p.Legend.Top = 0, true
	any, top := false, 0.0
	for i, r := range c.Ways {
		m := r.asked()
		if len(m) < 2 {
			continue
		}
		any = true
		var points plotter.XYs
		for k, v := range m {
			points = append(points, plotter.XY{X: float64(k) * half, Y: v})
			top = max(top, v)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color, line.Width = lines[i%len(lines)], vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(r.Way, line)
	}
	if !any {
		return "", nil
	}
	if c.Fault > 0 {
		band, err := plotter.NewPolygon(plotter.XYs{{X: 0, Y: 0}, {X: c.Fault, Y: 0}, {X: c.Fault, Y: top}, {X: 0, Y: top}})
		if err != nil {
			return "", err
		}
		band.Color, band.LineStyle.Width = color.RGBA{R: 0x30, A: 0x20}, 0
		p.Add(band)
	}
	canvas := vgsvg.New(vg.Points(620), vg.Points(260))
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	_, svg, _ := strings.Cut(out.String(), "?>") // the page is no XML document
	return template.HTML(svg), nil
}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Name}}</title><style>
body { font: 15px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 62em; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: .8em 0 } th, td { border-bottom: 1px solid #ccc; padding: .25em .7em; text-align: left }
td.n { font-variant-numeric: tabular-nums } .broken { color: #a00 } svg { max-width: 100%; height: auto }
</style></head><body><h1>{{.Name}}</h1>
<p>Seeds 1 to {{.Seeds}}, each played in each way. Medians; in brackets the mean difference from the first way, and the interval that holds it in 95 of 100
draws from the pairs. Figures are from stand-ins on one machine or from virtual time.</p>
{{range .Cases}}<h2>{{.Name}}</h2>{{.Picture}}
<table><tr><th>figure</th>{{range .Ways}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr><td title="{{.What}}">{{.Name}}</td>{{range .Cells}}<td class="n">{{.}}</td>{{end}}</tr>
{{end}}</table>{{range .Broken}}<p class="broken">Broken: {{.}}</p>{{end}}{{end}}</body></html>
`))

type row struct {
	Name, What string
	Cells      []string
}

type shownCase struct {
	Name    string
	Picture template.HTML
	Ways    []string
	Rows    []row
	Broken  []string
}

// HTML writes one page.
func (x *Experiment) HTML(w io.Writer, cases []*Case) error {
	all := struct {
		Name  string
		Seeds int
		Cases []shownCase
	}{x.Name, x.Seeds, nil}
	for _, c := range cases {
		picture, err := c.drawn()
		if err != nil {
			return err
		}
		s := shownCase{Name: c.Name, Picture: picture, Broken: c.Broken()}
		for _, r := range c.Ways {
			s.Ways = append(s.Ways, r.Way)
		}
		for _, f := range x.shown(c) {
			one := row{Name: strings.TrimSpace(f.name + " " + f.unit), What: f.what}
			for _, r := range c.Ways {
				one.Cells = append(one.Cells, cell(r, f))
			}
			s.Rows = append(s.Rows, one)
		}
		all.Cases = append(all.Cases, s)
	}
	return page.Execute(w, all)
}
