package main

import (
	"fmt"
	"sync"

	"github.com/pkg/errors"

	"siskinpath/bench/report"
	"siskinpath/core/clock"
)

// heavyCommand simulates the booking service at peak load.
type heavyCommand struct {
	Out     string    `required:"" help:"Directory for heavy.csv, heavy.md and the plots."`
	Seeds   int       `default:"4" help:"Number of seeds per policy, condition and load."`
	Seconds int       `default:"10" help:"Virtual seconds per run."`
	Workers int       `default:"4" help:"Number of concurrent simulations."`
	Loads   []float64 `default:"0.7,1,1.3,1.6,2,2.5" help:"Loads, as multiples of the normal load."`
}

// Run runs the command.
func (c *heavyCommand) Run() (err error) {
	defer func() { err = errors.WithMessage(err, "bench heavy") }()
	rows := c.run()
	if err := report.WriteHeavyLoad(c.Out, rows); err != nil {
		return err
	}
	fmt.Println("wrote", c.Out)
	return nil
}

func (c *heavyCommand) run() []report.HeavyLoadRow {
	var jobs []func() report.HeavyLoadRow
	for _, condition := range heavyConditions() {
		for _, p := range heavyPolicies() {
			for _, load := range c.Loads {
				jobs = append(jobs, func() report.HeavyLoadRow {
					return runHeavyLoad(p, condition, load, c.Seeds, clock.Millis(c.Seconds)*clock.Second)
				})
			}
		}
	}
	rows := make([]report.HeavyLoadRow, len(jobs))
	next := make(chan int)
	var running sync.WaitGroup
	for range c.Workers {
		running.Go(func() {
			for i := range next {
				rows[i] = jobs[i]()
			}
		})
	}
	for i := range jobs {
		next <- i
	}
	close(next)
	running.Wait()
	return rows
}
