package report

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"siskinpath/core/loadsim"
)

// HeavyLoadRow holds the outcomes of one policy under one condition at one load.
type HeavyLoadRow struct {
	Condition       string
	Policy          string
	Load            float64 // as a multiple of the normal load
	Outcomes        loadsim.Outcomes
	ProbesPerSecond float64 // per upstream
}

// WriteHeavyLoad writes rows to heavy.csv and heavy.md in dir, and plots the share
// of requests answered in time against load, as one PNG file per condition.
func WriteHeavyLoad(dir string, rows []HeavyLoadRow) (err error) {
	defer func() { err = errors.WithMessage(err, "write heavy-load report to "+dir) }()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := writeHeavyLoadCSV(filepath.Join(dir, "heavy.csv"), rows); err != nil {
		return err
	}
	var b strings.Builder
	for _, g := range groupHeavyLoad(rows) {
		writeTable(&b, g.condition, g.loads, g.policies, g.cell)
		if err := g.plot(dir); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(dir, "heavy.md"), []byte(b.String()), 0o644)
}

func writeHeavyLoadCSV(path string, rows []HeavyLoadRow) error {
	lines := [][]string{{
		"condition", "policy", "load", "asked", "in_time", "late", "refused",
		"in_time_0", "in_time_1", "in_time_2", "sends_per_request", "probes_per_second",
	}}
	for _, r := range rows {
		lines = append(lines, []string{
			r.Condition, r.Policy, number(r.Load), fmt.Sprint(r.Outcomes.TotalOffered()),
			number(r.Outcomes.InTimeShare()), number(r.Outcomes.LateShare()), number(r.Outcomes.RefusedShare()),
			number(r.Outcomes.InTimeShareOf(0)), number(r.Outcomes.InTimeShareOf(1)), number(r.Outcomes.InTimeShareOf(2)),
			number(float64(r.Outcomes.Sends) / float64(max(1, r.Outcomes.TotalOffered()))), number(r.ProbesPerSecond),
		})
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := csv.NewWriter(f).WriteAll(lines); err != nil {
		return err
	}
	return f.Close()
}

// heavyLoadGroup holds the rows of one condition.
type heavyLoadGroup struct {
	condition string
	loads     []string
	policies  []string
	cells     map[[2]string]HeavyLoadRow // by load and policy
}

// groupHeavyLoad groups rows by condition, in order of first occurrence.
func groupHeavyLoad(rows []HeavyLoadRow) (list []*heavyLoadGroup) {
	byName := map[string]*heavyLoadGroup{}
	for _, r := range rows {
		g := byName[r.Condition]
		if g == nil {
			g = &heavyLoadGroup{condition: r.Condition, cells: map[[2]string]HeavyLoadRow{}}
			byName[r.Condition] = g
			list = append(list, g)
		}
		g.loads = appendUnique(g.loads, number(r.Load))
		g.policies = appendUnique(g.policies, r.Policy)
		g.cells[[2]string{number(r.Load), r.Policy}] = r
	}
	return list
}

// cell returns the percentages of requests answered in time, late and refused.
func (g *heavyLoadGroup) cell(load, name string) string {
	got := g.cells[[2]string{load, name}].Outcomes
	return fmt.Sprintf("%.1f l%.1f r%.1f", 100*got.InTimeShare(), 100*got.LateShare(), 100*got.RefusedShare())
}

func (g *heavyLoadGroup) plot(dir string) error {
	p := plot.New()
	p.Title.Text = g.condition
	p.X.Label.Text = "load, as a multiple of the normal load"
	p.Y.Label.Text = "answered in time"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Left = true
	var lines []any // alternating names and points, as plotutil expects
	for _, name := range g.policies {
		var points plotter.XYs
		for _, load := range g.loads {
			r := g.cells[[2]string{load, name}]
			points = append(points, plotter.XY{X: r.Load, Y: r.Outcomes.InTimeShare()})
		}
		lines = append(lines, name, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, "heavy_"+g.condition+".png"))
}
