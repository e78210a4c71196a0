package main

import (
	"fmt"

	"github.com/pkg/errors"

	"siskinpath/bench/policy"
	"siskinpath/bench/report"
	"siskinpath/bench/sim"
)

// policiesCommand simulates every policy on every deployment at every load.
type policiesCommand struct {
	Out      string    `required:"" help:"Directory for policies.csv, policies.md and the plots."`
	Seeds    int       `default:"3" help:"Number of seeds per scenario."`
	Seconds  int       `default:"10" help:"Measured virtual seconds per run."`
	Quick    bool      `help:"Run one seed with five measured seconds."`
	Workers  int       `default:"4" help:"Number of concurrent runs."`
	Services []string  `help:"Services to simulate; all by default."`
	Policies []string  `help:"Policies to run; all by default."`
	Loads    []float64 `default:"0.5,0.7,0.85,0.95,2" help:"Loads, as shares of the capacity of all slots."`
	Mixed    bool      `help:"Give half of the requests a deadline of 150 ms instead of 2 s."`
	Calm     bool      `default:"true" negatable:"" help:"Also run without stragglers."`
}

// Settings of --quick.
const (
	quickSeeds   = 1
	quickSeconds = 5
)

// Run runs the command.
func (c *policiesCommand) Run() (err error) {
	defer func() { err = errors.WithMessage(err, "bench policies") }()
	if c.Quick {
		c.Seeds, c.Seconds = quickSeeds, quickSeconds
	}
	rows := runAll(c.Workers, c.Seeds, c.scenarios())
	if err := report.WriteCSV(c.Out, "policies", rows); err != nil {
		return err
	}
	if err := report.WriteTables(c.Out, "policies", rows); err != nil {
		return err
	}
	if err := report.WritePlots(c.Out, rows); err != nil {
		return err
	}
	fmt.Println("wrote", c.Out)
	return nil
}

func (c *policiesCommand) scenarios() []sim.Scenario {
	var list []sim.Scenario
	for _, d := range sim.Deployments() {
		if !selected(c.Services, d.Service) {
			continue
		}
		for _, stragglers := range c.stragglerSettings() {
			for _, load := range c.Loads {
				list = append(list, c.scenariosFor(d, stragglers, load)...)
			}
		}
	}
	return list
}

// stragglerSettings returns the values of Scenario.Stragglers to run with.
func (c *policiesCommand) stragglerSettings() []bool {
	if c.Calm {
		return []bool{false, true}
	}
	return []bool{true}
}

func (c *policiesCommand) scenariosFor(d sim.Deployment, stragglers bool, load float64) []sim.Scenario {
	var list []sim.Scenario
	for _, p := range allPolicies() {
		if !selected(c.Policies, p.Name) {
			continue
		}
		list = append(list, sim.Scenario{
			Deployment: d, Load: load, Stragglers: stragglers, MixedDeadlines: c.Mixed, Policy: p,
			Duration: sim.Micros(c.Seconds) * sim.Second,
		})
	}
	return list
}

func allPolicies() []sim.Policy {
	list := append(policy.Baselines(), policy.Siskinpath())
	return append(list, policy.Variants()...)
}

// selected reports whether names contains name; an empty list selects all.
func selected(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}
