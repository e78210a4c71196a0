package report

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"siskinpath/bench/sim"
)

// WriteFailures writes rows as a Markdown table to failures.md in dir.
func WriteFailures(dir string, rows []Row) (err error) {
	path := filepath.Join(dir, "failures.md")
	defer func() { err = errors.WithMessage(err, path) }()
	var b strings.Builder
	b.WriteString("| failure | policy | p50 ms | p99 ms | p99.9 ms | refused % | errors % | late % | answered a second | worst second: not answered % |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		res := r.Result
		fmt.Fprintf(&b, "| %s | %s | %.0f | %.0f | %.0f | %.2f | %.2f | %.2f | %.0f | %.1f |\n",
			r.Fault, r.Scenario.Policy.Name, res.Quantile(0.5), res.Quantile(0.99), res.Quantile(0.999),
			100*res.Share(res.Refused), 100*res.Share(res.Errors), 100*res.Share(res.Late),
			res.PerSecond(res.Answered), 100*worstInterval(res))
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}

// worstInterval returns the largest share of requests not answered in time in any
// interval, which is a second long.
func worstInterval(res *sim.Result) float64 {
	var most float64
	for _, in := range res.Intervals {
		most = max(most, 1-ratio(float64(in.Answered), float64(in.Arrived)))
	}
	return most
}
