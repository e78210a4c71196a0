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
	maxPlottedLoad = 1.0 // highest load drawn
)

// WritePlots draws p99 against load, a PNG for each service and condition.
func WritePlots(folder string, rows []Row) (err error) {
	defer func() { err = errors.WithMessage(err, "plots in "+folder) }()
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for _, g := range groupRows(rows) {
		if err := g.plot(folder); err != nil {
			return err
		}
	}
	return nil
}

func (g *group) plot(folder string) error {
	p := plot.New()
	p.Title.Text = g.title
	p.X.Label.Text = "load"
	p.Y.Label.Text = "p99 in ms"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any // names and points in turn, as plotutil takes them
	for _, name := range g.policies {
		if points := g.points(name); len(points) > 0 {
			lines = append(lines, name, points)
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(folder, fileName(g.title)+".png"))
}

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

func fileName(title string) string {
	name := []rune(title)
	for i, c := range name {
		if c == ' ' || c == ',' {
			name[i] = '_'
		}
	}
	return string(name)
}
