package main

import (
	"fmt"

	"github.com/pkg/errors"

	"siskinpath/bench/policy"
	"siskinpath/bench/report"
	"siskinpath/bench/sim"
)

// failuresCommand brings failures about and shows what came of them.
type failuresCommand struct {
	Out     string  `required:"" help:"Folder for failures.csv and failures.md."`
	Seeds   int     `default:"3" help:"Seeds for each setting."`
	Workers int     `default:"4" help:"Runs at once."`
	Load    float64 `default:"0.55" help:"Load, as a part of what all slots can do."`
	Service string  `default:"booking" help:"Service."`
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
				Deployment: d, Load: c.Load, Stragglers: f.stragglers, Policy: p, Faults: f.faults, Duration: failureDuration,
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

func findDeployment(service string) (sim.Deployment, error) {
	for _, d := range sim.Deployments() {
		if d.Service == service {
			return d, nil
		}
	}
	return sim.Deployment{}, errors.Errorf("unknown service %q; use booking, payments, organisation-desk or rent-ledger", service)
}

func failurePolicies() []sim.Policy {
	baselines := policy.Baselines()
	list := []sim.Policy{baselines[0], baselines[3], policy.Siskinpath()}
	return append(list, policy.FailureAblations()...)
}
