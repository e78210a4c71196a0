package main

import (
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/pkg/errors"

	"siskinpath/bench/report"
	"siskinpath/core/loadsim"
	"siskinpath/core/place"
)

// ablationCommand switches off each mechanism of the dispatch decisions in turn.
type ablationCommand struct {
	Out       string   `required:"" help:"Directory for ablation.md and ablation.svg."`
	Seeds     int      `default:"8" help:"Number of seeds per mechanism and scenario."`
	Workers   int      `default:"4" help:"Number of concurrent simulations."`
	Scenarios []string `help:"Names of scenarios; all if empty."`
}

// Run runs the command.
func (c *ablationCommand) Run() (err error) {
	defer func() { err = errors.WithMessage(err, "bench ablation") }()
	scenarios, err := c.scenarios()
	if err != nil {
		return err
	}
	if c.Seeds < 2 || c.Workers < 1 {
		return errors.Errorf("--seeds is %d and --workers %d: at least 2 and 1 are needed", c.Seeds, c.Workers)
	}
	rows, err := c.run(scenarios)
	if err != nil {
		return err
	}
	if err := report.WriteAblation(c.Out, rows); err != nil {
		return err
	}
	fmt.Println("wrote", c.Out)
	return nil
}

func (c *ablationCommand) scenarios() (list []loadsim.Scenario, err error) {
	all := append(append(loadsim.ScarceScenarios(), loadsim.OverloadScenarios()...), loadsim.UsualScenarios()...)
	if len(c.Scenarios) == 0 {
		return all, nil
	}
	for _, name := range c.Scenarios {
		found := false
		for _, s := range all {
			if s.Name == name {
				list, found = append(list, s), true
			}
		}
		if !found {
			return nil, errors.Errorf("scenario %q does not exist", name)
		}
	}
	return list, nil
}

// run plays each scenario with all mechanisms, and with each one switched off, on the same
// seeds.
func (c *ablationCommand) run(scenarios []loadsim.Scenario) (rows []report.AblationRow, err error) {
	mechanisms := place.Mechanisms()
	tunings := []place.Tuning{place.DefaultTuning()}
	for _, m := range mechanisms {
		t := place.DefaultTuning()
		if err := t.Disable(m.Name); err != nil {
			return nil, err
		}
		tunings = append(tunings, t)
	}
	shares := make([][][]float64, len(scenarios)) // by scenario, tuning and seed
	var jobs []func()
	for i, s := range scenarios {
		s.Config.Allocator = true
		shares[i] = make([][]float64, len(tunings))
		for j, t := range tunings {
			shares[i][j] = make([]float64, c.Seeds)
			for seed := range c.Seeds {
				jobs = append(jobs, func() { shares[i][j][seed] = inTimeShare(s, t, uint64(seed+1)) })
			}
		}
	}
	runJobs(jobs, c.Workers)
	for i, s := range scenarios {
		for j, m := range mechanisms {
			rows = append(rows, report.AblationRow{Mechanism: m.Name, Answers: m.Load, Scenario: s.Name, With: shares[i][0], Without: shares[i][j+1]})
		}
	}
	return rows, nil
}

func inTimeShare(s loadsim.Scenario, t place.Tuning, seed uint64) float64 {
	sim := s.Play(seed, func(rnd *rand.Rand) loadsim.Policy { return &place.Placer{Service: "s", Tuning: t, Rand: rnd} })
	return sim.Outcomes.InTimeShare()
}

// runJobs runs jobs on a number of goroutines and waits for all.
func runJobs(jobs []func(), workers int) {
	next := make(chan func())
	var running sync.WaitGroup
	for range workers {
		running.Go(func() {
			for job := range next {
				job()
			}
		})
	}
	for _, job := range jobs {
		next <- job
	}
	close(next)
	running.Wait()
}
