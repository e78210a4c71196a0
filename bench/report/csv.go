package report

import (
	"encoding/csv"
	"os"
	"path/filepath"
	"strconv"

	"github.com/pkg/errors"

	"siskinpath/bench/sim"
)

// header holds the columns of the CSV files.
var header = []string{
	"service", "stragglers", "load", "fault", "policy", "seeds", "arrived",
	"p50_ms", "p99_ms", "p999_ms", "refused", "late", "errors", "answered_per_second",
	"probes_per_second", "digests_per_second", "limit_overshoot", "hops", "hedges", "retries",
	"p50_to_random", "p99_to_random", "p999_to_random",
	"p50_to_power_of_two", "p99_to_power_of_two", "p999_to_power_of_two",
}

// WriteCSV writes rows to name.csv in dir.
func WriteCSV(dir, name string, rows []Row) (err error) {
	path := filepath.Join(dir, name+".csv")
	defer func() { err = errors.WithMessage(err, path) }()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := csv.NewWriter(f)
	lines := [][]string{header}
	for _, r := range rows {
		lines = append(lines, record(rows, r))
	}
	if err := w.WriteAll(lines); err != nil {
		return err
	}
	return f.Close()
}

// record returns the CSV record of r, one of rows.
func record(rows []Row, r Row) []string {
	res := r.Result
	fields := []string{
		r.Scenario.Deployment.Service, strconv.FormatBool(r.Scenario.Stragglers), number(r.Scenario.Load),
		r.Fault, r.Scenario.Policy.Name, strconv.Itoa(r.Seeds), strconv.Itoa(res.Arrived),
		number(res.Quantile(0.5)), number(res.Quantile(0.99)), number(res.Quantile(0.999)),
		number(res.Share(res.Refused)), number(res.Share(res.Late)), number(res.Share(res.Errors)),
		number(res.PerSecond(res.Answered)), number(res.PerSecond(res.Probes)), number(res.PerSecond(res.Digests)),
		strconv.Itoa(res.Overshoot), number(res.Share(res.Hops)), number(res.Share(res.Hedges)), number(res.Share(res.Retries)),
	}
	for _, base := range []string{"random", "power_of_two"} {
		fields = append(fields, ratios(res, findResult(rows, r, base))...)
	}
	return fields
}

// ratios returns the ratios of p50, p99 and p99.9 to those of base, or empty
// fields if base is nil.
func ratios(res, base *sim.Result) []string {
	if base == nil {
		return []string{"", "", ""}
	}
	var fields []string
	for _, q := range []float64{0.5, 0.99, 0.999} {
		fields = append(fields, number(ratio(res.Quantile(q), base.Quantile(q))))
	}
	return fields
}

func number(x float64) string { return strconv.FormatFloat(x, 'g', 5, 64) }
