package measure

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/comfreynotch/comfreynotch/bench/cluster"
	"github.com/comfreynotch/comfreynotch/bench/load"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// quantiles are the quantiles shown in a latency plot, in percent.
var quantiles = []float64{50, 75, 90, 95, 98, 99, 99.5, 99.9}

// plotLatencies draws the latency at each quantile, one line for each system.
func plotLatencies(c Config, d cluster.Deployment, title string, runs []*run) error {
	names := make([]string, len(quantiles))
	for i, q := range quantiles {
		names[i] = fmt.Sprintf("p%g", q)
	}
	return drawLines(c, d, title, "milliseconds from the intended time", names, runs, func(r *run) []float64 {
		var ys []float64
		total := r.results.Total(nil)
		for _, q := range quantiles {
			ys = append(ys, float64(total.Quantile(q))/float64(time.Millisecond))
		}
		return ys
	})
}

// plotServed draws the percentage of served requests over the time of the run.
func plotServed(c Config, d cluster.Deployment, title string, runs []*run) error {
	const steps = 20
	var names []string
	for i := range steps {
		name := ""
		if i%4 == 0 {
			name = fmt.Sprintf("%.1f s", at(c, float64(i)/steps).Seconds())
		}
		names = append(names, name)
	}
	return drawLines(c, d, title, "percent served", names, runs, func(r *run) []float64 {
		var ys []float64
		for i := range steps {
			part := r.results.Between(at(c, float64(i)/steps), at(c, float64(i+1)/steps))
			ys = append(ys, 100*part.Total(nil).ServedShare())
		}
		return ys
	})
}

// plotWorkspaces draws the percentage of served requests of each workspace.
func plotWorkspaces(c Config, d cluster.Deployment, title string, runs []*run) error {
	var names []string
	for _, w := range d.Workspaces {
		names = append(names, w.Name)
	}
	slices.Sort(names)
	return drawLines(c, d, title, "percent served", names, runs, func(r *run) []float64 {
		var ys []float64
		for _, name := range names {
			row := r.results.Total(func(row *load.Row) bool { return row.Workspace == name })
			ys = append(ys, 100*row.ServedShare())
		}
		return ys
	})
}

// drawLines writes one plot. The deployment's name is inserted before the
// extension of c.Plot. It does nothing if c.Plot is empty.
func drawLines(c Config, d cluster.Deployment, title, yLabel string, xs []string, runs []*run, values func(*run) []float64) error {
	if c.Plot == "" {
		return nil
	}
	p := plot.New()
	p.Title.Text = title + ", " + d.Name
	p.Y.Label.Text = yLabel
	p.Legend.Top = true
	p.NominalX(xs...)
	for i, r := range runs {
		var points plotter.XYs
		for x, y := range values(r) {
			points = append(points, plotter.XY{X: float64(x), Y: y})
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return fmt.Errorf("plot %s: %w", title, err)
		}
		line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		dots.Shape = plotutil.Shape(i)
		p.Add(line, dots)
		p.Legend.Add(r.system, line, dots)
	}
	ext := filepath.Ext(c.Plot)
	file := strings.TrimSuffix(c.Plot, ext) + "-" + d.Name + ext
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot %s: %w", file, err)
	}
	return nil
}
