// Package report writes benchmark results as CSV files, Markdown tables and plots.
package report

import "siskinpath/bench/sim"

// Row is a scenario with the merged results of all its seeds.
type Row struct {
	Scenario sim.Scenario
	Fault    string // name of the failure, "" for none
	Seeds    int
	Result   *sim.Result
}

// rowKey identifies the rows that are compared with each other, which differ only
// in their policy.
type rowKey struct {
	service    string
	stragglers bool
	load       float64
	fault      string
}

func (r Row) key() rowKey {
	return rowKey{r.Scenario.Deployment.Service, r.Scenario.Stragglers, r.Scenario.Load, r.Fault}
}

// findResult returns the result of a policy in the row with the same key as r, or
// nil if there is none.
func findResult(rows []Row, r Row, policy string) *sim.Result {
	for _, other := range rows {
		if other.key() == r.key() && other.Scenario.Policy.Name == policy {
			return other.Result
		}
	}
	return nil
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
