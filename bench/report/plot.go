package report

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth      = 8 * vg.Inch
	plotHeight     = 5 * vg.Inch
	maxPlottedLoad = 1.0 // loads above capacity are left out
)

// WritePlots plots p99 against load, as one PNG file per service and condition.
func WritePlots(dir string, rows []Row) (err error) {
	defer func() { err = errors.WithMessage(err, "write plots to "+dir) }()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, g := range groupRows(rows) {
		if err := g.plot(dir); err != nil {
			return err
		}
	}
	return nil
}

func (g *group) plot(dir string) error {
	p := plot.New()
	p.Title.Text = g.title
	p.X.Label.Text = "load"
	p.Y.Label.Text = "p99 in ms"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any // alternating names and points, as plotutil expects
	for _, name := range g.policies {
		if points := g.points(name); len(points) > 0 {
			lines = append(lines, name, points)
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, fileName(g.title)+".png"))
}

// points returns the p99 of a policy at each load.
func (g *group) points(name string) plotter.XYs {
	var points plotter.XYs
	for _, load := range g.loads {
		r, ok := g.cells[[2]string{load, name}]
		if ok && r.Scenario.Load <= maxPlottedLoad {
			points = append(points, plotter.XY{X: r.Scenario.Load, Y: r.Result.Quantile(0.99)})
		}
	}
	return points
}

// fileName returns the name of a plot's file, without its suffix.
func fileName(title string) string {
	name := []rune(title)
	for i, c := range name {
		if c == ' ' || c == ',' {
			name[i] = '_'
		}
	}
	return string(name)
}
