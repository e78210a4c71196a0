package report

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// shownFrom is the number of standard errors from which a difference counts as shown.
const shownFrom = 2.5

// AblationRow holds the shares of requests answered in time in one scenario, with all
// mechanisms and without one, by seed.
type AblationRow struct {
	Mechanism string
	Answers   string // the load or fault that the mechanism answers
	Scenario  string
	With      []float64
	Without   []float64
}

// gain returns the mean gain of the mechanism and its standard error, as shares of the
// requests.
func (r AblationRow) gain() (mean, deviation float64) {
	n := float64(len(r.With))
	var sum, squares float64
	for i := range r.With {
		d := r.With[i] - r.Without[i]
		sum += d
		squares += d * d
	}
	mean = sum / n
	return mean, math.Sqrt(max(0, squares/n-mean*mean) / (n - 1))
}

// WriteAblation writes the gain of each mechanism in each scenario to ablation.md in dir,
// and plots the mean over the scenarios as ablation.svg.
func WriteAblation(dir string, rows []AblationRow) (err error) {
	defer func() { err = errors.WithMessage(err, "write ablation report to "+dir) }()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var mechanisms, scenarios []string
	cells := map[[2]string]AblationRow{}
	for _, r := range rows {
		mechanisms, scenarios = appendUnique(mechanisms, r.Mechanism), appendUnique(scenarios, r.Scenario)
		cells[[2]string{r.Mechanism, r.Scenario}] = r
	}
	var b strings.Builder
	b.WriteString("| mechanism | answers | mean | gains in | costs in | verdict |\n|---|---|---|---|---|---|\n")
	means := make(plotter.Values, len(mechanisms))
	for i, m := range mechanisms {
		var gains, costs []string
		for _, s := range scenarios {
			mean, deviation := cells[[2]string{m, s}].gain()
			means[i] += mean / float64(len(scenarios))
			cell := fmt.Sprintf("%s %+.3f ± %.3f", s, mean, deviation)
			switch {
			case mean > shownFrom*deviation:
				gains = append(gains, cell)
			case mean < -shownFrom*deviation:
				costs = append(costs, cell)
			}
		}
		fmt.Fprintf(&b, "| %s | %s | %+.4f | %s | %s | %s |\n", m, cells[[2]string{m, scenarios[0]}].Answers, means[i],
			strings.Join(gains, "; "), strings.Join(costs, "; "), verdict(len(gains), len(costs)))
	}
	if err := os.WriteFile(filepath.Join(dir, "ablation.md"), []byte(b.String()), 0o644); err != nil {
		return err
	}
	return plotAblation(filepath.Join(dir, "ablation.svg"), mechanisms, means)
}

func verdict(gains, costs int) string {
	switch {
	case gains > 0 && costs > 0:
		return "gains and costs"
	case gains > 0:
		return "gains"
	case costs > 0:
		return "costs"
	}
	return "no difference shown"
}

func plotAblation(path string, mechanisms []string, means plotter.Values) error {
	p := plot.New()
	p.Title.Text = "gain of each mechanism, mean over all scenarios"
	p.X.Label.Text = "share of requests answered in time"
	names, values := slices.Clone(mechanisms), slices.Clone(means)
	slices.Reverse(names) // the first one is drawn at the top
	slices.Reverse(values)
	bars, err := plotter.NewBarChart(values, vg.Points(12))
	if err != nil {
		return err
	}
	bars.Horizontal = true
	p.Add(bars)
	p.NominalY(names...)
	return p.Save(plotWidth, plotHeight, path)
}
