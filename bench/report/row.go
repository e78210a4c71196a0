// Package report writes what the bench measured: CSV, Markdown and plots.
package report

import "siskinpath/bench/sim"

// Row is one setting with the results of all its seeds.
type Row struct {
	Scenario sim.Scenario
	Fault    string // name of the failure, if any
	Seeds    int
	Result   *sim.Result
}

// rowKey is what rows share that are compared with each other.
type rowKey struct {
	service    string
	stragglers bool
	load       float64
	fault      string
}

func (r Row) key() rowKey {
	return rowKey{r.Scenario.Deployment.Service, r.Scenario.Stragglers, r.Scenario.Load, r.Fault}
}

// findResult returns the result of a policy at the same setting as r, or nil.
func findResult(rows []Row, r Row, policy string) *sim.Result {
	for _, other := range rows {
		if other.key() == r.key() && other.Scenario.Policy.Name == policy {
			return other.Result
		}
	}
	return nil
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
