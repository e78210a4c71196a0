package main

import (
	"fmt"

	"github.com/pkg/errors"

	"siskinpath/bench/policy"
	"siskinpath/bench/report"
	"siskinpath/bench/sim"
)

// failuresCommand simulates failures and reports how policies handle them.
type failuresCommand struct {
	Out     string  `required:"" help:"Directory for failures.csv and failures.md."`
	Seeds   int     `default:"3" help:"Number of seeds per scenario."`
	Workers int     `default:"4" help:"Number of concurrent runs."`
	Load    float64 `default:"0.55" help:"Load, as a share of the capacity of all slots."`
	Service string  `default:"booking" help:"Service to simulate."`
}

// Run runs the command.
func (c *failuresCommand) Run() (err error) {
	defer func() { err = errors.WithMessage(err, "bench failures") }()
	rows, err := c.run()
	if err != nil {
		return err
	}
	if err := report.WriteCSV(c.Out, "failures", rows); err != nil {
		return err
	}
	if err := report.WriteFailures(c.Out, rows); err != nil {
		return err
	}
	fmt.Println("wrote", c.Out)
	return nil
}

func (c *failuresCommand) run() ([]report.Row, error) {
	d, err := findDeployment(c.Service)
	if err != nil {
		return nil, err
	}
	var scenarios []sim.Scenario
	var names []string
	for _, f := range failures() {
		for _, p := range failurePolicies() {
			scenarios = append(scenarios, sim.Scenario{
				Deployment: d, Load: c.Load, Stragglers: f.stragglers, Policy: p, Faults: f.faults, Duration: runDuration,
			})
			names = append(names, f.name)
		}
	}
	rows := runAll(c.Workers, c.Seeds, scenarios)
	for i := range rows {
		rows[i].Fault = names[i]
	}
	return rows, nil
}

// findDeployment returns the deployment of a service.
func findDeployment(service string) (sim.Deployment, error) {
	for _, d := range sim.Deployments() {
		if d.Service == service {
			return d, nil
		}
	}
	return sim.Deployment{}, errors.Errorf("unknown service %q; use booking, payments, organisation-desk or rent-ledger", service)
}

// failurePolicies returns random, power of two, the project's own policy and its
// ablations.
func failurePolicies() []sim.Policy {
	baselines := policy.Baselines()
	list := []sim.Policy{baselines[0], baselines[3], policy.Siskinpath()}
	return append(list, policy.FailureAblations()...)
}
