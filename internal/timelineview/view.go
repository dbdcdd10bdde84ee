// Package timelineview renders a time line as one HTML page: an SVG diagram with a
// lane for each VM, and a table of the events below it. It has no task and does no
// input or output but to the given writer.
package timelineview

import (
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"
)

// Row is one event as it is displayed.
type Row struct {
	At         time.Time
	VM         string
	DataCentre string
	Kind       string
	Subject    string // what the event concerns, such as a target
	Why        string // the event's cause
	Detail     string
}

// Page is a time line, oldest row first.
type Page struct {
	Rows    []Row
	Missing []string // VMs whose events could not be fetched
}

const (
	lanesWidth = 1100 // pixels, without the labels
	labelWidth = 160  // pixels, left of the lanes
	laneHeight = 28   // pixels
	ticks      = 8    // intervals into which the time axis is divided
)

// mark is the dot of one event.
type mark struct {
	X, Y        int
	Color, Text string
	Row         int
}

// lane is the horizontal line of one VM.
type lane struct {
	Y    int
	Name string
}

// tick is one label of the time axis.
type tick struct {
	X    int
	Text string
}

// diagram is the data that the page template renders.
type diagram struct {
	Page
	Width, Height, LaneEnd int
	Lanes                  []lane
	Marks                  []mark
	Ticks                  []tick
	Legend                 []legendEntry
}

type legendEntry struct{ Color, Text string }

// legend assigns a colour to each group of kinds. A kind belongs to the first group
// one of whose words it contains.
var legend = []struct {
	entry legendEntry
	words []string
}{
	{legendEntry{"#c62828", "lost, refused, failed"}, []string{"lost", "refused", "restarted", "silent", "ejected"}},
	{legendEntry{"#6a1b9a", "elections"}, []string{"elected", "voter"}},
	{legendEntry{"#1565c0", "configuration and data centres"}, []string{"configuration", "data centre", "key withdrawn", "home"}},
	{legendEntry{"#2e7d32", "grants and returns"}, []string{"granted", "returned", "joined", "warm", "held", "assignment"}},
	{legendEntry{"#ef6c00", "releases, drains, cold starts"}, []string{"released", "draining", "cold", "moved", "stopping"}},
}

// otherColor is the colour of kinds that belong to no group.
const otherColor = "#546e7a"

func colorOf(kind string) string {
	for _, group := range legend {
		for _, word := range group.words {
			if strings.Contains(kind, word) {
				return group.entry.Color
			}
		}
	}
	return otherColor
}

// Write renders p as HTML to w.
func Write(w io.Writer, p Page) error {
	if err := page.Execute(w, draw(p)); err != nil {
		return fmt.Errorf("render time line page: %w", err)
	}
	return nil
}

// draw lays out the diagram of p: time runs to the right, and there is
// one lane for each VM, in the order of their names.
func draw(p Page) diagram {
	d := diagram{Page: p, Width: labelWidth + lanesWidth + 20, LaneEnd: labelWidth + lanesWidth}
	for _, group := range legend {
		d.Legend = append(d.Legend, group.entry)
	}
	var names []string
	for _, r := range p.Rows {
		names = append(names, r.VM)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	laneOf := map[string]int{}
	for i, name := range names {
		laneOf[name] = (i + 1) * laneHeight
		d.Lanes = append(d.Lanes, lane{Y: laneOf[name], Name: name})
	}
	d.Height = (len(names) + 2) * laneHeight
	if len(p.Rows) == 0 {
		return d
	}
	first, last := p.Rows[0].At, p.Rows[0].At
	for _, r := range p.Rows {
		first, last = earlier(first, r.At), later(last, r.At)
	}
	span := max(last.Sub(first), time.Millisecond)
	for i, r := range p.Rows {
		d.Marks = append(d.Marks, mark{
			X: labelWidth + int(float64(r.At.Sub(first))/float64(span)*lanesWidth), Y: laneOf[r.VM],
			Color: colorOf(r.Kind), Row: i, Text: tooltip(r),
		})
	}
	for i := range ticks + 1 {
		at := first.Add(span * time.Duration(i) / ticks)
		d.Ticks = append(d.Ticks, tick{X: labelWidth + i*lanesWidth/ticks, Text: at.Format("15:04:05.000")})
	}
	return d
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func tooltip(r Row) string {
	text := r.At.Format("15:04:05.000") + " " + r.Kind
	for _, part := range []string{r.Subject, r.Detail} {
		if part != "" {
			text += "; " + part
		}
	}
	if r.Why != "" {
		text += "; because of " + r.Why
	}
	return text
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"color": colorOf,
	"clock": func(t time.Time) string { return t.Format("2006-01-02 15:04:05.000") },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>comfreynotch time line</title>
<style>
body { font: 14px sans-serif; margin: 1.5em; }
svg text { font: 11px sans-serif; }
table { border-collapse: collapse; margin-top: 1em; }
td, th { text-align: left; padding: 3px 10px; border-bottom: 1px solid #ddd; vertical-align: top; }
tr:target { background: #fff3c4; }
.dot { display: inline-block; width: 10px; height: 10px; border-radius: 5px; margin-right: 6px; }
.legend span.group { margin-right: 1.5em; }
</style></head><body>
<h1>Time line</h1>
{{if .Missing}}<p><strong>Events of these VMs are missing:</strong>{{range .Missing}} {{.}}{{end}}</p>{{end}}
<p class="legend">{{range .Legend}}<span class="group"><span class="dot" style="background:{{.Color}}"></span>{{.Text}}</span>{{end}}</p>
<svg width="{{.Width}}" height="{{.Height}}" role="img" aria-label="events by VM and time">
{{range .Ticks}}<line x1="{{.X}}" y1="10" x2="{{.X}}" y2="{{$.Height}}" stroke="#eee"/><text x="{{.X}}" y="10" text-anchor="middle">{{.Text}}</text>
{{end}}{{range .Lanes}}<line x1="160" y1="{{.Y}}" x2="{{$.LaneEnd}}" y2="{{.Y}}" stroke="#bbb"/><text x="4" y="{{.Y}}">{{.Name}}</text>
{{end}}{{range .Marks}}<a href="#e{{.Row}}"><circle cx="{{.X}}" cy="{{.Y}}" r="5" fill="{{.Color}}"><title>{{.Text}}</title></circle></a>
{{end}}</svg>
<table><tr><th>time (UTC)</th><th>VM</th><th>data centre</th><th>what</th><th>of</th><th>because of</th><th>detail</th></tr>
{{range $i, $r := .Rows}}<tr id="e{{$i}}"><td>{{clock $r.At}}</td><td>{{$r.VM}}</td><td>{{$r.DataCentre}}</td><td><span class="dot" style="background:{{color $r.Kind}}"></span>{{$r.Kind}}</td><td>{{$r.Subject}}</td><td>{{$r.Why}}</td><td>{{$r.Detail}}</td></tr>
{{end}}</table></body></html>
`))
